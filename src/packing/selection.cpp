#include "packing/internal/selection.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cyclamenmount::detail {

namespace {

//! Bytes that are worth waiting for an upstream in their zone, and how long for each of them: the
//! users price 1 GB between zones like the worth of about 20 requests, so 1 MB is worth about as
//! much as the risk of being late that 100 ms bring.
constexpr std::uint64_t large_bytes = 400'000;
constexpr double zone_wait_ms_per_mb = 100;
constexpr double longest_zone_wait_ms = 600;
//! Part of an upstream's memory for results that is planned with.
constexpr double memory_part = 0.92;
//! What other packers' results hold at an upstream is gone after about this long.
constexpr milliseconds foreign_time{1500};
//! An upstream this much slower than its pool gets only what the others can't make sooner.
constexpr double slow_from = 1.8;
constexpr double bytes_per_mb = 1e6;

//! A call's time at an upstream with this measured slowness.
milliseconds slowed(milliseconds takes, double slowness) {
    return milliseconds(std::lround(static_cast<double>(takes.count()) * slowness));
}

//! Whose pieces go first: those that can still be on time, then late stages, then urgent requests.
struct urgency {
    bool is_late;
    int stages_done;  //!< negative: a request that has got far goes before one that begins
    int priority;
    instant aim;
    const order_id* id;

    bool operator<(const urgency& other) const {
        return std::tie(is_late, stages_done, priority, aim, *id) <
               std::tie(other.is_late, other.stages_done, other.priority, other.aim, *other.id);
    }
};

urgency urgency_of(const packer& state, const piece_order& order, instant now) {
    const auto takes = call_time(state.limits, std::min(order.pieces, state.limits.batch));
    return {now + takes > order.aim, -order.depth, order.priority, order.aim, &order.id};
}

instant free_at(const packer& state, const packer_upstream& upstream, instant now) {
    const auto call = state.calls.find(upstream.call);
    if (upstream.call == 0 || call == state.calls.end()) {
        return now;
    }
    return std::max(now,
                    call->second.started_at + slowed(call->second.expected, upstream.slowness));
}

//! True if an upstream in the zone where the results are used will be free soon enough.
bool waits_for_zone(const packer& state, const packer_upstream& upstream, const piece_order& order,
                    instant now) {
    if (order.zone.empty() || order.zone == upstream.value.zone ||
        order.bytes_to_zone < large_bytes) {
        return false;
    }
    const auto longest_wait = milliseconds(std::lround(
        std::min(longest_zone_wait_ms,
                 zone_wait_ms_per_mb * static_cast<double>(order.bytes_to_zone) / bytes_per_mb)));
    for (const auto& [id, other] : state.upstreams) {
        if (other.value.zone != order.zone || !is_usable(other, now) ||
            other.slowness >= slow_from) {
            continue;
        }
        const instant starts = free_at(state, other, now);
        const instant made = starts + call_time_at(state, other, order.pieces);
        if (starts - now <= longest_wait && made <= order.aim) {
            return true;
        }
    }
    return false;
}

//! Pieces that the other upstreams will have made by the time a slow one has made one call.
int made_elsewhere_meanwhile(const packer& state, const packer_upstream& slow, instant now) {
    const auto takes = call_time_at(state, slow, state.limits.batch);
    int pieces = 0;
    for (const auto& [id, other] : state.upstreams) {
        if (id == slow.value.id || !is_usable(other, now) || other.slowness >= slow.slowness) {
            continue;
        }
        const auto left = takes - (free_at(state, other, now) - now);
        const auto each = call_time_at(state, other, state.limits.batch);
        if (left >= each && each.count() > 0) {
            pieces += static_cast<int>(left / each) * state.limits.batch;
        }
    }
    return pieces;
}

void take_pieces(const open_order& open, int most, std::vector<called_piece>& taken) {
    int left = most;
    for (std::size_t i = 0; i < open.pieces.size() && left > 0; ++i) {
        if (open.pieces[i] == piece_progress::waiting) {
            taken.push_back({open.order.id, static_cast<int>(i), open.order.result_bytes});
            --left;
        }
    }
}

//! Bytes that other packers' results are taken to hold; they fade as those expire.
std::uint64_t foreign_bytes(const packer_upstream& upstream, instant now) {
    const auto age = now - upstream.foreign_since;
    if (upstream.foreign_bytes == 0 || age >= foreign_time) {
        return 0;
    }
    const double left = 1 - static_cast<double>(age.count()) / foreign_time.count();
    return static_cast<std::uint64_t>(static_cast<double>(upstream.foreign_bytes) * left);
}

//! True if more waits than the next calls can take, so that calls have to be full. Otherwise the
//! pieces of an order stay together, since their results are used together.
bool is_under_pressure(const packer& state, const order_queue& queue) {
    return queue.waiting > 2 * state.limits.batch;
}

//! When the usable upstreams would have made so many pieces in full calls, each call going to the
//! upstream that is free first.
class call_schedule {
public:
    call_schedule(const packer& state, instant now) : limits_(state.limits), now_(now) {
        for (const auto& [id, upstream] : state.upstreams) {
            if (is_usable(upstream, now)) {
                free_.emplace(free_at(state, upstream, now), upstream.slowness);
            }
        }
    }

