#include "ctl/internal/call.h"
#include "ctl/internal/commands.h"

#include <ostream>
#include <set>
#include <sstream>

namespace cyclamenmount::detail {

namespace {

using nlohmann::json;

result<client_response> read_list(const ctl_options& options, const ctl_io& io,
                                  const std::string& name) {
    client_request request;
    request.path = "/v1/lists/" + name;
    return call_operator(options, io, request);
}

exit_code show(const ctl_options& options, const ctl_io& io, const std::string& name) {
    const auto response = read_list(options, io, name);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    if (response.value().status != 200) {
        return report_problem(io, response.value());
    }
    if (options.json) {
        const json body = {{"version", response.value().etag}, {"text", response.value().body}};
        io.out << body.dump(2) << '\n';
    } else {
        io.err << "version " << response.value().etag << '\n';
        io.out << response.value().body;
    }
    return exit_code::done;
}

exit_code check(const ctl_options& options, const ctl_io& io, const std::string& name,
                const std::string& path) {
    const auto text = io.read_file(path);
    if (text.has_error()) {
        return report_failure(io, text.error());
    }
    client_request request;
    request.method = "POST";
    request.path = "/v1/lists/" + name + "/check";
    request.body = text.value();
    const auto response = call_operator(options, io, request);
    if (response.has_error()) {
        return report_failure(io, response.error());
    }
    if (response.value().status == 422) {
        print_findings(io, json::parse(response.value().body, nullptr, false), path);
        return exit_code::faults;
    }
    if (response.value().status != 200) {
        return report_problem(io, response.value());
    }
    io.err << path << ": no faults\n";
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

//! Prints the lines of `text` that are missing from `others` in order, each after `sign`.
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

exit_code diff(const ctl_options& options, const ctl_io& io, const std::string& name,
               const std::string& path) {
    const auto text = io.read_file(path);
    if (text.has_error()) {
        return report_failure(io, text.error());
    }
    const auto current = read_list(options, io, name);
    if (current.has_error()) {
        return report_failure(io, current.error());
    }
    if (current.value().status != 200) {
        return report_problem(io, current.value());
    }
    print_missing(io.out, current.value().body, lines_of(text.value()), '-');
    print_missing(io.out, text.value(), lines_of(current.value().body), '+');
    return exit_code::done;
}

exit_code finish_edit(const ctl_options& options, const ctl_io& io, const std::string& name,
                      const std::string& path, const client_response& response) {
    const auto body = json::parse(response.body, nullptr, false);
    if (response.status == 422) {
        print_findings(io, body, path);
        return exit_code::faults;
    }
    if (response.status == 409) {
        io.err << "conflict: the list was changed meanwhile, now at version "
               << body.value("version", std::uint64_t{0}) << "; nothing was done\n";
        print_changes(io.err, body.value("changes", json::array()));
        return exit_code::conflict;
    }
    if (response.status != 200) {
        return report_problem(io, response);
    }
    const auto version = body.value("version", std::uint64_t{0});
    io.out << (options.json ? body.dump(2) : "accepted at version " + std::to_string(version))
           << std::endl;
    return wait_in_force(options, io, {name, version});
}

exit_code edit(const ctl_options& options, const ctl_io& io, const std::string& name,
               const std::string& path) {
    const auto text = io.read_file(path);
    if (text.has_error()) {
        return report_failure(io, text.error());
    }
    std::string etag = '"' + options.base + '"';
    if (options.base.empty()) {
        const auto current = read_list(options, io, name);
        if (current.has_error()) {
            return report_failure(io, current.error());
        }
        etag = current.value().etag;
    }
    client_request request;
    request.method = "PUT";
    request.path = "/v1/lists/" + name;
    request.headers.push_back("If-Match: " + etag);
    request.body = text.value();
    const auto response = call_operator(options, io, request);
    if (response.has_error()) {
        report_failure(io, response.error());
        return exit_code::unknown;
    }
    return finish_edit(options, io, name, path, response.value());
}

exit_code history(const ctl_options& options, const ctl_io& io, const std::string& name) {
    json body;
    const auto code = read_json(options, io, "/v1/lists/" + name + "/history", body);
    if (code != exit_code::done) {
        return code;
    }
    if (options.json) {
        io.out << body.dump(2) << '\n';
    } else {
        print_changes(io.out, body.value("changes", json::array()));
    }
    return exit_code::done;
}

}  // namespace

exit_code run_list(const ctl_options& options, const std::vector<std::string>& arguments,
                   const ctl_io& io) {
    const auto& name = arguments[0];
    const std::string action = arguments.size() > 1 ? arguments[1] : "";
    if (arguments.size() == 2 && action == "show") {
        return show(options, io, name);
    }
    if (arguments.size() == 2 && action == "history") {
        return history(options, io, name);
    }
    if (arguments.size() == 3 && action == "check") {
        return check(options, io, name, arguments[2]);
    }
    if (arguments.size() == 3 && action == "diff") {
        return diff(options, io, name, arguments[2]);
    }
    if (arguments.size() == 3 && action == "edit") {
        return edit(options, io, name, arguments[2]);
    }
    io.err << "cyclamenctl: " << name << " show|history, or check|diff|edit FILE\n";
    return exit_code::usage;
}

}  // namespace cyclamenmount::detail
