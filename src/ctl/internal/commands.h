//! One function for each group of commands; `arguments` begins with the command's name.
#pragma once

#include "ctl/ctl.h"

namespace cyclamenmount::detail {

exit_code run_list(const ctl_options& options, const std::vector<std::string>& arguments,
                   const ctl_io& io);
exit_code run_availability(const ctl_options& options, const std::vector<std::string>& arguments,
                           const ctl_io& io);
exit_code run_status(const ctl_options& options, const std::vector<std::string>& arguments,
                     const ctl_io& io);
exit_code run_read(const ctl_options& options, const std::vector<std::string>& arguments,
                   const ctl_io& io);
exit_code run_request(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io);
exit_code run_service(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io);

exit_code run_explain(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io);

}  // namespace cyclamenmount::detail
