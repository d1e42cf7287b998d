#include "ctl/ctl.h"

#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <map>
#include <ostream>

namespace cyclamenmount {

namespace {

using command =
    std::function<exit_code(const ctl_options&, const std::vector<std::string>&, const ctl_io&)>;

const std::map<std::string, command>& commands() {
    static const std::map<std::string, command> all = {
        {"plans", &detail::run_list},        {"allowances", &detail::run_list},
        {"zone", &detail::run_availability}, {"upstream", &detail::run_availability},
        {"status", &detail::run_status},     {"versions", &detail::run_read},
        {"dump", &detail::run_read},         {"metrics", &detail::run_read},
        {"request", &detail::run_request},   {"call", &detail::run_service},
        {"explain", &detail::run_explain},
    };
    return all;
}

}  // namespace

exit_code run_command(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io) {
    const auto chosen = arguments.empty() ? commands().end() : commands().find(arguments.front());
    if (chosen == commands().end()) {
        io.err << "cyclamenctl: unknown command; see --help\n";
        return exit_code::usage;
    }
    return chosen->second(options, arguments, io);
}

const char* command_help() {
    return "Commands:\n"
           "  plans|allowances show            print the list in force\n"
           "  plans|allowances check FILE      report faults without applying the list\n"
           "  plans|allowances diff FILE       show lines that differ from the list in force\n"
           "  plans|allowances edit FILE       apply, and wait until in force everywhere\n"
           "  plans|allowances history         who changed it, when and why\n"
           "  zone out|in NAME                 take an availability zone out of service or return "
           "it\n"
           "  upstream out|in NAME             take an upstream out of service or return it\n"
           "  status                           instances, upstreams, what is out of service or "
           "cold\n"
           "  versions | dump | metrics        raw state of the instance\n"
           "  request PIPELINE INPUT           run a pipeline and show its costs\n"
           "  call SERVICE OPERATION BODY      call a service\n"
           "  explain ID LOG...                explain a request from instances' logs; - "
           "reads\n"
           "                                   standard input\n"
           "  check-config NEW [IN_FORCE]      check a configuration of the platform, given as "
           "its\n"
           "                                   stored object, before it is submitted; exit codes:\n"
           "                                   0 no errors, 1 errors, 2 unusable input\n"
           "Exit codes: 0 done, 1 failed, 2 usage, 3 faults in the list, 4 changed meanwhile,\n"
           "  5 not known whether accepted, 6 not in force everywhere in time, 7 refused\n";
}

}  // namespace cyclamenmount
