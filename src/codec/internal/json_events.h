//! JSON conversions of events and effects.
#pragma once

#include "codec/internal/json_messages.h"

namespace cyclamenmount {

NLOHMANN_JSON_SERIALIZE_ENUM(component, {{component::roster, "roster"},
                                         {component::documents, "documents"},
                                         {component::slots, "slots"},
                                         {component::shares, "shares"},
                                         {component::quarantine, "quarantine"},
                                         {component::once, "once"},
                                         {component::registry, "registry"},
                                         {component::dispatch, "dispatch"},
                                         {component::admission, "admission"},
                                         {component::orders, "orders"}})
NLOHMANN_JSON_SERIALIZE_ENUM(store_status, {{store_status::unknown, "unknown"},
                                            {store_status::ok, "ok"},
                                            {store_status::missing, "missing"},
                                            {store_status::conflict, "conflict"},
                                            {store_status::refused, "refused"}})
NLOHMANN_JSON_SERIALIZE_ENUM(attempt_outcome, {{attempt_outcome::ok, "ok"},
                                               {attempt_outcome::refused, "refused"},
                                               {attempt_outcome::failed, "failed"},
                                               {attempt_outcome::died, "died"},
                                               {attempt_outcome::timed_out, "timed_out"},
                                               {attempt_outcome::cancelled, "cancelled"},
                                               {attempt_outcome::not_started, "not_started"}})
NLOHMANN_JSON_SERIALIZE_ENUM(execution, {{execution::not_run, "not_run"},
                                         {execution::may_have_run, "may_have_run"},
                                         {execution::ran, "ran"}})
NLOHMANN_JSON_SERIALIZE_ENUM(refusal_reason,
                             {{refusal_reason::malformed, "malformed"},
                              {refusal_reason::unauthenticated, "unauthenticated"},
                              {refusal_reason::not_allowed, "not_allowed"},
                              {refusal_reason::unknown_target, "unknown_target"},
                              {refusal_reason::too_large, "too_large"},
                              {refusal_reason::rate_limited, "rate_limited"},
                              {refusal_reason::concurrency_limited, "concurrency_limited"},
                              {refusal_reason::tokens_limited, "tokens_limited"},
                              {refusal_reason::deadline_too_short, "deadline_too_short"},
                              {refusal_reason::deadline_exceeded, "deadline_exceeded"},
                              {refusal_reason::overloaded, "overloaded"},
                              {refusal_reason::no_upstream, "no_upstream"},
                              {refusal_reason::key_required, "key_required"},
                              {refusal_reason::key_reused, "key_reused"},
                              {refusal_reason::store_unavailable, "store_unavailable"},
                              {refusal_reason::outcome_unknown, "outcome_unknown"},
                              {refusal_reason::quarantined, "quarantined"},
                              {refusal_reason::stopping, "stopping"},
                              {refusal_reason::not_ready, "not_ready"},
                              {refusal_reason::upstream_failed, "upstream_failed"},
                              {refusal_reason::internal, "internal"}})
NLOHMANN_JSON_SERIALIZE_ENUM(edit_decided::verdict,
                             {{edit_decided::verdict::accepted, "accepted"},
                              {edit_decided::verdict::conflict, "conflict"},
                              {edit_decided::verdict::emergency, "emergency"},
                              {edit_decided::verdict::unknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(severity, {{severity::info, "info"},
                                        {severity::warning, "warning"},
                                        {severity::error, "error"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_ticket, owner, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stored_object, key, version, value, deleted)

// --- events -------------------------------------------------------------------------------------

inline void to_json(nlohmann::json& out, const tick& /*value*/) {
    out = nlohmann::json::object();
}

inline void from_json(const nlohmann::json& /*in*/, tick& /*value*/) {}

inline void to_json(nlohmann::json& out, const stop_wanted& /*value*/) {
    out = nlohmann::json::object();
}

inline void from_json(const nlohmann::json& /*in*/, stop_wanted& /*value*/) {}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_message_received, from, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_replied, number, status, object)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(watch_ended, prefix, status, revision, objects, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instances_listed, status, instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(upstream_polled, upstream, answered, report)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_answered, upstream, number, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(admission_wanted, number, key_sha256, pipeline, service, body,
                                   time_left, max_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_ended, number, workspace, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_wanted, number, attempt, request, body, pool, workspace,
                                   stage, priority, prefix_hash, excluded, time_left, restartable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_ended, attempt, upstream, outcome, report, took,
                                   first_token, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_wanted, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_returned, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_ended, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_wanted, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stage_finished, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_ended, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(list_edit_wanted, number, document, text, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(availability_wanted, number, zone, upstream, out, change)

// --- effects (encoded only) ---------------------------------------------------------------------

inline void to_json(nlohmann::json& out, const list_instances& /*value*/) {
    out = nlohmann::json::object();
}

inline void to_json(nlohmann::json& out, const drained& /*value*/) {
    out = nlohmann::json::object();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(refusal, reason, state, detail, place, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_to_peer, to, message)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_read, number, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(store_write, number, key, value, expected)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(watch_prefix, prefix, after, timeout, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(poll_upstream, upstream, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_upstream, upstream, address, number, fence, order, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(admission, workspace, plan, priority, time_left)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_grant, upstream, address, zone, start_before,
                                   expected_first_byte)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_cancelled, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(permit_decided, reply)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_decided, reply)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(edit_decided, number, outcome, version, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_line, level, from, text)

//! Encodes a decision as an object with one field, `granted` or `refused`.
template <typename T>
nlohmann::json decision_to_json(const decided<T>& decision) {
    if (decision.has_value()) {
        return {{"granted", decision.value()}};
    }
    return {{"refused", decision.error()}};
}

inline void to_json(nlohmann::json& out, const admission_decided& value) {
    out = {{"number", value.number}, {"decision", decision_to_json(value.decision)}};
}

inline void to_json(nlohmann::json& out, const attempt_decided& value) {
    out = {{"number", value.number},
           {"attempt", value.attempt},
           {"decision", decision_to_json(value.decision)}};
}

}  // namespace cyclamenmount
