#include "operators/operator_server.h"

#include "lists/lists.h"
#include "secrets/secrets.h"
#include "types/enum_names.h"

#include <charconv>
#include <chrono>

namespace cyclamenmount {

namespace {

using nlohmann::json;

constexpr milliseconds edit_timeout = 8s;
constexpr std::size_t max_text_length = 200;
constexpr int listener_threads = 8;

http_server_response problem(int status, std::string_view title, const std::string& detail) {
    const json body = {{"title", title}, {"status", status}, {"detail", detail}};
    return {status, "application/problem+json", {}, body.dump()};
}

http_server_response json_response(const json& body) {
    return {200, "application/json", {}, body.dump()};
}

http_server_response findings_response(const findings& found) {
    json listed = json::array();
    for (const auto& one : found) {
        listed.push_back({{"file", one.file}, {"line", one.line}, {"message", one.message}});
    }
    const json body = {{"title", "the list has faults"}, {"status", 422}, {"findings", listed}};
    return {422, "application/problem+json", {}, body.dump()};
}

std::int64_t wall_clock_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

//! The text with each invalid UTF-8 sequence replaced by U+FFFD.
std::string valid_utf8(std::string_view text) {
    const std::string encoded = json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    return json::parse(encoded).get<std::string>();
}

//! The text with control characters replaced by spaces and cut to `max_text_length` bytes, as valid
//! UTF-8, for history and logs.
std::string sanitized(std::string_view text) {
    std::string plain;
    for (const char c : text.substr(0, max_text_length)) {
        plain += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return valid_utf8(plain);
}

//! The version in an `If-Match` header; none unless it is a number in double quotes.
std::optional<object_version> parse_version(const std::optional<std::string>& header) {
    if (!header.has_value() || header->size() < 3 || header->front() != '"' ||
        header->back() != '"') {
        return std::nullopt;
    }
    object_version version = 0;
    const char* const end = header->data() + header->size() - 1;
    const auto [stopped, failure] = std::from_chars(header->data() + 1, end, version);
    if (failure != std::errc{} || stopped != end) {
        return std::nullopt;
    }
    return version;
}

//! The plan list and the allowance list, for checks of one against the other.
struct operator_lists {
    plan_list plans;
    allowance_list allowances;
};

}  // namespace

struct operator_server::impl {
    operator_settings settings;
    operator_dependencies dependencies;
    std::unique_ptr<http_server> server;

