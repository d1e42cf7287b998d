//! The operators' commands.
#pragma once

#include "ctl/http_client.h"
#include "types/time.h"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Exit codes of `cyclamenctl`.
enum class exit_code {
    done = 0,
    failed = 1,        //!< unreachable, unauthenticated or another fault
    usage = 2,         //!< the command line is wrong
    faults = 3,        //!< the list has faults
    conflict = 4,      //!< changed meanwhile; nothing was done
    unknown = 5,       //!< not known whether it was accepted
    not_in_force = 6,  //!< accepted or ordered, but not seen in force everywhere in time
    refused = 7,       //!< a request was refused; the refusal says whether it ran
};

struct ctl_options {
    std::string server{"127.0.0.1:7301"};  //!< an instance's operators' listener
    std::string caller;                    //!< an instance's callers' listener, for `request`
    std::string secret;                    //!< the operators' secret
    std::string workspace_key;             //!< for `request` and `call`
    std::string who{"unnamed"};
    std::string reason;
    std::string base;      //!< version that the operator had read; empty: the present one
    std::string key;       //!< Idempotency-Key
    std::string deadline;  //!< ms
    bool json{false};
    milliseconds wait{10s};
};

//! What commands use of the world outside; tests put fakes in.
struct ctl_world {
    std::function<result<client_response>(const client_request&)> exchange;
    std::function<result<std::string>(const std::string& path)> read_file;
    std::function<void(milliseconds)> sleep;
    std::function<instant()> now;
    std::ostream& out;
    std::ostream& err;
};

//! Runs one command, e.g. {"plans", "edit", "plans.ini"}.
exit_code run_command(const ctl_options& options, const std::vector<std::string>& words,
                      const ctl_world& world);

//! All commands, one a line, for --help.
const char* command_help();

}  // namespace cyclamenmount
