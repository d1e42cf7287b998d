#include "packing/internal/selection.h"

#include <algorithm>
#include <cmath>

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

struct ranked_order {
    const open_order* open;
    int waiting;
};

//! Orders with waiting pieces, the most urgent first.
std::vector<ranked_order> ranked_orders(const packer& state, instant now) {
    std::vector<ranked_order> ranked;
    for (const auto& [id, open] : state.orders) {
        const int waiting = waiting_pieces(open);
        if (waiting > 0) {
            ranked.push_back({&open, waiting});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [&](const ranked_order& a, const ranked_order& b) {
        return goes_first(state, a.open->order, b.open->order, now);
    });
    return ranked;
}

instant free_at(const packer& state, const packer_upstream& upstream, instant now) {
    const auto call = state.calls.find(upstream.call);
    if (upstream.call == 0 || call == state.calls.end()) {
        return now;
    }
    const auto takes = milliseconds(
        std::lround(static_cast<double>(call->second.expected.count()) * upstream.slowness));
    return std::max(now, call->second.started_at + takes);
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
    const auto age = std::chrono::duration_cast<milliseconds>(now - upstream.foreign_since);
    if (upstream.foreign_bytes == 0 || age >= foreign_time) {
        return 0;
    }
    const double left = 1 - static_cast<double>(age.count()) / foreign_time.count();
    return static_cast<std::uint64_t>(static_cast<double>(upstream.foreign_bytes) * left);
}

//! True if more waits than the next calls can take, so that calls have to be full. Otherwise the
//! pieces of an order stay together, since their results are used together.
bool is_under_pressure(const packer& state, std::span<const ranked_order> ranked) {
    int waiting = 0;
    for (const ranked_order& one : ranked) {
        waiting += one.waiting;
    }
    return waiting > 2 * state.limits.batch;
}

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
    return milliseconds(std::lround(static_cast<double>(call_time(state.limits, in_call).count()) *
                                    upstream.slowness));
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

bool goes_first(const packer& state, const piece_order& left, const piece_order& right,
                instant now) {
    const auto is_late = [&](const piece_order& order) {
        return now + call_time(state.limits, std::min(order.pieces, state.limits.batch)) >
               order.aim;
    };
    const bool left_late = is_late(left);
    const bool right_late = is_late(right);
    if (left_late != right_late) {
        return right_late;
    }
    if (left.depth != right.depth) {
        return left.depth > right.depth;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    if (left.aim != right.aim) {
        return left.aim < right.aim;
    }
    return left.id < right.id;
}

std::vector<called_piece> select_pieces(const packer& state, const packer_upstream& upstream,
                                        instant now) {
    std::vector<called_piece> taken;
    int skip = upstream.slowness >= slow_from ? made_elsewhere_meanwhile(state, upstream, now) : 0;
    const std::uint64_t capacity = result_capacity(state);
    const std::uint64_t held = held_bytes(state, upstream) + foreign_bytes(upstream, now);
    std::uint64_t free_bytes = capacity > held ? capacity - held : 0;
    const auto ranked = ranked_orders(state, now);
    const bool may_split = is_under_pressure(state, ranked);
    for (const ranked_order& one : ranked) {
        if (skip > 0) {
            skip -= one.waiting;
            continue;
        }
        const piece_order& order = one.open->order;
        const auto takes = call_time_at(state, upstream, order.pieces);
        const int room = state.limits.batch - static_cast<int>(taken.size());
        if (room <= 0) {
            break;
        }
        if (now + takes > order.needed_by || waits_for_zone(state, upstream, order, now)) {
            continue;
        }
        const bool is_split = room < one.waiting && one.waiting <= state.limits.batch;
        if (is_split && !may_split) {
            continue;
        }
        // An order larger than the free memory takes its part; it would never find enough at once.
        const int count = affordable(free_bytes, order.result_bytes, std::min(room, one.waiting));
        take_pieces(*one.open, count, taken);
        free_bytes -= static_cast<std::uint64_t>(count) * order.result_bytes;
    }
    return taken;
}

instant expected_end(const packer& state, const piece_order& order, instant now) {
    int ahead = order.pieces;
    for (const auto& [id, open] : state.orders) {
        if (goes_first(state, open.order, order, now)) {
            ahead += waiting_pieces(open);
        }
    }
    std::multiset<std::pair<instant, double>> free_times;
    for (const auto& [id, upstream] : state.upstreams) {
        if (is_usable(upstream, now)) {
            free_times.emplace(free_at(state, upstream, now), upstream.slowness);
        }
    }
    if (free_times.empty()) {
        return instant::max();
    }
    instant end = now;
    while (ahead > 0) {
        const int in_call = std::min(ahead, state.limits.batch);
        const auto [starts, slowness] = *free_times.begin();
        free_times.erase(free_times.begin());
        const auto takes = milliseconds(
            std::lround(static_cast<double>(call_time(state.limits, in_call).count()) * slowness));
        end = starts + takes;
        free_times.emplace(end, slowness);
        ahead -= in_call;
    }
    return end;
}

}  // namespace cyclamenmount::detail