    [[nodiscard]] http_server_response serve(const http_server_request& request) const;
    [[nodiscard]] http_server_response serve_list(const http_server_request& request,
                                                  const std::string& document,
                                                  std::string_view action) const;
    [[nodiscard]] http_server_response read_list(const std::string& name) const;
    [[nodiscard]] http_server_response edit_list(const http_server_request& request,
                                                 const std::string& name) const;
    [[nodiscard]] http_server_response edit_availability(const http_server_request& request) const;
    [[nodiscard]] findings check_list(const std::string& name, const std::string& text) const;
    [[nodiscard]] change_record new_change(const http_server_request& request,
                                           std::string what) const;
    [[nodiscard]] http_server_response edit_response(const result<edit_decided>& outcome,
                                                     const change_record& change,
                                                     const std::string& document) const;
    [[nodiscard]] http_server_response
    describe_state(const std::function<json(const control_state&)>& describe) const;
};

http_server_response operator_server::impl::describe_state(
    const std::function<json(const control_state&)>& describe) const {
    json body;
    const bool inspected =
        dependencies.inspect([&](const control_state& state) { body = describe(state); });
    if (!inspected) {
        return problem(503, "stopping", "this instance is stopping");
    }
    return json_response(body);
}

http_server_response operator_server::impl::serve(const http_server_request& request) const {
    const auto authorization = request.header("Authorization").value_or("");
    if (!secrets_equal(authorization, "Bearer " + settings.secret)) {
        dependencies.audit("refused a call without the operator secret: " + request.method + ' ' +
                           sanitized(request.path));
        return problem(401, "unauthenticated", "the operator secret is required");
    }
    constexpr std::string_view lists = "/v1/lists/";
    if (request.path.starts_with(lists)) {
        auto name = request.path.substr(lists.size());
        const auto slash = name.find('/');
        const auto action = slash == std::string::npos ? "" : name.substr(slash + 1);
        return serve_list(request, "config/" + name.substr(0, slash), action);
    }
    if (request.method == "POST" && request.path == "/v1/availability") {
        return edit_availability(request);
    }
    if (request.method != "GET") {
        return problem(405, "method not allowed", request.method + " is not supported");
    }
    if (request.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", {}, dependencies.metrics_page()};
    }
    if (request.path == "/v1/versions") {
        return describe_state([](const control_state& state) { return describe_versions(state); });
    }
    if (request.path == "/v1/status") {
        return describe_state(
            [](const control_state& state) { return describe_status(state, boot_clock::now()); });
    }
    if (request.path == "/v1/dump") {
        return {200, "application/json", {}, dependencies.control.dump()};
    }
    return problem(404, "not found", "no such resource");
}

http_server_response operator_server::impl::serve_list(const http_server_request& request,
                                                       const std::string& document,
                                                       std::string_view action) const {
    if (document != document_names::plans && document != document_names::allowances) {
        return problem(404, "not found", "no such list; the lists are plans and allowances");
    }
    if (request.method == "GET" && action.empty()) {
        return read_list(document);
    }
    if (request.method == "PUT" && action.empty()) {
        return edit_list(request, document);
    }
    if (request.method == "POST" && action == "check") {
        const auto found = check_list(document, request.body);
        return found.empty() ? json_response({{"findings", json::array()}})
                             : findings_response(found);
    }
    if (request.method == "GET" && action == "history") {
        return describe_state([&document](const control_state& state) {
            const auto held = state.documents.documents_in_force.find(document);
            if (held == state.documents.documents_in_force.end()) {
                return json{{"version", 0}, {"changes", json::array()}};
            }
            return json{{"version", held->second.version},
                        {"changes", describe_changes(held->second.changes)}};
        });
    }
    return problem(404, "not found", "no such resource");
}

http_server_response operator_server::impl::read_list(const std::string& name) const {
    document held;
    const bool inspected = dependencies.inspect([&](const control_state& state) {
        const auto at = state.documents.documents_in_force.find(name);
        if (at != state.documents.documents_in_force.end()) {
            held = at->second;
        }
    });
    if (!inspected) {
        return problem(503, "stopping", "this instance is stopping");
    }
    return {200,
            "text/plain; charset=utf-8",
            {{"ETag", '"' + std::to_string(held.version) + '"'}},
            held.text};
}

findings operator_server::impl::check_list(const std::string& name, const std::string& text) const {
    if (valid_utf8(text) != text) {
        return {{name, 0, "the list is not valid UTF-8"}};
    }
    operator_lists lists;
    dependencies.inspect([&](const control_state& state) {
        lists = {state.documents.plans, state.documents.allowances};
    });
    if (name == document_names::plans) {
        auto plans = parse_plans(text, "plans");
        if (plans.has_error()) {
            return plans.error();
        }
        lists.plans = std::move(plans.value());
    } else {
        auto allowances = parse_allowances(text, "allowances");
        if (allowances.has_error()) {
            return allowances.error();
        }
        lists.allowances = std::move(allowances.value());
    }
    return cross_check(lists.plans, lists.allowances, settings.pools, name);
}

change_record operator_server::impl::new_change(const http_server_request& request,
                                                std::string what) const {
    change_record change;
    change.operation = valid_utf8(request.header("X-Operation").value_or(generate_id()));
    change.who = sanitized(request.header("X-Operator").value_or("unnamed"));
    change.reason = sanitized(request.header("X-Reason").value_or(""));
    change.what = std::move(what);
    change.at_ms = wall_clock_ms();
    return change;
}

http_server_response operator_server::impl::edit_list(const http_server_request& request,
                                                      const std::string& name) const {
    const auto base = parse_version(request.header("If-Match"));
    if (!base.has_value()) {
        return problem(428, "precondition required", "If-Match: \"VERSION\" is required");
    }
    const auto found = check_list(name, request.body);
    if (!found.empty()) {
        dependencies.audit("refused " + name + ": the list has " + std::to_string(found.size()) +
                           " faults");
        return findings_response(found);
    }
    auto change = new_change(request, name + " replaced");
    change.base = *base;
    const auto outcome =
        dependencies.control.edit_list({0, name, request.body, change}, edit_timeout);
    return edit_response(outcome, change, name);
}

http_server_response
operator_server::impl::edit_availability(const http_server_request& request) const {
    const auto body = json::parse(request.body, nullptr, false);
    const bool has_target =
        body.is_object() && (body.contains("zone") != body.contains("upstream"));
    if (!has_target || !body.contains("out") || !body["out"].is_boolean()) {
        return problem(400, "malformed", R"(expected {"zone" or "upstream": NAME, "out": bool})");
    }
    const auto& name = body.contains("zone") ? body["zone"] : body["upstream"];
    if (!name.is_string() || name.get<std::string>().empty()) {
        return problem(400, "malformed", "the name must be a non-empty text");
    }
    availability_wanted wanted;
    wanted.out = body["out"].get<bool>();
    if (body.contains("zone")) {
        wanted.zone = zone_name{name.get<std::string>()};
    } else {
        wanted.upstream = upstream_id{name.get<std::string>()};
    }
    const std::string what = (body.contains("zone") ? "zone " : "upstream ") +
                             sanitized(name.get<std::string>()) + (wanted.out ? " out" : " in");
    wanted.change = new_change(request, what);
    const auto reason = body.find("reason");
    if (reason != body.end() && reason->is_string()) {
        wanted.change.reason = sanitized(reason->get<std::string>());
    }
    const auto outcome = dependencies.control.edit_availability(wanted, edit_timeout);
    return edit_response(outcome, wanted.change, document_names::availability);
}

http_server_response operator_server::impl::edit_response(const result<edit_decided>& outcome,
                                                          const change_record& change,
                                                          const std::string& document) const {
    const std::string description =
        change.who + ": " + change.what + " (" + change.reason + "), operation " + change.operation;
    if (outcome.has_error()) {
        dependencies.audit("not known whether accepted: " + description);
        return problem(504, "unknown", outcome.error().message);
    }
    using verdict = edit_decided::verdict;
    const auto& decided = outcome.value();
    const json body = {{"document", document},
                       {"operation", change.operation},
                       {"version", decided.version},
                       {"recorded", decided.outcome == verdict::accepted},
                       {"changes", describe_changes(decided.changes)}};
    const auto with_status = [&body](int status) {
        return http_server_response{status, "application/json", {}, body.dump()};
    };
    switch (decided.outcome) {
    case verdict::accepted:
        dependencies.audit("accepted at version " + std::to_string(decided.version) + ": " +
                           description);
        return with_status(200);
    case verdict::emergency:
        dependencies.audit("in force, not yet recorded: " + description);
        return with_status(202);
    case verdict::conflict:
        dependencies.audit("refused, changed meanwhile: " + description);
        return with_status(409);
    case verdict::unknown:
        break;
    }
    dependencies.audit("not known whether accepted: " + description);
    return problem(503, "unknown", "no response from the store; read the history before repeating");
}

result<std::unique_ptr<operator_server>>
operator_server::start(operator_settings settings, operator_dependencies dependencies) {
    auto implementation = std::make_unique<impl>();
    implementation->settings = std::move(settings);
    implementation->dependencies = std::move(dependencies);
    const auto* const self = implementation.get();
    http_server_settings listener;
    listener.listen = self->settings.listen;
    listener.threads = listener_threads;
    auto server = http_server::start(
        listener, [self](const http_server_request& request) { return self->serve(request); });
    if (server.has_error()) {
        return server.error();
    }
    implementation->server = std::move(server.value());
    return std::unique_ptr<operator_server>(new operator_server(std::move(implementation)));
}

operator_server::operator_server(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

operator_server::~operator_server() = default;

int operator_server::port() const {
    return impl_->server->port();
}

}  // namespace cyclamenmount
