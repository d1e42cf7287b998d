//! Text forms of enumerators for responses, logs and metrics.
#pragma once

#include "types/errors.h"
#include "types/fleet.h"
#include "types/peer_messages.h"
#include "types/store.h"

#include <string_view>

namespace cyclamenmount {

constexpr std::string_view enum_name(execution value) {
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::may_have_run:
        return "may_have_run";
    case execution::ran:
        return "ran";
    }
    return "unknown";
}

constexpr std::string_view enum_name(refusal_reason value) {
    switch (value) {
    case refusal_reason::malformed:
        return "malformed";
    case refusal_reason::unauthenticated:
        return "unauthenticated";
    case refusal_reason::not_allowed:
        return "not_allowed";
    case refusal_reason::unknown_target:
        return "unknown_target";
    case refusal_reason::too_large:
        return "too_large";
    case refusal_reason::rate_limited:
        return "rate_limited";
    case refusal_reason::concurrency_limited:
        return "concurrency_limited";
    case refusal_reason::tokens_limited:
        return "tokens_limited";
    case refusal_reason::deadline_too_short:
        return "deadline_too_short";
    case refusal_reason::deadline_exceeded:
        return "deadline_exceeded";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::no_upstream:
        return "no_upstream";
    case refusal_reason::key_required:
        return "key_required";
    case refusal_reason::key_reused:
        return "key_reused";
    case refusal_reason::store_unavailable:
        return "store_unavailable";
    case refusal_reason::outcome_unknown:
        return "outcome_unknown";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::not_ready:
        return "not_ready";
    case refusal_reason::upstream_failed:
        return "upstream_failed";
    case refusal_reason::internal:
        return "internal";
    }
    return "unknown";
}

constexpr std::string_view enum_name(upstream_condition value) {
    switch (value) {
    case upstream_condition::cold:
        return "cold";
    case upstream_condition::warm:
        return "warm";
    case upstream_condition::leaving:
        return "leaving";
    }
    return "unknown";
}

//! Prefix of the log lines of a coordination component.
constexpr std::string_view enum_name(component value) {
    switch (value) {
    case component::roster:
        return "roster";
    case component::documents:
        return "documents";
    case component::slots:
        return "slots";
    case component::shares:
        return "shares";
    case component::quarantine:
        return "quarantine";
    case component::once:
        return "once";
    case component::registry:
        return "registry";
    case component::dispatch:
        return "dispatch";
    case component::admission:
        return "admission";
    case component::orders:
        return "orders";
    }
    return "unknown";
}

constexpr std::string_view enum_name(pieces_verdict value) {
    switch (value) {
    case pieces_verdict::made:
        return "made";
    case pieces_verdict::overloaded:
        return "overloaded";
    case pieces_verdict::input_lost:
        return "input_lost";
    case pieces_verdict::no_upstream:
        return "no_upstream";
    case pieces_verdict::failed:
        return "failed";
    case pieces_verdict::returned:
        return "returned";
    case pieces_verdict::not_ready:
        return "not_ready";
    }
    return "unknown";
}

}  // namespace cyclamenmount
