#include "packing/packer.h"

#include "packing/internal/selection.h"
#include "types/overloaded.h"

#include <algorithm>
#include <cmath>

namespace cyclamenmount {

namespace {

using packer_effects = std::vector<packer_effect>;

//! A call is asked for again elsewhere after this many times its expected time, plus slack for the
//! two ways over the network.
constexpr double overdue_factor = 2.0;
constexpr milliseconds overdue_slack{100};
//! First pause of an upstream that broke a call; doubles up to the longest.
constexpr milliseconds first_backoff{250};
constexpr milliseconds longest_backoff{2000};
//! An order whose pieces failed this often fails itself.
constexpr int most_failures = 6;
//! Weight of the newest call in the smoothed slowness.
constexpr double newest_weight = 0.4;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 12;
//! Orders that can only be late are taken on if they are made with this part of their time to
//! spare, so that a wrong estimate doesn't end in a late refusal.
constexpr double late_margin = 0.3;
constexpr milliseconds least_retry_after{50};

milliseconds retry_delay(const packer& state, instant now) {
    return std::max(least_retry_after, drain_time(state, now));
}

void release(packer& state, std::span<const std::string> results, packer_effects& out) {
    std::vector<std::string> unused;
    for (const std::string& result : results) {
        if (result.empty()) {
            continue;
        }
        for (auto& [id, upstream] : state.upstreams) {
            upstream.held.erase(result);
        }
        unused.push_back(result);
    }
    if (!unused.empty()) {
        out.emplace_back(std::in_place_type<release_results>, release_results{std::move(unused)});
    }
}

//! Forgets an order and gives back what was already made for it.
void drop(packer& state, const order_id& id, packer_effects& out) {
    const auto found = state.orders.find(id);
    if (found == state.orders.end()) {
        return;
    }
    const std::vector<std::string> made = std::move(found->second.results);
    state.orders.erase(found);
    release(state, made, out);
}

void refuse(packer& state, const order_id& id, pieces_verdict why, milliseconds retry_after,
            packer_effects& out) {
    out.emplace_back(std::in_place_type<order_refused>, order_refused{id, why, retry_after});
    drop(state, id, out);
}

void refuse(packer& state, const order_id& id, pieces_verdict why, instant now,
            packer_effects& out) {
    refuse(state, id, why, retry_delay(state, now), out);
}

void place(packer& state, const order_placed& happened, instant now, packer_effects& out) {
    const piece_order& order = happened.order;
    if (state.orders.contains(order.id)) {
        return;
    }
    open_order open;
    open.order = order;
    open.pieces.assign(static_cast<std::size_t>(order.pieces), piece_progress::waiting);
    open.results.resize(open.pieces.size());
    const instant end = detail::expected_end(state, order, now);
    state.orders.emplace(order.id, std::move(open));
    if (state.upstreams.empty()) {
        refuse(state, order.id, pieces_verdict::no_upstream, now, out);
        return;
    }
    const bool can_be_on_time = end <= order.aim;
    const auto spare = milliseconds(
        std::lround(static_cast<double>((order.needed_by - now).count()) * late_margin));
    const instant latest =
        can_be_on_time || order.depth > 0 ? order.needed_by : order.needed_by - spare;
    if (end > latest) {
        refuse(state, order.id, pieces_verdict::overloaded, now, out);
    }
}

//! Takes a call off its upstream; the upstream is idle afterwards.
std::optional<open_call> take_call(packer& state, call_number number) {
    const auto found = state.calls.find(number);
    if (found == state.calls.end()) {
        return std::nullopt;
    }
    open_call call = std::move(found->second);
    state.calls.erase(found);
    const auto upstream = state.upstreams.find(call.upstream);
    if (upstream != state.upstreams.end() && upstream->second.call == number) {
        upstream->second.call = 0;
    }
    return call;
}

void put_back(packer& state, const called_piece& piece) {
    const auto found = state.orders.find(piece.order);
    if (found == state.orders.end()) {
        return;
    }
    auto& progress = found->second.pieces[static_cast<std::size_t>(piece.piece)];
    if (progress == piece_progress::in_call) {
        progress = piece_progress::waiting;
    }
}

void note_time(packer_upstream& upstream, const open_call& call, instant now) {
    if (call.expected.count() <= 0) {
        return;
    }
    const double ratio = static_cast<double>((now - call.started_at).count()) /
                         static_cast<double>(call.expected.count());
    upstream.slowness = std::clamp((1 - newest_weight) * upstream.slowness + newest_weight * ratio,
                                   least_slowness, most_slowness);
    upstream.backoff = 0ms;
    upstream.suspect_until = {};
}

void finish_if_made(packer& state, const order_id& id, packer_effects& out) {
    const auto found = state.orders.find(id);
    if (found == state.orders.end()) {
        return;
    }
    const open_order& open = found->second;
    const bool all_made =
        std::all_of(open.pieces.begin(), open.pieces.end(),
                    [](piece_progress one) { return one == piece_progress::made; });
    if (!all_made) {
        return;
    }
    out.emplace_back(std::in_place_type<order_made>, order_made{id, open.results, open.zone});
    state.orders.erase(found);
}

//! Books one made piece; a piece that nobody waits for is released at once.
void accept_made(packer& state, const called_piece& piece, const piece_outcome& outcome,
                 packer_upstream& maker, instant now, packer_effects& out) {
    maker.held[outcome.result] = {piece.bytes, now + state.limits.kept};
    const auto order = state.orders.find(piece.order);
    const auto index = static_cast<std::size_t>(piece.piece);
    const bool wanted =
        order != state.orders.end() && order->second.pieces[index] != piece_progress::made;
    if (!wanted) {
        release(state, std::span(&outcome.result, 1), out);
        return;
    }
    order->second.pieces[index] = piece_progress::made;
    order->second.results[index] = outcome.result;
    order->second.zone = maker.value.zone;
    finish_if_made(state, piece.order, out);
}

void accept_failed(packer& state, const called_piece& piece, piece_status status, instant now,
                   packer_effects& out) {
    const auto order = state.orders.find(piece.order);
    if (order == state.orders.end()) {
        return;
    }
    if (status == piece_status::input_lost) {
        refuse(state, piece.order, pieces_verdict::input_lost, now, out);
        return;
    }
    if (status == piece_status::late) {
        refuse(state, piece.order, pieces_verdict::overloaded, now, out);
        return;
    }
    put_back(state, piece);
    if (status == piece_status::failed && ++order->second.failures >= most_failures) {
        refuse(state, piece.order, pieces_verdict::failed, now, out);
    }
}

void assume_full(const packer& state, packer_upstream& upstream, instant now) {
    const std::uint64_t known = detail::held_bytes(state, upstream);
    const std::uint64_t capacity = detail::result_capacity(state);
    upstream.foreign_bytes = capacity > known ? capacity - known : 0;
    upstream.foreign_since = now;
}

void answer(packer& state, const call_answered& happened, instant now, packer_effects& out) {
    const auto call = take_call(state, happened.call);
    if (!call) {
        return;
    }
    const auto maker = state.upstreams.find(call->upstream);
    if (maker == state.upstreams.end()) {
        // The upstream has left; its results can still be used for a while, but are not counted.
        packer_upstream gone;
        gone.value.id = call->upstream;
        for (std::size_t i = 0; i < call->pieces.size() && i < happened.outcomes.size(); ++i) {
            if (happened.outcomes[i].status == piece_status::made) {
                accept_made(state, call->pieces[i], happened.outcomes[i], gone, now, out);
            } else {
                put_back(state, call->pieces[i]);
            }
        }
        return;
    }
    note_time(maker->second, *call, now);
    for (std::size_t i = 0; i < call->pieces.size(); ++i) {
        if (i >= happened.outcomes.size()) {
            put_back(state, call->pieces[i]);
            continue;
        }
        const piece_outcome& outcome = happened.outcomes[i];
        if (outcome.status == piece_status::made) {
            accept_made(state, call->pieces[i], outcome, maker->second, now, out);
            continue;
        }
        if (outcome.status == piece_status::no_memory) {
            // Results that this packer doesn't know of fill the memory.
            assume_full(state, maker->second, now);
        }
        accept_failed(state, call->pieces[i], outcome.status, now, out);
    }
}

void suspect(packer_upstream& upstream, instant now) {
    upstream.backoff = std::clamp(2 * upstream.backoff, first_backoff, longest_backoff);
    upstream.suspect_until = now + upstream.backoff;
}

void fail(packer& state, const call_failed& happened, instant now) {
    const auto call = take_call(state, happened.call);
    if (!call) {
        return;
    }
    const auto upstream = state.upstreams.find(call->upstream);
    if (upstream != state.upstreams.end()) {
        suspect(upstream->second, now);
        if (happened.why == call_failure::broken) {
            upstream->second.held.clear();
        }
    }
    for (const called_piece& piece : call->pieces) {
        put_back(state, piece);
    }
}

void change_pool(packer& state, const pool_changed& happened) {
    state.limits = happened.limits;
    std::set<upstream_id> listed;
    for (const pool_upstream& one : happened.upstreams) {
        listed.insert(one.id);
        state.upstreams[one.id].value = one;
    }
    std::erase_if(state.upstreams,
                  [&](const auto& entry) { return !listed.contains(entry.first); });
}

void expire_results(packer& state, instant now) {
    for (auto& [id, upstream] : state.upstreams) {
        std::erase_if(upstream.held,
                      [&](const auto& entry) { return now >= entry.second.expires_at; });
    }
}

//! Pieces of calls that take far too long are asked for again at another upstream.
void repeat_overdue(packer& state, instant now) {
    for (auto& [number, call] : state.calls) {
        const auto upstream = state.upstreams.find(call.upstream);
        const double slowness =
            upstream == state.upstreams.end() ? 1 : std::max(1.0, upstream->second.slowness);
        const auto limit = milliseconds(std::lround(static_cast<double>(call.expected.count()) *
                                                    overdue_factor * slowness)) +
                           overdue_slack;
        if (call.is_overdue || now < call.started_at + limit) {
            continue;
        }
        call.is_overdue = true;
        for (const called_piece& piece : call.pieces) {
            put_back(state, piece);
        }
        if (upstream != state.upstreams.end()) {
            suspect(upstream->second, now);
        }
    }
}

void refuse_hopeless(packer& state, instant now, packer_effects& out) {
    const auto least = detail::call_time(state.limits, 1);
    std::vector<order_id> hopeless;
    for (const auto& [open, end] : detail::expected_ends(state, now)) {
        const piece_order& order = open->order;
        // Beyond its aim an order goes last; it waits only while it can still be made in time.
        const bool is_last = order.depth == 0 && now > order.aim && end > order.needed_by;
        if (is_last || now + least > order.needed_by) {
            hopeless.push_back(order.id);
        }
    }
    if (hopeless.empty()) {
        return;
    }
    const milliseconds retry_after = retry_delay(state, now);
    for (const order_id& id : hopeless) {
        refuse(state, id, pieces_verdict::overloaded, retry_after, out);
    }
}

//! What depends on time alone; at each event it would cost a burst the square of its size.
void pass_time(packer& state, instant now, packer_effects& out) {
    expire_results(state, now);
    repeat_overdue(state, now);
    refuse_hopeless(state, now, out);
}

call_item make_item(const open_order& open, int piece, instant now) {
    const piece_order& order = open.order;
    const auto left = order.needed_by - now;
    return {order.request, order.stage, piece, left, order.key, order.inputs};
}

void start_calls(packer& state, instant now, packer_effects& out) {
    detail::order_queue queue;
    for (auto& [id, upstream] : state.upstreams) {
        if (upstream.call != 0 || !detail::is_usable(upstream, now)) {
            continue;
        }
        if (queue.orders.empty()) {
            queue = detail::rank_orders(state, now);
        }
        if (queue.waiting <= 0) {
            return;
        }
        auto pieces = detail::select_pieces(state, upstream, queue, now);
        queue.waiting -= static_cast<int>(pieces.size());
        if (pieces.empty()) {
            continue;
        }
        make_call call{++state.last_call, id, upstream.value.address, {}};
        for (const called_piece& piece : pieces) {
            open_order& open = state.orders.at(piece.order);
            open.pieces[static_cast<std::size_t>(piece.piece)] = piece_progress::in_call;
            call.items.push_back(make_item(open, piece.piece, now));
        }
        const auto expected = detail::call_time(state.limits, static_cast<int>(pieces.size()));
        upstream.call = call.call;
        state.calls[call.call] = {id, std::move(pieces), now, expected, false};
        out.emplace_back(std::in_place_type<make_call>, std::move(call));
    }
}

//! When so many pieces would be made behind everything that waits.
instant end_of_queue(const packer& state, int pieces, instant now) {
    piece_order last;
    last.pieces = pieces;
    last.aim = instant::max();
    last.priority = std::numeric_limits<int>::max();
    return detail::expected_end(state, last, now);
}

}  // namespace

milliseconds waiting_time(const packer& state, instant now) {
    const instant end = end_of_queue(state, 1, now);
    if (end == instant::max()) {
        return longest_backoff;
    }
    return std::max(end - now - detail::call_time(state.limits, 1), 0ms);
}

milliseconds drain_time(const packer& state, instant now) {
    if (state.upstreams.empty()) {
        return 1000ms;
    }
    const instant end = end_of_queue(state, 0, now);
    return end == instant::max() ? longest_backoff : end - now;
}

std::vector<packer_effect> reduce(packer& state, const packer_event& happened, instant now) {
    packer_effects out;
    std::visit(overloaded{
                   [&](const order_placed& one) { place(state, one, now, out); },
                   [&](const order_cancelled& one) { drop(state, one.id, out); },
                   [&](const results_released& one) { release(state, one.results, out); },
                   [&](const call_answered& one) { answer(state, one, now, out); },
                   [&](const call_failed& one) { fail(state, one, now); },
                   [&](const pool_changed& one) { change_pool(state, one); },
                   [&](const packer_tick&) { pass_time(state, now, out); },
               },
               happened);
    start_calls(state, now, out);
    return out;
}

}  // namespace cyclamenmount
