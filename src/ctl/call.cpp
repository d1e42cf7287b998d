#include "ctl/internal/call.h"

#include <ctime>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

constexpr milliseconds poll_period = 100ms;

//! A text field's value; empty if it is missing or not text.
std::string text_field(const json& value, const char* name) {
    const auto at = value.find(name);
    return at != value.end() && at->is_string() ? at->get<std::string>() : "";
}

std::string wall_clock_text(std::int64_t at_ms) {
    const std::time_t seconds = at_ms / 1000;
    std::tm broken{};
    gmtime_r(&seconds, &broken);
    std::ostringstream text;
    text << std::put_time(&broken, "%Y-%m-%d %H:%M:%SZ");
    return text.str();
}

//! True if the versions that a member reported include the change.
bool is_in_force(const json& versions, const awaited_change& wanted,
                 std::uint64_t emergency_digest) {
    if (wanted.version == 0) {
        return versions.value("emergency_digest", std::uint64_t{0}) == emergency_digest;
    }
    return versions.value(wanted.document, std::uint64_t{0}) >= wanted.version;
}

}  // namespace

result<client_response> call_operator(const ctl_options& options, const ctl_io& io,
                                      client_request request) {
    request.server = options.server;
    request.headers.push_back("Authorization: Bearer " + options.secret);
    request.headers.push_back("X-Operator: " + options.who);
    if (!options.reason.empty()) {
        request.headers.push_back("X-Reason: " + options.reason);
    }
    return io.exchange(request);
}

exit_code report_failure(const ctl_io& io, const error& failure) {
    io.err << "cyclamenctl: " << failure.message << '\n';
    return exit_code::failed;
}

exit_code report_problem(const ctl_io& io, const client_response& response) {
    const auto body = json::parse(response.body, nullptr, false);
    io.err << "cyclamenctl: " << response.status;
    if (body.is_object()) {
        io.err << ' ' << text_field(body, "title") << ": " << text_field(body, "detail");
    }
    io.err << '\n';
    const bool unknown = response.status == 503 || response.status == 504;
    return unknown ? exit_code::unknown : exit_code::failed;
}

exit_code read_json(const ctl_options& options, const ctl_io& io, const std::string& path,
                    json& body) {
    client_request request;
    request.path = path;
    const auto response = call_operator(options, io, request);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    if (response.value().status != 200) {
        return report_problem(io, response.value());
    }
    body = json::parse(response.value().body, nullptr, false);
    return exit_code::done;
}

void print_findings(const ctl_io& io, const json& body, const std::string& file) {
    for (const auto& one : body.value("findings", json::array())) {
        io.err << file << ':' << one.value("line", 0) << ": " << text_field(one, "message") << '\n';
    }
}

void print_changes(std::ostream& out, const json& changes) {
    for (const auto& change : changes) {
        out << wall_clock_text(change.value("at_ms", std::int64_t{0})) << "  "
            << text_field(change, "who") << "  " << text_field(change, "what") << "  (base "
            << change.value("base", std::uint64_t{0}) << ", " << text_field(change, "reason")
            << ")\n";
    }
}

in_force_count count_in_force(const json& versions, const awaited_change& wanted) {
    const auto own = versions.value("versions", json::object());
    const auto digest = own.value("emergency_digest", std::uint64_t{0});
    const auto self = text_field(versions, "self");
    const auto peers = versions.value("peers", json::object());
    in_force_count count;
    for (const auto& member : versions.value("members", json::array())) {
        const auto id = member.get<std::string>();
        const auto peer = peers.find(id);
        ++count.members;
        if (id == self) {
            count.in_force += is_in_force(own, wanted, digest) ? 1 : 0;
        } else if (peer != peers.end()) {
            count.in_force += is_in_force(*peer, wanted, digest) ? 1 : 0;
        }
    }
    return count;
}

exit_code wait_in_force(const ctl_options& options, const ctl_io& io,
                        const awaited_change& wanted) {
    const auto started = io.now();
    while (true) {
        client_request request;
        request.path = "/v1/versions";
        const auto response = call_operator(options, io, request);
        if (response.has_error()) {
            return report_failure(io, response.error());
        }
        const auto count =
            count_in_force(json::parse(response.value().body, nullptr, false), wanted);
        const auto elapsed = io.now() - started;
        if (count.members > 0 && count.in_force == count.members) {
            io.err << "in force on " << count.in_force << " of " << count.members << " after "
                   << elapsed.count() << " ms\n";
            return exit_code::done;
        }
        if (elapsed >= options.wait) {
            io.err << "in force on " << count.in_force << " of " << count.members << " only\n";
            return exit_code::not_in_force;
        }
        io.sleep(poll_period);
    }
}

}  // namespace cyclamenmount::detail
