#include "ctl/ctl.h"

#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <map>
#include <ostream>

namespace cyclamenmount {

namespace {

using command =
    std::function<exit_code(const ctl_options&, const std::vector<std::string>&, const ctl_world&)>;

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

exit_code run_command(const ctl_options& options, const std::vector<std::string>& words,
                      const ctl_world& world) {
    const auto chosen = words.empty() ? commands().end() : commands().find(words.front());
    if (chosen == commands().end()) {
        world.err << "cyclamenctl: unknown command; see --help\n";
        return exit_code::usage;
    }
    return chosen->second(options, words, world);
}

const char* command_help() {
    return "Commands:\n"
           "  plans|allowances show            print the list in force\n"
           "  plans|allowances check FILE      report faults without applying\n"
           "  plans|allowances diff FILE       lines that differ from the list in force\n"
           "  plans|allowances edit FILE       apply, and wait until in force everywhere\n"
           "  plans|allowances history         who changed it, when and why\n"
           "  zone out|in NAME                 take an availability zone out, or return it\n"
           "  upstream out|in NAME             take an upstream out, or return it\n"
           "  status                           instances, upstreams, what is out or cold\n"
           "  versions | dump | metrics        raw state of the instance\n"
           "  request PIPELINE INPUT           run a pipeline by hand and show its costs\n"
           "  call SERVICE OPERATION BODY      call a plain service by hand\n"
           "  explain ID LOG...                tell a request's story from instances' logs; - "
           "reads\n"
           "                                   standard input\n"
           "Exit codes: 0 done, 1 failed, 2 usage, 3 faults in the list, 4 changed meanwhile,\n"
           "  5 not known whether accepted, 6 not in force everywhere in time, 7 refused\n";
}

}  // namespace cyclamenmount