    //! instant::max() without a usable upstream.
    instant end_of(int pieces) {
        if (free_.empty()) {
            return instant::max();
        }
        if (pieces <= 0) {
            return now_;
        }
        const int batch = std::max(limits_.batch, 1);
        const auto last = static_cast<std::size_t>((pieces - 1) / batch);
        while (starts_.size() <= last) {
            add_call(batch);
        }
        const auto [at, slowness] = starts_[last];
        return at + slowed(call_time(limits_, pieces - static_cast<int>(last) * batch), slowness);
    }

private:
    using call_start = std::pair<instant, double>;  // with the upstream's slowness

    void add_call(int batch) {
        const call_start next = *free_.begin();
        free_.erase(free_.begin());
        free_.emplace(next.first + slowed(call_time(limits_, batch), next.second), next.second);
        starts_.push_back(next);
    }

    const stage_limits& limits_;
    instant now_;
    std::multiset<call_start> free_;  // after the calls of `starts_`
    std::vector<call_start> starts_;
};

int affordable(std::uint64_t free_bytes, std::uint64_t piece_bytes, int wanted) {
    if (piece_bytes == 0) {
        return wanted;
    }
    return static_cast<int>(
        std::min<std::uint64_t>(free_bytes / piece_bytes, static_cast<std::uint64_t>(wanted)));
}

}  // namespace

std::uint64_t result_capacity(const packer& state) {
    return static_cast<std::uint64_t>(state.limits.result_mb * bytes_per_mb * memory_part);
}

milliseconds call_time(const stage_limits& limits, int pieces) {
    return milliseconds(std::lround(limits.call_ms + limits.piece_ms * pieces));
}

milliseconds call_time_at(const packer& state, const packer_upstream& upstream, int pieces) {
    const int in_call = std::min(pieces, state.limits.batch);
    return slowed(call_time(state.limits, in_call), upstream.slowness);
}

bool is_usable(const packer_upstream& upstream, instant now) {
    return now >= upstream.suspect_until;
}

std::uint64_t held_bytes(const packer& state, const packer_upstream& upstream) {
    std::uint64_t bytes = 0;
    for (const auto& [result, held] : upstream.held) {
        bytes += held.bytes;
    }
    const auto call = state.calls.find(upstream.call);
    if (upstream.call != 0 && call != state.calls.end()) {
        for (const called_piece& piece : call->second.pieces) {
            bytes += piece.bytes;
        }
    }
    return bytes;
}

int waiting_pieces(const open_order& order) {
    return static_cast<int>(
        std::count(order.pieces.begin(), order.pieces.end(), piece_progress::waiting));
}

order_queue rank_orders(const packer& state, instant now) {
    std::vector<std::pair<urgency, const open_order*>> ranked;
    order_queue queue;
    for (const auto& [id, open] : state.orders) {
        const int waiting = waiting_pieces(open);
        if (waiting > 0) {
            ranked.emplace_back(urgency_of(state, open.order, now), &open);
            queue.waiting += waiting;
        }
    }
    std::ranges::sort(ranked, [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [rank, open] : ranked) {
        queue.orders.push_back(open);
    }
    return queue;
}

std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        const order_queue& queue, instant now) {
    std::vector<called_piece> taken;
    int skip = upstream.slowness >= slow_from ? made_elsewhere_meanwhile(state, upstream, now) : 0;
    const std::uint64_t capacity = result_capacity(state);
    const std::uint64_t held = held_bytes(state, upstream) + foreign_bytes(upstream, now);
    std::uint64_t free_bytes = capacity > held ? capacity - held : 0;
    const bool may_split = is_under_pressure(state, queue);
    for (const open_order* const open : queue.orders) {
        const int waiting = waiting_pieces(*open);
        if (waiting == 0) {
            continue;  // taken by another upstream since the queue was ranked
        }
        if (skip > 0) {
            skip -= waiting;
            continue;
        }
        const piece_order& order = open->order;
        const auto takes = call_time_at(state, upstream, order.pieces);
        const int room = state.limits.batch - static_cast<int>(taken.size());
        if (room <= 0) {
            break;
        }
        if (now + takes > order.needed_by || waits_for_zone(state, upstream, order, now)) {
            continue;
        }
        const bool is_split = room < waiting && waiting <= state.limits.batch;
        if (is_split && !may_split) {
            continue;
        }
        // An order larger than the free memory takes its part; it would never find enough at once.
        const int count = affordable(free_bytes, order.result_bytes, std::min(room, waiting));
        take_pieces(*open, count, taken);
        free_bytes -= static_cast<std::uint64_t>(count) * order.result_bytes;
    }
    return taken;
}

instant expected_end(const packer& state, const piece_order& order, instant now) {
    const urgency own = urgency_of(state, order, now);
    int ahead = 0;
    for (const auto& [id, open] : state.orders) {
        if (urgency_of(state, open.order, now) < own) {
            ahead += waiting_pieces(open);
        }
    }
    return call_schedule(state, now).end_of(ahead + order.pieces);
}

std::vector<order_forecast> expected_ends(const packer& state, instant now) {
    call_schedule schedule(state, now);
    std::vector<order_forecast> forecasts;
    int ahead = 0;
    for (const open_order* const open : rank_orders(state, now).orders) {
        forecasts.push_back({open, schedule.end_of(ahead + open->order.pieces)});
        ahead += waiting_pieces(*open);
    }
    return forecasts;
}

}  // namespace cyclamenmount::detail
