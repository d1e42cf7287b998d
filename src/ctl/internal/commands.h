//! One function for each group of commands; `words` begins with the command itself.
#pragma once

#include "ctl/ctl.h"

namespace cyclamenmount::detail {

exit_code run_list(const ctl_options& options, const std::vector<std::string>& words,
                   const ctl_world& world);
exit_code run_availability(const ctl_options& options, const std::vector<std::string>& words,
                           const ctl_world& world);
exit_code run_status(const ctl_options& options, const std::vector<std::string>& words,
                     const ctl_world& world);
exit_code run_read(const ctl_options& options, const std::vector<std::string>& words,
                   const ctl_world& world);
exit_code run_request(const ctl_options& options, const std::vector<std::string>& words,
                      const ctl_world& world);
exit_code run_service(const ctl_options& options, const std::vector<std::string>& words,
                      const ctl_world& world);

exit_code run_explain(const ctl_options& options, const std::vector<std::string>& words,
                      const ctl_world& world);

}  // namespace cyclamenmount::detail
