#include "coordination/documents/documents.h"

#include "coordination/documents/internal/reducer_steps.h"
#include "coordination/documents/internal/stored_text.h"
#include "lists/lists.h"
#include "types/overloaded.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace cyclamenmount {

namespace detail {

namespace {

//! Maximum number of recorded operation ids that are kept. They prevent a late notice from
//! restoring an emergency order that was already recorded.
constexpr std::size_t max_recorded_operations = 512;

std::string first_message(const findings& found) {
    return found.empty() ? "no details" : found.front().message;
}

void load_plans(documents_context& context, const document& value) {
    auto parsed = parse_plans(value.text, value.name);
    if (!parsed) {
        log_documents(context, severity::error,
                      "Can't read the plan list in the store: " + first_message(parsed.error()) +
                          ".");
        return;
    }
    context.state.plans = std::move(parsed.value());
}

void load_allowances(documents_context& context, const document& value) {
    auto parsed = parse_allowances(value.text, value.name);
    if (!parsed) {
        log_documents(
            context, severity::error,
            "Can't read the allowance list in the store: " + first_message(parsed.error()) + ".");
        return;
    }
    context.state.allowances = std::move(parsed.value());
}

void remove_oldest_recorded(documents_state& state) {
    while (state.recorded.size() > max_recorded_operations) {
        const auto oldest = std::min_element(
            state.recorded.begin(), state.recorded.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; });
        state.recorded.erase(oldest);
    }
}

//! Applies a new availability document. Emergency orders that it records are removed.
void apply_availability(documents_state& state, const document& value) {
    state.out_of_service = parse_availability(value.text);
    for (const change_record& change : value.changes) {
        state.recorded[change.operation] = value.version;
        state.emergency.erase(change.operation);
    }
    remove_oldest_recorded(state);
}

}  // namespace

void log_documents(documents_context& context, severity level, std::string text) {
    context.out.emplace_back(log_line{level, component::documents, std::move(text)});
}

bool accept_document(documents_context& context, const document& value) {
    document& current = context.state.documents_in_force[value.name];
    if (value.version <= current.version) {
        return false;
    }
    current = value;
    if (value.name == document_names::plans) {
        load_plans(context, value);
    } else if (value.name == document_names::allowances) {
        load_allowances(context, value);
    } else if (value.name == document_names::availability) {
        apply_availability(context.state, value);
    }
    log_documents(context, severity::info,
                  value.name + " is in force at version " + std::to_string(value.version) + ".");
    return true;
}

}  // namespace detail

documents_state make_documents(const environment& /*env*/, instant now) {
    documents_state state;
    state.next_watch = now;
    state.next_recording = now;
    return state;
}

documents_state make_documents_in_force(const environment& env, plan_list plans,
                                        allowance_list allowances, instant now) {
    documents_state state = make_documents(env, now);
    state.documents_in_force[document_names::plans] = document{document_names::plans, 1, {}, {}};
    state.documents_in_force[document_names::allowances] =
        document{document_names::allowances, 1, {}, {}};
    state.plans = std::move(plans);
    state.allowances = std::move(allowances);
    state.store_state_as_of = now;
    state.revision = 1;
    return state;
}

void reduce_documents(documents_state& state, const environment& env, const roster_state& roster,
                      const event& happened, instant now, effects& out) {
    detail::documents_context context{state, env, roster, now, out};
    std::visit(
        overloaded{
            [&](const tick&) {
                detail::maintain_watch(context);
                detail::advance_edits(context);
            },
            [&](const peer_message_received& received) { detail::handle_peer(context, received); },
            [&](const watch_ended& ended) { detail::handle_watch_end(context, ended); },
            [&](const store_replied& reply) {
                if (reply.number.owner == component::documents) {
                    detail::handle_store_reply(context, reply);
                }
            },
            [&](const list_edit_wanted& wanted) { detail::start_list_edit(context, wanted); },
            [&](const availability_wanted& wanted) {
                detail::start_availability_edit(context, wanted);
            },
            [](const auto&) {},
        },
        happened);
}

bool has_lists(const documents_state& state) {
    return version_of(state, document_names::plans) > 0 &&
           version_of(state, document_names::allowances) > 0;
}

object_version version_of(const documents_state& state, std::string_view name) {
    const auto found = state.documents_in_force.find(std::string(name));
    return found == state.documents_in_force.end() ? 0 : found->second.version;
}

bool is_out_of_service(const documents_state& state, const zone_name& zone,
                       const upstream_id& upstream) {
    if (state.out_of_service.zones.contains(zone) ||
        state.out_of_service.upstreams.contains(upstream)) {
        return true;
    }
    return std::any_of(state.emergency.begin(), state.emergency.end(), [&](const auto& entry) {
        const emergency_order& order = entry.second;
        return order.zone.empty() ? order.upstream == upstream : order.zone == zone;
    });
}

namespace {

//! True if the peer may have an emergency order that this instance has not received.
bool may_hold_unknown_orders(const documents_state& state, const known_versions& peer) {
    const auto digest = peer.emergency_digest;
    return digest != 0 && digest != emergency_digest(state) &&
           !state.merged_digests.contains(digest);
}

}  // namespace

bool is_availability_fresh(const documents_state& state, const environment& env,
                           const roster_state& roster, instant now) {
    const milliseconds max_staleness = env.timing.max_staleness;
    const object_version own_version = version_of(state, document_names::availability);
    const bool is_behind =
        std::any_of(roster.peers.begin(), roster.peers.end(), [&](const auto& entry) {
            const peer_record& peer = entry.second;
            return peer.has_answered && now - peer.last_answered_ping_at <= max_staleness &&
                   (peer.versions.availability > own_version ||
                    may_hold_unknown_orders(state, peer.versions));
        });
    if (is_behind) {
        return false;
    }
    const bool store_is_fresh =
        state.store_state_as_of && now - *state.store_state_as_of <= max_staleness;
    return store_is_fresh || has_quorum(roster, max_staleness, now);
}

const workspace_entry* find_workspace(const documents_state& state, std::string_view key_sha256) {
    const auto& all = state.plans.workspaces;
    const auto found = std::find_if(all.begin(), all.end(), [&](const workspace_entry& entry) {
        return entry.key_sha256 == key_sha256;
    });
    return found == all.end() ? nullptr : &*found;
}

const allowance* find_allowance(const documents_state& state, const plan_name& plan) {
    const auto found = state.allowances.plans.find(plan);
    return found == state.allowances.plans.end() ? nullptr : &found->second;
}

std::uint64_t digest_of_orders(const std::vector<emergency_order>& orders) {
    std::uint64_t digest = 0;
    for (const auto& order : orders) {
        digest ^= XXH3_64bits(order.operation.data(), order.operation.size());
    }
    return digest;
}

std::uint64_t emergency_digest(const documents_state& state) {
    return digest_of_orders(detail::emergency_orders(state));
}

namespace detail {

std::vector<emergency_order> emergency_orders(const documents_state& state) {
    std::vector<emergency_order> orders;
    for (const auto& [operation, order] : state.emergency) {
        orders.push_back(order);
    }
    return orders;
}

}  // namespace detail

}  // namespace cyclamenmount
