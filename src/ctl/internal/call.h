//! Calls to the operators' listener that all commands share.
#pragma once

#include "ctl/ctl.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

//! Calls the operators' listener with the secret and the operator's name.
result<client_response> call_operator(const ctl_options& options, const ctl_world& world,
                                      client_request request);

//! Prints what went wrong and gives the exit code.
exit_code report_failure(const ctl_world& world, const error& failure);
exit_code report_problem(const ctl_world& world, const client_response& response);

//! Reads `path` into `body`; anything but success is printed and gives its exit code.
exit_code read_json(const ctl_options& options, const ctl_world& world, const std::string& path,
                    nlohmann::json& body);

//! Prints findings as FILE:LINE: MESSAGE.
void print_findings(const ctl_world& world, const nlohmann::json& body, const std::string& file);

//! Prints the changes of a history or conflict, one a line.
void print_changes(std::ostream& out, const nlohmann::json& changes);

//! What to wait for until it is in force.
struct awaited {
    std::string document;      //!< `plans`, `allowances` or `availability`
    std::uint64_t version{0};  //!< 0: wait for the emergency orders instead
};

//! Polls until every member reports it, showing progress on `err`.
exit_code wait_in_force(const ctl_options& options, const ctl_world& world, const awaited& wanted);

//! How many members have it, of how many.
struct in_force_count {
    std::size_t have{0};
    std::size_t members{0};
};

in_force_count count_in_force(const nlohmann::json& versions, const awaited& wanted);

}  // namespace cyclamenmount::detail
