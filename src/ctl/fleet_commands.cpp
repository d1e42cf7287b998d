#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <iomanip>
#include <ostream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

void print_roster(std::ostream& out, const json& status) {
    const auto roster = status.value("roster", json::object());
    out << "instance " << status.value("instance", "") << ", generation "
        << roster.value("generation", 0)
        << (roster.value("settled", false) ? " (settled)" : " (settling)") << ", "
        << (status.value("ready", false) ? "ready" : "not ready")
        << (status.value("vouched", false) ? "" : ", cut off") << "\n\n";
    out << std::left << std::setw(20) << "INSTANCE" << std::setw(18) << "ZONE" << std::setw(24)
        << "ADDRESS"
        << "HEARD\n";
    for (const auto& member : roster.value("members", json::array())) {
        out << std::setw(20) << member.value("id", "") << std::setw(18) << member.value("zone", "")
            << std::setw(24) << member.value("address", "");
        if (member.contains("self")) {
            out << "self\n";
        } else if (member.contains("heard_ms_ago")) {
            out << member["heard_ms_ago"].get<long>() << " ms ago\n";
        } else {
            out << "never\n";
        }
    }
}

std::string state_of(const json& upstream) {
    if (upstream.value("out", false)) {
        return "out";
    }
    if (upstream.value("leaving", false) || upstream.value("condition", "") == "leaving") {
        return "leaving";
    }
    return upstream.value("needs_slot", true) ? "cold" : "warm";
}

void print_upstreams(std::ostream& out, const json& status) {
    out << '\n'
        << std::setw(20) << "UPSTREAM" << std::setw(18) << "POOL" << std::setw(18) << "ZONE"
        << std::setw(10) << "STATE"
        << "HOME\n";
    for (const auto& upstream : status.value("upstreams", json::array())) {
        out << std::setw(20) << upstream.value("id", "") << std::setw(18)
            << upstream.value("pool", "") << std::setw(18) << upstream.value("zone", "")
            << std::setw(10) << state_of(upstream) << upstream.value("home", "") << '\n';
    }
}

void print_out_of_service(std::ostream& out, const json& status) {
    const auto out_of_service = status.value("out", json::object());
    out << "\nout: zones " << out_of_service.value("zones", json::array()).dump() << ", upstreams "
        << out_of_service.value("upstreams", json::array()).dump() << ", not yet recorded "
        << out_of_service.value("not_yet_recorded", json::array()).size() << '\n';
    out << "quarantined or suspect requests: " << status.value("quarantine", json::array()).size()
        << '\n';
}

}  // namespace

exit_code run_availability(const ctl_options& options, const std::vector<std::string>& arguments,
                           const ctl_io& io) {
    if (arguments.size() != 3 || (arguments[1] != "out" && arguments[1] != "in")) {
        io.err << "cyclamenctl: " << arguments[0] << " out|in NAME\n";
        return exit_code::usage;
    }
    client_request request;
    request.method = "POST";
    request.path = "/v1/availability";
    const json body = {
        {arguments[0], arguments[2]}, {"out", arguments[1] == "out"}, {"reason", options.reason}};
    request.body = body.dump();
    const auto response = call_operator(options, io, request);
    if (response.has_error()) {
        report_failure(io, response.error());
        return exit_code::unknown;
    }
    const int status = response.value().status;
    if (status != 200 && status != 202) {
        return report_problem(io, response.value());
    }
    const auto response_body = json::parse(response.value().body, nullptr, false);
    const auto version = response_body.value("version", std::uint64_t{0});
    if (options.json) {
        io.out << response_body.dump(2) << std::endl;
    } else if (status == 200) {
        io.out << "accepted at version " << version << std::endl;
    } else {
        io.out << "not yet recorded: no response from the store" << std::endl;
    }
    return wait_in_force(options, io, {"availability", status == 200 ? version : 0});
}

exit_code run_status(const ctl_options& options, const std::vector<std::string>& arguments,
                     const ctl_io& io) {
    if (arguments.size() != 1) {
        io.err << "cyclamenctl: status takes no arguments\n";
        return exit_code::usage;
    }
    json status;
    const auto code = read_json(options, io, "/v1/status", status);
    if (code != exit_code::done) {
        return code;
    }
    if (options.json) {
        io.out << status.dump(2) << '\n';
        return exit_code::done;
    }
    print_roster(io.out, status);
    print_upstreams(io.out, status);
    print_out_of_service(io.out, status);
    return exit_code::done;
}

exit_code run_read(const ctl_options& options, const std::vector<std::string>& arguments,
                   const ctl_io& io) {
    if (arguments.size() != 1) {
        io.err << "cyclamenctl: " << arguments[0] << " takes no arguments\n";
        return exit_code::usage;
    }
    client_request request;
    request.path = arguments[0] == "metrics" ? "/metrics" : "/v1/" + arguments[0];
    const auto response = call_operator(options, io, request);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    if (response.value().status != 200) {
        return report_problem(io, response.value());
    }
    const auto body = json::parse(response.value().body, nullptr, false);
    io.out << (body.is_discarded() ? response.value().body : body.dump(2)) << '\n';
    return exit_code::done;
}

}  // namespace cyclamenmount::detail
