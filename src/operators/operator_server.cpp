#include "operators/operator_server.h"

#include "lists/lists.h"
#include "secrets/secrets.h"
#include "types/words.h"

#include <charconv>
#include <chrono>

namespace cyclamenmount {

namespace {

using nlohmann::json;

constexpr milliseconds edit_limit = 8s;
constexpr std::size_t max_text_length = 200;
constexpr int listener_threads = 8;

http_answer problem(int status, std::string_view title, const std::string& detail) {
    const json body = {{"title", title}, {"status", status}, {"detail", detail}};
    return {status, "application/problem+json", {}, body.dump()};
}

http_answer answer_json(const json& body) {
    return {200, "application/json", {}, body.dump()};
}

http_answer answer_findings(const findings& found) {
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

//! Printable text of bounded length, as it goes into history and logs.
std::string plain_text(std::string_view text) {
    std::string plain;
    for (const char c : text.substr(0, max_text_length)) {
        plain += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return plain;
}

//! The version in an `If-Match` header.
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

//! Both lists as in force, for cross checks.
struct lists_in_force {
    plan_list plans;
    allowance_list allowances;
};

}  // namespace

struct operator_server::impl {
    operator_settings settings;
    operator_dependencies needs;
    std::unique_ptr<http_server> server;

    [[nodiscard]] http_answer serve(const http_call& call) const;
    [[nodiscard]] http_answer serve_list(const http_call& call, const std::string& document,
                                         std::string_view action) const;
    [[nodiscard]] http_answer read_list(const std::string& name) const;
    [[nodiscard]] http_answer edit_list(const http_call& call, const std::string& name) const;
    [[nodiscard]] http_answer edit_availability(const http_call& call) const;
    [[nodiscard]] findings check_list(const std::string& name, const std::string& text) const;
    [[nodiscard]] change_record new_change(const http_call& call, std::string what) const;
    [[nodiscard]] http_answer answer_edit(const result<edit_decided>& answer,
                                          const change_record& change,
                                          const std::string& document) const;
    [[nodiscard]] http_answer look(const std::function<json(const control_state&)>& describe) const;
};

http_answer
operator_server::impl::look(const std::function<json(const control_state&)>& describe) const {
    json body;
    const bool seen = needs.inspect([&](const control_state& state) { body = describe(state); });
    if (!seen) {
        return problem(503, "stopping", "this instance is stopping");
    }
    return answer_json(body);
}

http_answer operator_server::impl::serve(const http_call& call) const {
    const auto authorization = call.header("Authorization").value_or("");
    if (!same_secret(authorization, "Bearer " + settings.secret)) {
        needs.audit("refused a call without the operators' secret: " + call.method + ' ' +
                    plain_text(call.path));
        return problem(401, "unauthenticated", "the operators' secret is needed");
    }
    constexpr std::string_view lists = "/v1/lists/";
    if (call.path.starts_with(lists)) {
        auto name = call.path.substr(lists.size());
        const auto slash = name.find('/');
        const auto action = slash == std::string::npos ? "" : name.substr(slash + 1);
        return serve_list(call, "config/" + name.substr(0, slash), action);
    }
    if (call.method == "POST" && call.path == "/v1/availability") {
        return edit_availability(call);
    }
    if (call.method != "GET") {
        return problem(405, "method not allowed", call.method + " isn't served here");
    }
    if (call.path == "/metrics") {
        return {200, "text/plain; version=0.0.4", {}, needs.metrics_page()};
    }
    if (call.path == "/v1/versions") {
        return look([](const control_state& state) { return describe_versions(state); });
    }
    if (call.path == "/v1/status") {
        return look(
            [](const control_state& state) { return describe_status(state, boot_clock::now()); });
    }
    if (call.path == "/v1/dump") {
        return {200, "application/json", {}, needs.control.dump()};
    }
    return problem(404, "not found", "no such resource");
}

http_answer operator_server::impl::serve_list(const http_call& call, const std::string& document,
                                              std::string_view action) const {
    if (document != document_names::plans && document != document_names::allowances) {
        return problem(404, "not found", "the lists are plans and allowances");
    }
    if (call.method == "GET" && action.empty()) {
        return read_list(document);
    }
    if (call.method == "PUT" && action.empty()) {
        return edit_list(call, document);
    }
    if (call.method == "POST" && action == "check") {
        const auto found = check_list(document, call.body);
        return found.empty() ? answer_json({{"findings", json::array()}}) : answer_findings(found);
    }
    if (call.method == "GET" && action == "history") {
        return look([&document](const control_state& state) {
            const auto held = state.documents.held.find(document);
            if (held == state.documents.held.end()) {
                return json{{"version", 0}, {"changes", json::array()}};
            }
            return json{{"version", held->second.version},
                        {"changes", describe_changes(held->second.changes)}};
        });
    }
    return problem(404, "not found", "no such resource");
}

http_answer operator_server::impl::read_list(const std::string& name) const {
    document held;
    const bool seen = needs.inspect([&](const control_state& state) {
        const auto at = state.documents.held.find(name);
        if (at != state.documents.held.end()) {
            held = at->second;
        }
    });
    if (!seen) {
        return problem(503, "stopping", "this instance is stopping");
    }
    return {200,
            "text/plain; charset=utf-8",
            {{"ETag", '"' + std::to_string(held.version) + '"'}},
            held.text};
}

findings operator_server::impl::check_list(const std::string& name, const std::string& text) const {
    lists_in_force lists;
    needs.inspect([&](const control_state& state) {
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

change_record operator_server::impl::new_change(const http_call& call, std::string what) const {
    change_record change;
    change.operation = call.header("X-Operation").value_or(draw_id());
    change.who = plain_text(call.header("X-Operator").value_or("unnamed"));
    change.reason = plain_text(call.header("X-Reason").value_or(""));
    change.what = std::move(what);
    change.at_ms = wall_clock_ms();
    return change;
}

http_answer operator_server::impl::edit_list(const http_call& call, const std::string& name) const {
    const auto base = parse_version(call.header("If-Match"));
    if (!base.has_value()) {
        return problem(428, "precondition required", "If-Match: \"VERSION\" is needed");
    }
    const auto found = check_list(name, call.body);
    if (!found.empty()) {
        needs.audit("refused " + name + ": the list has " + std::to_string(found.size()) +
                    " faults");
        return answer_findings(found);
    }
    auto change = new_change(call, name + " replaced");
    change.base = *base;
    const auto answer = needs.control.edit_list({0, name, call.body, change}, edit_limit);
    return answer_edit(answer, change, name);
}

http_answer operator_server::impl::edit_availability(const http_call& call) const {
    const auto body = json::parse(call.body, nullptr, false);
    const bool has_target =
        body.is_object() && (body.contains("zone") != body.contains("upstream"));
    if (!has_target || !body.contains("out") || !body["out"].is_boolean()) {
        return problem(400, "malformed", R"(expected {"zone" or "upstream": NAME, "out": bool})");
    }
    const auto& name = body.contains("zone") ? body["zone"] : body["upstream"];
    if (!name.is_string() || name.get<std::string>().empty()) {
        return problem(400, "malformed", "the name must be text");
    }
    availability_wanted wanted;
    wanted.out = body["out"].get<bool>();
    if (body.contains("zone")) {
        wanted.zone = zone_name{name.get<std::string>()};
    } else {
        wanted.upstream = upstream_id{name.get<std::string>()};
    }
    const std::string what = (body.contains("zone") ? "zone " : "upstream ") +
                             plain_text(name.get<std::string>()) + (wanted.out ? " out" : " in");
    wanted.change = new_change(call, what);
    const auto reason = body.find("reason");
    if (reason != body.end() && reason->is_string()) {
        wanted.change.reason = plain_text(reason->get<std::string>());
    }
    const auto answer = needs.control.edit_availability(wanted, edit_limit);
    return answer_edit(answer, wanted.change, document_names::availability);
}

http_answer operator_server::impl::answer_edit(const result<edit_decided>& answer,
                                               const change_record& change,
                                               const std::string& document) const {
    const std::string told =
        change.who + ": " + change.what + " (" + change.reason + "), operation " + change.operation;
    if (answer.has_error()) {
        needs.audit("not known whether accepted: " + told);
        return problem(504, "unknown", answer.error().message);
    }
    using verdict = edit_decided::verdict;
    const auto& decided = answer.value();
    const json body = {{"document", document},
                       {"operation", change.operation},
                       {"version", decided.version},
                       {"recorded", decided.outcome == verdict::accepted},
                       {"changes", describe_changes(decided.changes)}};
    const auto with_status = [&body](int status) {
        return http_answer{status, "application/json", {}, body.dump()};
    };
    switch (decided.outcome) {
    case verdict::accepted:
        needs.audit("accepted at version " + std::to_string(decided.version) + ": " + told);
        return with_status(200);
    case verdict::emergency:
        needs.audit("in force, not yet recorded: " + told);
        return with_status(202);
    case verdict::conflict:
        needs.audit("refused, changed meanwhile: " + told);
        return with_status(409);
    case verdict::unknown:
        break;
    }
    needs.audit("not known whether accepted: " + told);
    return problem(503, "unknown", "the store gave no answer; read the history before repeating");
}

result<std::unique_ptr<operator_server>>
operator_server::start(operator_settings settings, operator_dependencies dependencies) {
    auto implementation = std::make_unique<impl>();
    implementation->settings = std::move(settings);
    implementation->needs = std::move(dependencies);
    const auto* const self = implementation.get();
    http_server_settings listener;
    listener.listen = self->settings.listen;
    listener.threads = listener_threads;
    auto server =
        http_server::start(listener, [self](const http_call& call) { return self->serve(call); });
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
