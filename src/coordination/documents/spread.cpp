#include "coordination/documents/internal/parts.h"
#include "coordination/documents/internal/stored_text.h"
#include "types/overloaded.h"

#include <algorithm>
#include <array>

namespace cyclamenmount::detail {

namespace {

constexpr const char* watched_prefix = "config/";
constexpr const char* watch_key = "watch/config";
constexpr std::size_t watchers = 2;

//! A watch that hasn't ended this long after its timeout is taken as silent.
constexpr milliseconds watch_margin{500};

//! One that hasn't ended by this many timeouts won't.
constexpr int lost_after_timeouts = 3;

//! Pause after a watch that failed.
constexpr milliseconds watch_pause{250};

//! Between two requests for the same document.
constexpr milliseconds request_pause{200};

//! Instances outside the roster whose address is remembered.
constexpr std::size_t kept_digests = 256;
constexpr std::size_t kept_pinged_by = 64;

struct versioned_name {
    const char* name;
    object_version version;
};

std::array<versioned_name, 3> versions_by_name(const known_versions& versions) {
    return {{{document_names::availability, versions.availability},
             {document_names::plans, versions.plans},
             {document_names::allowances, versions.allowances}}};
}

std::optional<member> find_peer(const documents_context& context, const instance_id& id) {
    auto found = find_member(context.roster, id);
    if (found) {
        return found;
    }
    const auto pinged = context.state.pinged_by.find(id);
    if (pinged == context.state.pinged_by.end()) {
        return std::nullopt;
    }
    return pinged->second;
}

void request_document(documents_context& context, const member& peer, const char* name) {
    instant& last = context.state.requested[name];
    if (last != instant{} && context.now - last < request_pause) {
        return;
    }
    last = context.now;
    context.out.emplace_back(
        send_to_peer{peer, document_request{name, version_of(context.state, name)}});
}

void send_orders(documents_context& context, const member& peer) {
    context.out.emplace_back(send_to_peer{peer, emergency_notice{held_orders(context.state)}});
}

void compare_versions(documents_context& context, const instance_id& from,
                      const known_versions& versions) {
    documents_state& state = context.state;
    const auto peer = find_peer(context, from);
    if (!peer || from == context.env.self.id) {
        return;
    }
    state.in_force[from] = versions;
    for (const versioned_name& each : versions_by_name(versions)) {
        if (each.version > version_of(state, each.name)) {
            request_document(context, *peer, each.name);
        }
    }
    const object_version own = version_of(state, document_names::availability);
    if (versions.availability < own) {
        context.out.emplace_back(
            send_to_peer{*peer, document_notice{state.held.at(document_names::availability)}});
    }
    if (!state.emergency.empty() && versions.emergency_digest != emergency_digest(state)) {
        send_orders(context, *peer);
    }
}

void forget_gone_peers(documents_context& context) {
    std::erase_if(context.state.in_force,
                  [&](const auto& entry) { return !find_member(context.roster, entry.first); });
}

void handle_ping(documents_context& context, const ping& message) {
    auto& known = context.state.pinged_by;
    if (known.size() >= kept_pinged_by) {
        known.clear();
    }
    known[message.from.id] = message.from;
    compare_versions(context, message.from.id, message.versions);
}

void handle_request(documents_context& context, const instance_id& from,
                    const document_request& request) {
    const auto peer = find_peer(context, from);
    const auto held = context.state.held.find(request.name);
    if (!peer || held == context.state.held.end() || held->second.version <= request.have) {
        return;
    }
    context.out.emplace_back(send_to_peer{*peer, document_notice{held->second}});
}

void take_orders(documents_context& context, const emergency_notice& notice) {
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
    if (merged.size() >= kept_digests) {
        merged.clear();
    }
    merged.insert(digest_of_orders(notice.orders));
}

//! A few members watch for all; whoever may be missing news watches too.
bool is_watcher(const documents_context& context) {
    const milliseconds patience = context.env.timing.vouch / 2;
    if (!is_member(context.roster) || !has_lists(context.state) ||
        !hears_majority(context.roster, patience, context.now)) {
        return true;
    }
    for (std::size_t rank = 0; rank < watchers; ++rank) {
        const auto home = ranked_home(context.roster, watch_key, rank);
        if (home && home->id == context.env.self.id) {
            return true;
        }
    }
    return false;
}

bool pushes_watched(const documents_context& context) {
    const auto home = ranked_home(context.roster, watch_key, 0);
    return home && home->id == context.env.self.id;
}

//! An answer without changes was made when the watch's time was over, any other one at any time
//! after it was asked.
void date_store_news(documents_context& context, const watch_ended& ended) {
    documents_state& state = context.state;
    if (state.watches.empty()) {
        return;
    }
    const instant asked = state.watches.front();
    const instant full = asked + context.env.timing.watch_timeout;
    const bool waited = ended.objects.empty() && context.now >= full;
    const instant heard = waited ? full : asked;
    state.store_heard_at = std::max(state.store_heard_at.value_or(heard), heard);
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
                   [&](const emergency_notice& message) { take_orders(context, message); },
                   [](const auto&) {},
               },
               received.message);
}

void keep_watch(documents_context& context) {
    documents_state& state = context.state;
    forget_gone_peers(context);
    const milliseconds timeout = context.env.timing.watch_timeout;
    std::erase_if(state.watches, [&](instant asked) {
        return context.now - asked > lost_after_timeouts * timeout;
    });
    const bool waits =
        !state.watches.empty() && context.now - state.watches.back() <= timeout + watch_margin;
    if (waits || context.now < state.next_watch || !is_watcher(context)) {
        return;
    }
    if (!state.watches.empty()) {
        log_documents(context, severity::warning, "The watch is silent; asking anew.");
    }
    state.watches.push_back(context.now);
    context.out.emplace_back(watch_prefix{watched_prefix, state.revision, timeout});
}

void handle_watch_end(documents_context& context, const watch_ended& ended) {
    documents_state& state = context.state;
    if (ended.prefix != watched_prefix) {
        return;
    }
    if (ended.status == store_status::ok) {
        date_store_news(context, ended);
    }
    if (!state.watches.empty()) {
        state.watches.erase(state.watches.begin());
    }
    state.next_watch = ended.status == store_status::ok ? context.now : context.now + watch_pause;
    object_version newest = ended.revision;
    for (const stored_object& object : ended.objects) {
        newest = std::max(newest, object.version);
        const auto parsed = object.deleted ? std::nullopt : parse_stored(object);
        const bool accepted = parsed && accept_document(context, *parsed);
        if (accepted && pushes_watched(context)) {
            send_to_members(context, document_notice{*parsed});
        }
    }
    if (ended.status == store_status::ok) {
        state.revision = std::max(state.revision, newest);
    }
    keep_watch(context);
}

}  // namespace cyclamenmount::detail
