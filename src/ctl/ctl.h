//! Commands of `cyclamenctl`, the operators' command line.
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
    failed = 1,        //!< instance unreachable, not authenticated, or another error
    usage = 2,         //!< invalid command line
    faults = 3,        //!< the list is invalid; the findings were printed
    conflict = 4,      //!< the list has changed since the base version; the edit wasn't applied
    unknown = 5,       //!< no definite reply; the change may have been accepted
    not_in_force = 6,  //!< in force on some members only when the wait limit expired
    refused = 7,       //!< a request or call was refused; the refusal says whether it ran
};

struct ctl_options {
    std::string server{"127.0.0.1:7301"};  //!< operator listener of an instance, IP:PORT
    std::string caller;  //!< caller listener of an instance, IP:PORT; for `request` and `call`
    std::string secret;  //!< operator secret, sent as the bearer token
    std::string workspace_key;   //!< API key of a workspace; for `request` and `call`
    std::string who{"unnamed"};  //!< operator's name in the history
    std::string reason;          //!< reason of the change in the history
    std::string base;        //!< list version that the edit is based on; empty: the current version
    std::string key;         //!< Idempotency-Key of a request or call; empty: not sent
    std::string deadline;    //!< X-Deadline-Ms of a request or call; empty: not sent
    bool json{false};        //!< print the JSON response instead of text
    milliseconds wait{10s};  //!< how long to wait until a change is in force on all members
};

//! Input, output and clock of the commands; replaced by fakes in tests.
struct ctl_io {
    std::function<result<client_response>(const client_request&)> exchange;
    std::function<result<std::string>(const std::string& path)> read_file;
    std::function<void(milliseconds)> sleep;
    std::function<instant()> now;
    std::ostream& out;
    std::ostream& err;
};

//! Runs one command; `arguments` are its name and operands, e.g. {"plans", "edit", "plans.ini"}.
exit_code run_command(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io);

//! Description of all commands and exit codes for --help.
const char* command_help();

}  // namespace cyclamenmount
