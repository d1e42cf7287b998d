#include "callers/internal/server_state.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto default_service_deadline = 5000ms;
constexpr int status_ok = 200;

refusal refuse(refusal_reason reason, std::string detail, std::string place) {
    return {reason, execution::not_run, std::move(detail), std::move(place), {}};
}

struct parsed_call {
    request_fields fields;
    service_input input;
};

decided<parsed_call> parse(const server_state& server, const http_exchange& http,
                           std::string_view pool, std::string_view operation) {
    parsed_call parsed;
    BOOST_OUTCOME_TRY(headers, http.headers());
    BOOST_OUTCOME_TRY(parsed_fields, parse_fields(headers));
    parsed.fields = std::move(parsed_fields);
    const auto found = server.dependencies.known.pools.find({std::string(pool)});
    const bool known = found != server.dependencies.known.pools.end() &&
                       found->second.kind == pool_kind::service && is_operation_name(operation);
    if (!known) {
        return refuse(refusal_reason::unknown_target, "no such service or operation", "path");
    }
    parsed.input.pool = found->first;
    parsed.input.operation = operation;
    BOOST_OUTCOME_TRY(parsed_body, http.read_body(server.settings.max_body_bytes));
    parsed.input.body = std::move(parsed_body);
    if (!nlohmann::json::accept(parsed.input.body)) {
        return refuse(refusal_reason::malformed, "the body must be JSON", "body");
    }
    const bool is_idempotent = found->second.idempotent.contains(parsed.input.operation);
    if (!is_idempotent && parsed.fields.key.empty()) {
        return refuse(refusal_reason::key_required, "this operation runs at most once",
                      "Idempotency-Key");
    }
    return parsed;
}

}  // namespace

void serve_service(server_state& server, http_exchange& http, std::string_view pool,
                   std::string_view operation) {
    const auto parsed = parse(server, http, pool, operation);
    if (!parsed) {
        record_refusal(server, std::string(), parsed.error());
        http.send_problem(parsed.error());
        return;
    }
    const auto& [fields, input] = parsed.value();
    const std::string target = input.pool.value + "/" + input.operation;
    admission_wanted wanted;
    wanted.service = input.pool;
    wanted.body = fingerprint_of(fields.key_sha256, "service/" + target, input.body);
    const milliseconds deadline =
        fields.deadline > 0ms ? fields.deadline : default_service_deadline;
    auto decision = admit(server, fields, wanted, deadline);
    if (!decision) {
        record_refusal(server, target, decision.error());
        http.send_problem(decision.error());
        return;
    }
    admitted& request = decision.value();
    request.target = target;
    service_response response = run_service_call(environment_of(server), request.request, input);
    record_end(server, request, response.refused, std::move(response.costs), 0ms);
    if (response.refused) {
        http.send_problem(*response.refused);
    } else {
        http.send_json(status_ok, response.body);
    }
}

}  // namespace cyclamenmount::detail
