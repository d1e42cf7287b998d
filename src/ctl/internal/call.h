//! Calls to the operator listener and output, shared by all commands.
#pragma once

#include "ctl/ctl.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

//! Sends a request to the operator listener with the secret, the operator's name and the reason.
result<client_response> call_operator(const ctl_options& options, const ctl_io& io,
                                      client_request request);

//! Prints an error of the exchange and returns the exit code.
exit_code report_failure(const ctl_io& io, const error& failure);
//! Prints an error response and returns the exit code: `unknown` for 503 and 504, else `failed`.
exit_code report_problem(const ctl_io& io, const client_response& response);

//! Reads the JSON at `path` of the operator listener into `body`; prints an error and returns its
//! exit code otherwise.
exit_code read_json(const ctl_options& options, const ctl_io& io, const std::string& path,
                    nlohmann::json& body);

//! Prints findings as FILE:LINE: MESSAGE.
void print_findings(const ctl_io& io, const nlohmann::json& body, const std::string& file);

//! Prints the changes of a history or conflict, one per line.
void print_changes(std::ostream& out, const nlohmann::json& changes);

//! A change to wait for until it is in force on every member.
struct awaited_change {
    std::string document;      //!< `plans`, `allowances` or `availability`
    std::uint64_t version{0};  //!< 0: compare the emergency orders instead
};

//! Polls until the change is in force on every member or the wait limit expires; prints the count.
exit_code wait_in_force(const ctl_options& options, const ctl_io& io, const awaited_change& wanted);

//! Number of members on which a change is in force, and number of all members.
struct in_force_count {
    std::size_t in_force{0};
    std::size_t members{0};
};

in_force_count count_in_force(const nlohmann::json& versions, const awaited_change& wanted);

}  // namespace cyclamenmount::detail
