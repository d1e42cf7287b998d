//! Encodes events and effects as JSON and decodes events.
#include "codec/codec.h"
#include "codec/internal/json_events.h"
#include "codec/internal/json_variant.h"

namespace cyclamenmount {

namespace {

constexpr detail::kind_names<event> event_kinds = {"tick",
                                                   "peer_message_received",
                                                   "store_replied",
                                                   "watch_ended",
                                                   "instances_listed",
                                                   "upstream_polled",
                                                   "order_answered",
                                                   "admission_wanted",
                                                   "request_ended",
                                                   "attempt_wanted",
                                                   "attempt_ended",
                                                   "permit_wanted",
                                                   "permit_returned",
                                                   "call_ended",
                                                   "claim_wanted",
                                                   "stage_finished",
                                                   "claim_ended",
                                                   "list_edit_wanted",
                                                   "availability_wanted",
                                                   "stop_wanted"};

constexpr detail::kind_names<effect> effect_kinds = {
    "send_to_peer",   "store_read",     "store_write",       "watch_prefix",    "list_instances",
    "poll_upstream",  "order_upstream", "admission_decided", "attempt_decided", "attempt_cancelled",
    "permit_decided", "claim_decided",  "edit_decided",      "log_line",        "drained"};

}  // namespace

nlohmann::json event_to_json(const event& value) {
    return detail::variant_to_json(value, event_kinds);
}

result<event> event_from_json(const nlohmann::json& value) {
    try {
        event decoded = detail::variant_from_json<event>(value, event_kinds);
        if (!detail::matches_reencoded(value, event_to_json(decoded))) {
            return error{error_kind::invalid, "field of the wrong type or out of range"};
        }
        return decoded;
    } catch (const std::exception& exception) {
        return error{error_kind::invalid, exception.what()};
    }
}

nlohmann::json effect_to_json(const effect& value) {
    return detail::variant_to_json(value, effect_kinds);
}

}  // namespace cyclamenmount
