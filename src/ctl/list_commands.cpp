#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <ostream>
#include <set>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

result<client_response> read_list(const ctl_options& options, const ctl_world& world,
                                  const std::string& name) {
    client_request request;
    request.path = "/v1/lists/" + name;
    return call_operator(options, world, request);
}

exit_code show(const ctl_options& options, const ctl_world& world, const std::string& name) {
    const auto response = read_list(options, world, name);
    if (response.has_error()) {
        return report_failure(world, response.error());
    }
    if (response.value().status != 200) {
        return report_problem(world, response.value());
    }
    if (options.json) {
        const json body = {{"version", response.value().etag}, {"text", response.value().body}};
        world.out << body.dump(2) << '\n';
    } else {
        world.err << "version " << response.value().etag << '\n';
        world.out << response.value().body;
    }
    return exit_code::done;
}

exit_code check(const ctl_options& options, const ctl_world& world, const std::string& name,
                const std::string& path) {
    const auto text = world.read_file(path);
    if (text.has_error()) {
        return report_failure(world, text.error());
    }
    client_request request;
    request.method = "POST";
    request.path = "/v1/lists/" + name + "/check";
    request.body = text.value();
    const auto response = call_operator(options, world, request);
    if (response.has_error()) {
        return report_failure(world, response.error());
    }
    if (response.value().status == 422) {
        print_findings(world, json::parse(response.value().body, nullptr, false), path);
        return exit_code::faults;
    }
    if (response.value().status != 200) {
        return report_problem(world, response.value());
    }
    world.err << path << ": no faults\n";
    return exit_code::done;
}

std::multiset<std::string> lines_of(const std::string& text) {
    std::multiset<std::string> lines;
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        lines.insert(line);
    }
    return lines;
}

//! Prints the lines of `text` that `others` doesn't have, in order.
void print_missing(std::ostream& out, const std::string& text, std::multiset<std::string> others,
                   char sign) {
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        const auto same = others.find(line);
        if (same != others.end()) {
            others.erase(same);
        } else {
            out << sign << line << '\n';
        }
    }
}

exit_code diff(const ctl_options& options, const ctl_world& world, const std::string& name,
               const std::string& path) {
    const auto text = world.read_file(path);
    if (text.has_error()) {
        return report_failure(world, text.error());
    }
    const auto present = read_list(options, world, name);
    if (present.has_error()) {
        return report_failure(world, present.error());
    }
    if (present.value().status != 200) {
        return report_problem(world, present.value());
    }
    print_missing(world.out, present.value().body, lines_of(text.value()), '-');
    print_missing(world.out, text.value(), lines_of(present.value().body), '+');
    return exit_code::done;
}

exit_code finish_edit(const ctl_options& options, const ctl_world& world, const std::string& name,
                      const std::string& path, const client_response& response) {
    const auto body = json::parse(response.body, nullptr, false);
    if (response.status == 422) {
        print_findings(world, body, path);
        return exit_code::faults;
    }
    if (response.status == 409) {
        world.err << "conflict: the list was changed meanwhile, now at version "
                  << body.value("version", std::uint64_t{0}) << "; nothing was done\n";
        print_changes(world.err, body.value("changes", json::array()));
        return exit_code::conflict;
    }
    if (response.status != 200) {
        return report_problem(world, response);
    }
    const auto version = body.value("version", std::uint64_t{0});
    world.out << (options.json ? body.dump(2) : "accepted at version " + std::to_string(version))
              << std::endl;
    return wait_in_force(options, world, {name, version});
}

exit_code edit(const ctl_options& options, const ctl_world& world, const std::string& name,
               const std::string& path) {
    const auto text = world.read_file(path);
    if (text.has_error()) {
        return report_failure(world, text.error());
    }
    std::string etag = '"' + options.base + '"';
    if (options.base.empty()) {
        const auto present = read_list(options, world, name);
        if (present.has_error()) {
            return report_failure(world, present.error());
        }
        etag = present.value().etag;
    }
    client_request request;
    request.method = "PUT";
    request.path = "/v1/lists/" + name;
    request.headers.push_back("If-Match: " + etag);
    request.body = text.value();
    const auto response = call_operator(options, world, request);
    if (response.has_error()) {
        report_failure(world, response.error());
        return exit_code::unknown;
    }
    return finish_edit(options, world, name, path, response.value());
}

exit_code history(const ctl_options& options, const ctl_world& world, const std::string& name) {
    json body;
    const auto code = read_json(options, world, "/v1/lists/" + name + "/history", body);
    if (code != exit_code::done) {
        return code;
    }
    if (options.json) {
        world.out << body.dump(2) << '\n';
    } else {
        print_changes(world.out, body.value("changes", json::array()));
    }
    return exit_code::done;
}

}  // namespace

exit_code run_list(const ctl_options& options, const std::vector<std::string>& words,
                   const ctl_world& world) {
    const auto& name = words[0];
    const std::string action = words.size() > 1 ? words[1] : "";
    if (words.size() == 2 && action == "show") {
        return show(options, world, name);
    }
    if (words.size() == 2 && action == "history") {
        return history(options, world, name);
    }
    if (words.size() == 3 && action == "check") {
        return check(options, world, name, words[2]);
    }
    if (words.size() == 3 && action == "diff") {
        return diff(options, world, name, words[2]);
    }
    if (words.size() == 3 && action == "edit") {
        return edit(options, world, name, words[2]);
    }
    world.err << "cyclamenctl: " << name << " show|history, or check|diff|edit FILE\n";
    return exit_code::usage;
}

}  // namespace cyclamenmount::detail
