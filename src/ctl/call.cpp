#include "ctl/internal/call.h"

#include <ctime>
#include <iomanip>
#include <ostream>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

constexpr milliseconds poll_period = 100ms;

//! A field as text; empty if it isn't there.
std::string text_of(const json& value, const char* name) {
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

bool has_it(const json& versions, const awaited& wanted, std::uint64_t emergency_digest) {
    if (wanted.version == 0) {
        return versions.value("emergency_digest", std::uint64_t{0}) == emergency_digest;
    }
    return versions.value(wanted.document, std::uint64_t{0}) >= wanted.version;
}

}  // namespace

result<client_response> call_operator(const ctl_options& options, const ctl_world& world,
                                      client_request request) {
    request.server = options.server;
    request.headers.push_back("Authorization: Bearer " + options.secret);
    request.headers.push_back("X-Operator: " + options.who);
    if (!options.reason.empty()) {
        request.headers.push_back("X-Reason: " + options.reason);
    }
    return world.exchange(request);
}

exit_code report_failure(const ctl_world& world, const error& failure) {
    world.err << "cyclamenctl: " << failure.message << '\n';
    return exit_code::failed;
}

exit_code report_problem(const ctl_world& world, const client_response& response) {
    const auto body = json::parse(response.body, nullptr, false);
    world.err << "cyclamenctl: " << response.status;
    if (body.is_object()) {
        world.err << ' ' << text_of(body, "title") << ": " << text_of(body, "detail");
    }
    world.err << '\n';
    const bool unknown = response.status == 503 || response.status == 504;
    return unknown ? exit_code::unknown : exit_code::failed;
}

exit_code read_json(const ctl_options& options, const ctl_world& world, const std::string& path,
                    json& body) {
    client_request request;
    request.path = path;
    const auto response = call_operator(options, world, request);
    if (response.has_error()) {
        return report_failure(world, response.error());
    }
    if (response.value().status != 200) {
        return report_problem(world, response.value());
    }
    body = json::parse(response.value().body, nullptr, false);
    return exit_code::done;
}

void print_findings(const ctl_world& world, const json& body, const std::string& file) {
    for (const auto& one : body.value("findings", json::array())) {
        world.err << file << ':' << one.value("line", 0) << ": " << text_of(one, "message") << '\n';
    }
}

void print_changes(std::ostream& out, const json& changes) {
    for (const auto& change : changes) {
        out << wall_clock_text(change.value("at_ms", std::int64_t{0})) << "  "
            << text_of(change, "who") << "  " << text_of(change, "what") << "  (base "
            << change.value("base", std::uint64_t{0}) << ", " << text_of(change, "reason") << ")\n";
    }
}

in_force_count count_in_force(const json& versions, const awaited& wanted) {
    const auto own = versions.value("versions", json::object());
    const auto digest = own.value("emergency_digest", std::uint64_t{0});
    const auto self = text_of(versions, "self");
    const auto peers = versions.value("peers", json::object());
    in_force_count count;
    for (const auto& member : versions.value("members", json::array())) {
        const auto id = member.get<std::string>();
        const auto heard = peers.find(id);
        ++count.members;
        if (id == self) {
            count.have += has_it(own, wanted, digest) ? 1 : 0;
        } else if (heard != peers.end()) {
            count.have += has_it(*heard, wanted, digest) ? 1 : 0;
        }
    }
    return count;
}

exit_code wait_in_force(const ctl_options& options, const ctl_world& world, const awaited& wanted) {
    const auto begun = world.now();
    while (true) {
        client_request request;
        request.path = "/v1/versions";
        const auto response = call_operator(options, world, request);
        if (response.has_error()) {
            return report_failure(world, response.error());
        }
        const auto count =
            count_in_force(json::parse(response.value().body, nullptr, false), wanted);
        const auto taken = world.now() - begun;
        if (count.members > 0 && count.have == count.members) {
            world.err << "in force on " << count.have << " of " << count.members << " after "
                      << taken.count() << " ms\n";
            return exit_code::done;
        }
        if (taken >= options.wait) {
            world.err << "in force on " << count.have << " of " << count.members << " only\n";
            return exit_code::not_in_force;
        }
        world.sleep(poll_period);
    }
}

}  // namespace cyclamenmount::detail
