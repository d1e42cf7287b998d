#include "coordination/documents/internal/reducer_steps.h"
#include "coordination/documents/internal/stored_text.h"
#include "types/overloaded.h"

#include <algorithm>
#include <array>

namespace cyclamenmount::detail {

namespace {

//! Prefix of the documents' object keys.
constexpr const char* watched_prefix = "config/";

//! The first `watcher_count` members in this key's rendezvous order watch the store for all
//! members.
constexpr const char* watch_key = "watch/config";
constexpr std::size_t watcher_count = 2;

//! Another watch is started if a watch has no reply this long after its timeout.
constexpr milliseconds watch_reply_margin{500};

//! A watch counts as lost if it has no reply after this many watch timeouts.
constexpr int watch_lost_after_timeouts = 3;

//! Delay before the next watch after a failed one.
constexpr milliseconds watch_retry_delay{250};

//! Minimum interval between two requests for the same document.
constexpr milliseconds min_request_interval{200};

//! Maximum number of digests of merged sets of emergency orders that are kept.
constexpr std::size_t max_merged_digests = 256;

//! Maximum number of ping senders that are kept.
constexpr std::size_t max_ping_senders = 64;

//! A document's name and the version that a peer reported.
struct reported_version {
    const char* name;
    object_version version;
};

std::array<reported_version, 3> versions_by_name(const known_versions& versions) {
    return {{{document_names::availability, versions.availability},
             {document_names::plans, versions.plans},
             {document_names::allowances, versions.allowances}}};
}

std::optional<member> find_peer(const documents_context& context, const instance_id& id) {
    auto found = find_member(context.roster, id);
    if (found) {
        return found;
    }
    const auto sender = context.state.ping_senders.find(id);
    if (sender == context.state.ping_senders.end()) {
        return std::nullopt;
    }
    return sender->second;
}

void request_document(documents_context& context, const member& peer, const char* name) {
    instant& last = context.state.last_requested[name];
    if (last != instant{} && context.now - last < min_request_interval) {
        return;
    }
    last = context.now;
    context.out.emplace_back(
        send_to_peer{peer, document_request{name, version_of(context.state, name)}});
}

void send_orders(documents_context& context, const member& peer) {
    context.out.emplace_back(send_to_peer{peer, emergency_notice{emergency_orders(context.state)}});
}

//! Requests documents of which the peer has a newer version. Sends the peer the availability
//! document if the peer's version is older, and the emergency orders if the peer's digest differs.
//! Lists are sent on request only.
void compare_versions(documents_context& context, const instance_id& from,
                      const known_versions& versions) {
    documents_state& state = context.state;
    const auto peer = find_peer(context, from);
    if (!peer || from == context.env.self.id) {
        return;
    }
    state.peer_versions[from] = versions;
    for (const reported_version& each : versions_by_name(versions)) {
        if (each.version > version_of(state, each.name)) {
            request_document(context, *peer, each.name);
        }
    }
    const object_version own = version_of(state, document_names::availability);
    if (versions.availability < own) {
        context.out.emplace_back(send_to_peer{
            *peer, document_notice{state.documents_in_force.at(document_names::availability)}});
    }
    if (!state.emergency.empty() && versions.emergency_digest != emergency_digest(state)) {
        send_orders(context, *peer);
    }
}

void remove_gone_peers(documents_context& context) {
    std::erase_if(context.state.peer_versions,
                  [&](const auto& entry) { return !find_member(context.roster, entry.first); });
}

void handle_ping(documents_context& context, const ping& message) {
    auto& senders = context.state.ping_senders;
    if (senders.size() >= max_ping_senders) {
        senders.clear();
    }
    senders[message.from.id] = message.from;
    compare_versions(context, message.from.id, message.versions);
}

void handle_request(documents_context& context, const instance_id& from,
                    const document_request& request) {
    const auto peer = find_peer(context, from);
    const auto current = context.state.documents_in_force.find(request.name);
    if (!peer || current == context.state.documents_in_force.end() ||
        current->second.version <= request.have) {
        return;
    }
    context.out.emplace_back(send_to_peer{*peer, document_notice{current->second}});
}

//! Adds a peer's emergency orders, except orders that the availability document already records.
void merge_orders(documents_context& context, const emergency_notice& notice) {
    for (const emergency_order& order : notice.orders) {
        if (context.state.recorded.contains(order.operation)) {
            continue;
        }
        const bool is_new = context.state.emergency.emplace(order.operation, order).second;
        if (is_new) {
            log_documents(context, severity::warning,
                          "Out of service by emergency order: " + order.zone.value +
                              order.upstream.value + ".");
        }
    }
    auto& merged = context.state.merged_digests;
    if (merged.size() >= max_merged_digests) {
        merged.clear();
    }
    merged.insert(digest_of_orders(notice.orders));
}

//! True if this instance must watch the store. A few members watch it for all members. An instance
//! that isn't a member, has no lists or has no quorum may miss their updates, so it watches too.
bool is_watcher(const documents_context& context) {
    const milliseconds quorum_timeout = context.env.timing.max_staleness / 2;
    if (!is_member(context.roster) || !has_lists(context.state) ||
        !has_quorum(context.roster, quorum_timeout, context.now)) {
        return true;
    }
    for (std::size_t rank = 0; rank < watcher_count; ++rank) {
        const auto watcher = ranked_owner(context.roster, watch_key, rank);
        if (watcher && watcher->id == context.env.self.id) {
            return true;
        }
    }
    return false;
}

//! True if this instance, as the first watcher, sends store updates to all members.
bool is_watch_distributor(const documents_context& context) {
    const auto first_watcher = ranked_owner(context.roster, watch_key, 0);
    return first_watcher && first_watcher->id == context.env.self.id;
}

//! Updates the time up to which all store updates were received. A reply without changes shows the
//! store's state at the watch's timeout; any other reply may show the state at the watch's start.
void update_store_contact_time(documents_context& context, const watch_ended& ended,
                               instant started) {
    documents_state& state = context.state;
    const instant timeout_end = started + context.env.timing.watch_timeout;
    const bool timed_out = ended.objects.empty() && context.now >= timeout_end;
    const instant known_at = timed_out ? timeout_end : started;
    state.store_state_as_of = std::max(state.store_state_as_of.value_or(known_at), known_at);
}

}  // namespace

void send_to_members(documents_context& context, const peer_message& message) {
    for (const member& each : members(context.roster)) {
        if (each.id != context.env.self.id) {
            context.out.emplace_back(send_to_peer{each, message});
        }
    }
}

void handle_peer(documents_context& context, const peer_message_received& received) {
    const instance_id& from = received.from;
    std::visit(overloaded{
                   [&](const ping& message) { handle_ping(context, message); },
                   [&](const pong& message) { compare_versions(context, from, message.versions); },
                   [&](const document_request& message) { handle_request(context, from, message); },
                   [&](const document_notice& message) { accept_document(context, message.value); },
                   [&](const emergency_notice& message) { merge_orders(context, message); },
                   [](const auto&) {},
               },
               received.message);
}

void maintain_watch(documents_context& context) {
    documents_state& state = context.state;
    remove_gone_peers(context);
    const milliseconds timeout = context.env.timing.watch_timeout;
    std::erase_if(state.watches, [&](const pending_watch& each) {
        return context.now - each.started > watch_lost_after_timeouts * timeout;
    });
    const bool is_waiting = !state.watches.empty() && context.now - state.watches.back().started <=
                                                          timeout + watch_reply_margin;
    if (is_waiting || context.now < state.next_watch || !is_watcher(context)) {
        return;
    }
    if (!state.watches.empty()) {
        log_documents(context, severity::warning,
                      "The store watch is silent past its timeout; starting another one.");
    }
    state.watches.push_back({++state.last_watch, context.now});
    context.out.emplace_back(
        watch_prefix{watched_prefix, state.revision, timeout, state.last_watch});
}

void handle_watch_end(documents_context& context, const watch_ended& ended) {
    documents_state& state = context.state;
    if (ended.prefix != watched_prefix) {
        return;
    }
    const auto found = std::ranges::find(state.watches, ended.number, &pending_watch::number);
    if (found != state.watches.end()) {
        if (ended.status == store_status::ok) {
            update_store_contact_time(context, ended, found->started);
        }
        state.watches.erase(found);
    }
    state.next_watch =
        ended.status == store_status::ok ? context.now : context.now + watch_retry_delay;
    object_version newest = ended.revision;
    for (const stored_object& object : ended.objects) {
        newest = std::max(newest, object.version);
        const auto parsed = object.deleted ? std::nullopt : parse_stored(object);
        const bool accepted = parsed && accept_document(context, *parsed);
        if (accepted && is_watch_distributor(context)) {
            send_to_members(context, document_notice{*parsed});
        }
    }
    if (ended.status == store_status::ok) {
        state.revision = std::max(state.revision, newest);
    }
    maintain_watch(context);
}

}  // namespace cyclamenmount::detail
