#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <iomanip>
#include <ostream>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

result<client_response> call_as_caller(const ctl_options& options, const ctl_io& io,
                                       client_request request) {
    request.method = "POST";
    request.server = options.caller;
    request.headers.push_back("Authorization: Bearer " + options.workspace_key);
    if (!options.key.empty()) {
        request.headers.push_back("Idempotency-Key: " + options.key);
    }
    if (!options.deadline.empty()) {
        request.headers.push_back("X-Deadline-Ms: " + options.deadline);
    }
    return io.exchange(request);
}

exit_code report_refusal(const ctl_io& io, const json& body) {
    io.err << "refused: " << body.value("reason", "unknown") << ", "
           << body.value("execution", "unknown") << ": " << body.value("detail", "") << '\n';
    return exit_code::refused;
}

void print_costs(std::ostream& out, const json& costs) {
    out << std::left << std::setw(16) << "STAGE" << std::setw(10) << "ATTEMPTS" << std::setw(10)
        << "BUSY MS" << std::setw(8) << "TOKENS"
        << "WASTED MS\n";
    for (const auto& cost : costs) {
        out << std::setw(16) << cost.value("stage", "") << std::setw(10)
            << cost.value("attempts", 0) << std::setw(10) << cost.value("busy_ms", 0)
            << std::setw(8) << cost.value("tokens", 0) << cost.value("wasted_ms", 0) << '\n';
    }
}

//! Prints a response stream; fails unless its frames are numbered from 0 without a gap and end with
//! a final frame.
exit_code print_response(const ctl_io& io, const std::string& body) {
    std::istringstream lines(body);
    std::string line;
    int expected = 0;
    while (std::getline(lines, line)) {
        const auto frame = json::parse(line, nullptr, false);
        if (!frame.is_object() || frame.value("frame", -1) != expected) {
            io.err << "the response is incomplete: frame " << expected << " is missing\n";
            return exit_code::failed;
        }
        if (frame.contains("error")) {
            return report_refusal(io, frame["error"]);
        }
        if (frame.value("final", false)) {
            io.out << "\n\n"
                   << frame.value("count", 0) << " tokens, digest " << frame.value("digest", "")
                   << '\n';
            print_costs(io.out, frame.value("costs", json::array()));
            return exit_code::done;
        }
        io.out << frame.value("token", "");
        ++expected;
    }
    io.err << "the response is incomplete: it has no final frame\n";
    return exit_code::failed;
}

}  // namespace

exit_code run_request(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io) {
    if (arguments.size() != 3 || options.caller.empty()) {
        io.err << "cyclamenctl: --caller IP:PORT request PIPELINE INPUT\n";
        return exit_code::usage;
    }
    client_request request;
    request.path = "/v1/pipelines/" + arguments[1];
    request.body = json{{"input", arguments[2]}}.dump();
    const auto response = call_as_caller(options, io, request);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    if (response.value().status != 200) {
        return report_refusal(io, json::parse(response.value().body, nullptr, false));
    }
    if (options.json) {
        io.out << response.value().body;
        return exit_code::done;
    }
    return print_response(io, response.value().body);
}

exit_code run_service(const ctl_options& options, const std::vector<std::string>& arguments,
                      const ctl_io& io) {
    if (arguments.size() != 4 || options.caller.empty()) {
        io.err << "cyclamenctl: --caller IP:PORT call SERVICE OPERATION BODY\n";
        return exit_code::usage;
    }
    client_request request;
    request.path = "/v1/services/" + arguments[1] + '/' + arguments[2];
    request.body = arguments[3];
    const auto response = call_as_caller(options, io, request);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    const auto body = json::parse(response.value().body, nullptr, false);
    if (response.value().status != 200) {
        return report_refusal(io, body.is_object() ? body : json::object());
    }
    io.out << response.value().body << '\n';
    return exit_code::done;
}

}  // namespace cyclamenmount::detail
