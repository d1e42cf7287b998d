//! Events and effects as JSON.
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

nlohmann::json event_to_json(const event& happened) {
    return detail::variant_to_json(happened, event_kinds);
}

result<event> event_from_json(const nlohmann::json& value) {
    try {
        event happened = detail::variant_from_json<event>(value, event_kinds);
        if (!detail::confirms(value, event_to_json(happened))) {
            return error{error_kind::invalid, "field of the wrong type or out of range"};
        }
        return happened;
    } catch (const std::exception& fault) {
        return error{error_kind::invalid, fault.what()};
    }
}

nlohmann::json effect_to_json(const effect& wanted) {
    return detail::variant_to_json(wanted, effect_kinds);
}

}  // namespace cyclamenmount
