#include "packing/desk.h"

#include "coordination/roster/roster.h"
#include "types/overloaded.h"

#include <algorithm>
#include <optional>

namespace cyclamenmount {

namespace {

using desk_effects = std::vector<desk_effect>;

//! A home that owes an answer and hasn't been heard for this long is pinged: a little more than a
//! stage call takes.
constexpr milliseconds quiet{300};
//! Between pings; a lost one and a late one don't make a home silent.
constexpr milliseconds ping_period{150};
//! A home without an answer to pings for this long is passed over; a request can still be served
//! through the next home.
constexpr milliseconds silence{450};
//! Between pings of a silent home. An order there would lose the time until it is found silent
//! again, a ping costs nobody anything.
constexpr milliseconds silent_ping_period{1000};
//! A process that starts reads the store's lists in less; a try too early costs one round trip.
constexpr milliseconds unready_time{2500};
//! A told wait that is older says little: about two calls have ended since.
constexpr milliseconds wait_age{600};
//! Pings whose late answers still count: those of the time until a peer counts as silent, and more.
constexpr std::size_t remembered_pings = 8;

//! A process that doesn't know the upstreams yet packs for nobody.
bool is_able(const desk& state) {
    return state.view && state.view->lists && state.view->upstreams_known;
}

bool is_listed(const desk& state, const std::string& address) {
    return state.view && std::ranges::find(state.view->members, address, &member::address) !=
                             state.view->members.end();
}

bool is_self(const desk& state, const std::string& address) {
    return address == state.self.address;
}

bool is_passed_over(const desk& state, const std::string& address, instant now) {
    const auto found = state.peers.find(address);
    return found != state.peers.end() &&
           (found->second.is_silent || now < found->second.unready_until);
}

//! Whoever listens at the address, since a packer's state may be lost at any time.
send_to_peer make_message(const std::string& address, peer_message message) {
    return {{{}, address, {}}, std::move(message)};
}

pieces_request to_message(const desk& state, const outstanding_order& placed, instant now) {
    const piece_order& order = placed.order;
    pieces_request message;
    message.number = order.id.number;
    message.pool = placed.pool;
    message.request = order.request;
    message.stage = order.stage;
    message.pieces = order.pieces;
    message.key = order.key;
    if (order.inputs) {
        message.inputs = *order.inputs;
    }
    message.result_bytes = order.result_bytes;
    message.aim_in = order.aim - now;
    message.needed_in = order.needed_by - now;
    message.priority = order.priority;
    message.depth = order.depth;
    message.zone = order.zone;
    message.bytes_to_zone = order.bytes_to_zone;
    message.address = state.self.address;
    return message;
}

piece_order from_message(const pieces_request& message, const instance_id& asker, instant now) {
    piece_order order;
    order.id = {asker, message.number};
    order.request = message.request;
    order.stage = message.stage;
    order.pieces = message.pieces;
    order.key = message.key;
    if (!message.inputs.empty()) {
        order.inputs = std::make_shared<const std::vector<std::string>>(message.inputs);
    }
    order.result_bytes = message.result_bytes;
    order.aim = now + message.aim_in;
    order.needed_by = now + message.needed_in;
    order.priority = message.priority;
    order.depth = message.depth;
    order.zone = message.zone;
    order.bytes_to_zone = message.bytes_to_zone;
    return order;
}

void end_order(desk& state, std::uint64_t number, pieces_reply reply, instant now,
               desk_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    state.waits[found->second.pool] = {reply.pool_wait, now};
    peer_health& home = state.peers[found->second.home];
    home.heard_at = now;
    home.asked_at = {};
    state.outstanding.erase(found);
    reply.number = number;
    out.push_back(pieces_ended{number, std::move(reply)});
}

//! Answers whoever placed the order: this instance or a peer.
void reply_to(desk& state, const order_id& id, pieces_reply reply, instant now, desk_effects& out) {
    if (id.asker == state.self.id) {
        end_order(state, id.number, std::move(reply), now, out);
        return;
    }
    const auto asker = state.askers.find(id.asker);
    if (asker != state.askers.end()) {
        reply.number = id.number;
        out.push_back(send_to_peer{asker->second, std::move(reply)});
    }
}

void run_packer(desk& state, const pool_name& pool, const packer_event& happened, instant now,
                desk_effects& out) {
    packer& packs = state.packers[pool];
    std::optional<milliseconds> computed;  // once for all effects
    const auto pool_wait = [&] {
        if (!computed) {
            computed = waiting_time(packs, now);
        }
        return *computed;
    };
    for (packer_effect& effect : reduce(packs, happened, now)) {
        std::visit(overloaded{
                       [&](make_call& call) {
                           out.push_back(call_stage{pool, std::move(call)});
                       },
                       [&](release_results& unused) { out.push_back(std::move(unused)); },
                       [&](order_made& made) {
                           pieces_reply reply;
                           reply.verdict = pieces_verdict::made;
                           reply.results = std::move(made.results);
                           reply.zone = made.zone;
                           reply.pool_wait = pool_wait();
                           reply_to(state, made.id, std::move(reply), now, out);
                       },
                       [&](order_refused& refused) {
                           pieces_reply reply;
                           reply.verdict = refused.why;
                           reply.retry_after = refused.retry_after;
                           reply.pool_wait = pool_wait();
                           reply_to(state, refused.id, std::move(reply), now, out);
                       },
                   },
                   effect);
    }
}

void place(desk& state, std::uint64_t number, instant now, desk_effects& out) {
    outstanding_order& placed = state.outstanding.at(number);
    placed.home = home_of(state, placed.pool, now);
    placed.placed_at = now;
    if (is_self(state, placed.home)) {
        // Copied: the packer may end the order at once.
        const order_placed order{placed.order};
        const pool_name pool = placed.pool;
        run_packer(state, pool, order, now, out);
        return;
    }
    out.push_back(make_message(placed.home, to_message(state, placed, now)));
}

void abandon(desk& state, std::uint64_t number, instant now, desk_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    const outstanding_order placed = found->second;
    state.outstanding.erase(found);
    if (is_self(state, placed.home)) {
        run_packer(state, placed.pool, order_cancelled{placed.order.id}, now, out);
        return;
    }
    out.push_back(make_message(placed.home, pieces_cancel{placed.pool, number}));
}

void release(desk& state, const results_unused& unused, instant now, desk_effects& out) {
    const std::string home = home_of(state, unused.pool, now);
    if (is_self(state, home)) {
        run_packer(state, unused.pool, results_released{unused.results}, now, out);
        return;
    }
    out.push_back(make_message(home, pieces_release{unused.pool, unused.results}));
}

void take_view(desk& state, const fleet_view_ptr& view, instant now, desk_effects& out) {
    state.view = view;
    if (!view->lists) {
        return;
    }
    for (const auto& [name, limits] : view->lists->pools) {
        if (!limits.stage) {
            continue;
        }
        pool_changed changed{*limits.stage, {}};
        const auto upstreams = view->pools.find(name);
        if (upstreams != view->pools.end()) {
            for (const serving_upstream& one : upstreams->second) {
                changed.upstreams.push_back({one.id, one.address, one.zone});
            }
        }
        run_packer(state, name, changed, now, out);
    }
}

//! Places orders again whose home is gone or passed over.
void move_orders(desk& state, instant now, desk_effects& out) {
    std::map<std::string_view, bool> lost_homes;
    std::vector<std::uint64_t> moved;
    for (const auto& [number, placed] : state.outstanding) {
        if (is_self(state, placed.home)) {
            continue;
        }
        const auto [home, is_new] = lost_homes.try_emplace(placed.home);
        if (is_new) {
            home->second =
                is_passed_over(state, placed.home, now) || !is_listed(state, placed.home);
        }
        if (home->second) {
            moved.push_back(number);
        }
    }
    for (const std::uint64_t number : moved) {
        // A home that was only slow would make the pieces for nobody.
        const outstanding_order& placed = state.outstanding.at(number);
        out.push_back(make_message(placed.home, pieces_cancel{placed.pool, number}));
        place(state, number, now, out);
    }
}

void send_ping(desk& state, const std::string& address, instant now, desk_effects& out) {
    peer_health& health = state.peers[address];
    ping asked;
    asked.from = state.self;
    asked.sequence = ++state.last_sequence;
    health.sequences.push_back(asked.sequence);
    if (health.sequences.size() > remembered_pings) {
        health.sequences.pop_front();
    }
    health.pinged_at = now;
    out.push_back(make_message(address, asked));
}

//! Of the homes that owe answers.
std::set<std::string> quiet_homes(desk& state, instant now) {
    std::set<std::string> found;
    for (const auto& [number, placed] : state.outstanding) {
        const instant since = std::max(placed.placed_at, state.peers[placed.home].heard_at);
        if (!is_self(state, placed.home) && now - since >= quiet) {
            found.insert(placed.home);
        }
    }
    return found;
}

void ping_homes(desk& state, instant now, desk_effects& out) {
    for (const std::string& home : quiet_homes(state, now)) {
        peer_health& health = state.peers[home];
        if (health.asked_at != instant{} && now - health.asked_at >= silence) {
            out.push_back(peer_judged{home, peer_verdict::silent, now - health.asked_at});
            health.is_silent = true;
            health.asked_at = {};
            continue;
        }
        if (now - health.pinged_at >= ping_period) {
            send_ping(state, home, now, out);
            if (health.asked_at == instant{}) {
                health.asked_at = now;
            }
        }
    }
}

//! Asks silent members whether they are back, and forgets what left the list.
void ping_silent_peers(desk& state, instant now, desk_effects& out) {
    for (auto peer = state.peers.begin(); peer != state.peers.end();) {
        const auto& [address, health] = *peer;
        if (health.is_silent && !is_listed(state, address)) {
            peer = state.peers.erase(peer);
            continue;
        }
        if (health.is_silent && now - health.pinged_at >= silent_ping_period) {
            send_ping(state, address, now, out);
        }
        ++peer;
    }
}

//! Places the orders of a home again whose process has changed; a packer that has them already
//! ignores them.
void repeat_orders(desk& state, const std::string& home, instant now, desk_effects& out) {
    for (const auto& [number, placed] : state.outstanding) {
        if (placed.home == home) {
            out.push_back(make_message(home, to_message(state, placed, now)));
        }
    }
}

//! A ping was answered by the process `from`. Pings are numbered over all peers, so the number
//! tells which address it was.
void hear(desk& state, const instance_id& from, std::uint64_t sequence, instant now,
          desk_effects& out) {
    const auto found = std::ranges::find_if(state.peers, [&](const auto& entry) {
        const auto& known = entry.second.sequences;
        return std::find(known.begin(), known.end(), sequence) != known.end();
    });
    if (found == state.peers.end()) {
        return;
    }
    auto& [address, health] = *found;
    health.heard_at = now;
    health.asked_at = {};
    if (health.is_silent) {
        health.is_silent = false;
        out.push_back(peer_judged{address, peer_verdict::heard, 0ms});
    }
    if (health.process != from) {
        health.process = from;
        repeat_orders(state, address, now, out);
    }
}

//! The home of this order can't pack yet; its orders are moved.
void pass_over(desk& state, std::uint64_t number, instant now, desk_effects& out) {
    const auto found = state.outstanding.find(number);
    if (found == state.outstanding.end()) {
        return;
    }
    const std::string& home = found->second.home;
    if (!is_passed_over(state, home, now)) {
        out.push_back(peer_judged{home, peer_verdict::not_ready, 0ms});
    }
    state.peers[home].unready_until = now + unready_time;
}

void on_message(desk& state, const peer_said& said, instant now, desk_effects& out) {
    std::visit(
        overloaded{
            [&](const ping& asked) {
                state.askers[said.from] = asked.from;
                pong answered;
                answered.sequence = asked.sequence;
                out.push_back(send_to_peer{asked.from, answered});
            },
            [&](const pong& answered) { hear(state, said.from, answered.sequence, now, out); },
            [&](const pieces_request& wanted) {
                state.askers[said.from] = {said.from, wanted.address, {}};
                if (!is_able(state)) {
                    pieces_reply reply;
                    reply.verdict = pieces_verdict::not_ready;
                    reply_to(state, {said.from, wanted.number}, std::move(reply), now, out);
                    return;
                }
                if (wanted.pieces > 0) {
                    run_packer(state, wanted.pool,
                               order_placed{from_message(wanted, said.from, now)}, now, out);
                }
            },
            [&](const pieces_cancel& cancelled) {
                run_packer(state, cancelled.pool, order_cancelled{{said.from, cancelled.number}},
                           now, out);
            },
            [&](const pieces_release& unused) {
                run_packer(state, unused.pool, results_released{unused.results}, now, out);
            },
            [&](const pieces_reply& reply) {
                if (reply.verdict == pieces_verdict::not_ready) {
                    pass_over(state, reply.number, now, out);
                    return;
                }
                end_order(state, reply.number, reply, now, out);
            },
            [](const auto& /*other*/) {},
        },
        said.message);
}

void pass_time(desk& state, instant now, desk_effects& out) {
    ping_homes(state, now, out);
    ping_silent_peers(state, now, out);
    std::vector<pool_name> busy;
    for (const auto& [name, one] : state.packers) {
        if (!one.orders.empty() || !one.calls.empty()) {
            busy.push_back(name);
        }
    }
    for (const pool_name& name : busy) {
        run_packer(state, name, packer_tick{}, now, out);
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [number, placed] : state.outstanding) {
        if (now > placed.order.needed_by && !is_self(state, placed.home)) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        pieces_reply reply;
        reply.verdict = pieces_verdict::overloaded;
        state.outstanding.erase(number);
        reply.number = number;
        out.push_back(pieces_ended{number, std::move(reply)});
    }
}

}  // namespace

milliseconds known_wait(const desk& state, const pool_name& pool, instant now) {
    const auto found = state.waits.find(pool);
    const bool is_fresh = found != state.waits.end() && now - found->second.at < wait_age;
    return is_fresh ? found->second.wait : 0ms;
}

std::string home_of(const desk& state, const pool_name& pool, instant now) {
    const member* home = nullptr;
    std::uint64_t highest = 0;
    if (state.view) {
        int strongest = 0;
        for (const member& one : state.view->members) {
            strongest = std::max(strongest, one.millicores);
        }
        for (const member& one : state.view->members) {
            const bool is_weak = 2 * one.millicores < strongest;
            const bool leaves = state.is_leaving && is_self(state, one.address);
            if (is_weak || leaves || is_passed_over(state, one.address, now)) {
                continue;
            }
            const auto weight = rendezvous_weight({one.address}, pool.value);
            if (home == nullptr || weight > highest) {
                home = &one;
                highest = weight;
            }
        }
    }
    return home == nullptr ? state.self.address : home->address;
}

std::vector<desk_effect> reduce(desk& state, const desk_event& happened, instant now) {
    desk_effects out;
    std::visit(
        overloaded{
            [&](const view_changed& one) { take_view(state, one.view, now, out); },
            [&](const pieces_wanted& one) {
                const auto number = one.order.id.number;
                state.outstanding[number] = {one.pool, one.order, {}};
                place(state, number, now, out);
            },
            [&](const pieces_abandoned& one) { abandon(state, one.number, now, out); },
            [&](const results_unused& one) { release(state, one, now, out); },
            [&](const peer_said& one) { on_message(state, one, now, out); },
            [&](const stage_call_answered& one) {
                run_packer(state, one.pool, one.value, now, out);
            },
            [&](const stage_call_failed& one) { run_packer(state, one.pool, one.value, now, out); },
            [&](const desk_leaving&) { state.is_leaving = true; },
            [&](const desk_tick&) { pass_time(state, now, out); },
        },
        happened);
    move_orders(state, now, out);
    return out;
}

}  // namespace cyclamenmount
