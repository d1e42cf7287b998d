#include "placement/internal/cost_choice.h"

#include "placement/internal/pool_index.h"
#include "placement/internal/prompt_homes.h"
#include "placement/internal/upstream_filter.h"
#include "types/numeric.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace cyclamenmount::detail {

namespace {

constexpr std::size_t homes = 3;
//! Candidates beside the homes: by their speed, and any.
constexpr std::size_t fast_candidates = 2;
//! Part of the time of all events by which a slow upstream's longer response counts.
constexpr double tail_weight = 0.25;
//! Time between events, in parts of the longest one, from which single ones are likely to be late.
constexpr double critical_gap = 0.5;
//! Harm of a response all of whose gaps are as long as the longest allowed one.
constexpr double late_gaps_ms = 1000;
//! Choices whose costs differ by this part, or by so little, are about equally likely.
constexpr double near_tie_part = 0.04;
constexpr double min_near_tie_ms = 4;
//! Cost that keeps busy engines, and those whose limit leaves little room, behind all others.
constexpr double busy_cost_ms = 20'000;
//! An upstream in another zone is used if the one chosen in the own zone has at least this load.
constexpr double spill_load = 0.8;

using indices = std::vector<std::uint32_t>;

//! Upstreams that the request may be sent to, by position in the pool.
struct usable {
    indices warm;
    indices avoided;
    indices cold;
    indices avoided_cold;
};

struct choice_context {
    placement_state& state;
    const std::vector<serving_upstream>& upstreams;
    const pool_index& index;
    const pool_limits* limits;
    const placement_request& wanted;
    instant now;
};

struct rated {
    std::uint32_t position{0};
    std::size_t home{no_home};
    double cost_ms{0};
    double unread{0};  //!< expected tokens of the request's own prompt
};

usable find_usable(const choice_context& context, const fleet_view& view) {
    usable found;
    const int share = connection_share(view, context.limits);
    for (std::uint32_t i = 0; i < context.upstreams.size(); ++i) {
        const serving_upstream& upstream = context.upstreams[i];
        const upstream_record& record = *context.index.upstreams[i].record;
        const placement_request& wanted = context.wanted;
        const bool is_allowed = !wanted.versions || wanted.versions->contains(upstream.version);
        if (!is_allowed || record.in_flight >= share ||
            (!wanted.excluded.empty() && wanted.excluded.contains(upstream.id))) {
            continue;
        }
        const directive_state& directives = record.directives;
        const bool has_directives = directives.max_per_second || directives.is_leaving ||
                                    context.now < directives.no_requests_until;
        if (has_directives &&
            time_to_next_request(context.state, view, upstream, context.now) > 0ms) {
            continue;
        }
        const bool avoided = is_avoided(context.state, record, context.now);
        if (is_cold(upstream, context.now)) {
            (avoided ? found.avoided_cold : found.cold).push_back(i);
        } else {
            (avoided ? found.avoided : found.warm).push_back(i);
        }
    }
    return found;
}

//! Keeps the best few of many, best first.
template <std::size_t Size>
struct best_few {
    std::array<double, Size> scores{};
    std::array<std::uint32_t, Size> positions{};
    std::size_t count{0};

    //! True if a score of this size is among the best so far.
    [[nodiscard]] bool takes(double score) const {
        return count < Size || score > scores[Size - 1];
    }

    void add(double score, std::uint32_t position) {
        if (!takes(score)) {
            return;
        }
        std::size_t at = count < Size ? count++ : Size - 1;
        while (at > 0 && scores.at(at - 1) < score) {
            scores.at(at) = scores.at(at - 1);
            positions.at(at) = positions.at(at - 1);
            --at;
        }
        scores.at(at) = score;
        positions.at(at) = position;
    }
};

//! Requests in progress per slot, as the last report and the other instances tell.
double load_of(const choice_context& context, std::uint32_t position, int slots) {
    const indexed_upstream& upstream = context.index.upstreams[position];
    const upstream_record& record = *upstream.record;
    int requests = record.in_flight + upstream.others.requests;
    if (record.report && context.now - record.reported_at < max_report_age) {
        const int started_since = record.in_flight - record.in_flight_at_report;
        requests =
            std::max(requests, record.report->running + record.report->waiting + started_since);
    }
    return static_cast<double>(requests) / std::max(1, slots);
}

double outstanding_unread(const indexed_upstream& upstream) {
    return static_cast<double>(upstream.record->unread_tokens) +
           static_cast<double>(upstream.others.unread_tokens);
}

//! Harm of the time between events to a response, as time to the first event.
double response_cost(const choice_context& context, double factor) {
    if (context.index.gap_ms == 0) {
        return 0;
    }
    const double gap_ms = context.index.gap_ms * factor;
    double cost = tail_weight * context.wanted.expected_events * gap_ms;
    const auto longest = static_cast<double>(context.wanted.max_event_gap.count());
    if (longest > 0) {
        const double excess = gap_ms / longest - critical_gap;
        cost += late_gaps_ms * std::max(0.0, excess / (1 - critical_gap));
    }
    return cost;
}

rated rate_engine(const choice_context& context, const reading_estimate& reading,
                  std::uint32_t position, std::size_t home, bool is_short) {
    const indexed_upstream& upstream = context.index.upstreams[position];
    const int slots = context.upstreams[position].slots;
    rated result{position, home, 0, 0};
    result.unread = expected_unread(*upstream.record, context.wanted.prompt, home, context.now);
    const double factor = current_factor(upstream, context.now);
    const double tokens = result.unread + outstanding_unread(upstream);
    result.cost_ms = factor * (reading.fixed_ms + reading.ms_per_token * tokens) +
                     response_cost(context, factor);
    const double load = load_of(context, position, slots);
    if (load >= busy_engine_load || leaves_place(*upstream.record, is_short)) {
        result.cost_ms += busy_cost_ms * (1 + load);
    }
    return result;
}

//! True if the engine's cache has room for the request beside those that are known to run there.
bool has_memory(const choice_context& context, std::uint32_t position, double request_tokens) {
    if (context.limits == nullptr || !context.limits->engine ||
        context.limits->engine->cache_tokens == 0) {
        return true;
    }
    const indexed_upstream& upstream = context.index.upstreams[position];
    const double known = static_cast<double>(upstream.record->kv_tokens) +
                         static_cast<double>(upstream.others.kv_tokens);
    return known + request_tokens <= static_cast<double>(context.limits->engine->cache_tokens);
}

//! Removes engines without room, unless none has any: slots are a limit, memory is not.
indices with_room(const choice_context& context, const indices& from) {
    const double tokens =
        static_cast<double>(prompt_tokens(context.wanted.prompt)) + context.wanted.expected_events;
    indices free_slots;
    indices free_memory;
    for (const std::uint32_t i : from) {
        if (load_of(context, i, context.upstreams[i].slots) >= 1) {
            continue;
        }
        free_slots.push_back(i);
        if (has_memory(context, i, tokens)) {
            free_memory.push_back(i);
        }
    }
    return free_memory.empty() ? free_slots : free_memory;
}

//! Draws one of the candidates: the cheapest most often, one that costs much more hardly ever. The
//! instances' figures of each other are some 100 ms old, and all of them would otherwise send to
//! the same engine meanwhile.
std::size_t draw(std::span<const rated> candidates, std::uint64_t random) {
    double least = candidates.front().cost_ms;
    for (const rated& one : candidates) {
        least = std::min(least, one.cost_ms);
    }
    const double width = std::max(min_near_tie_ms, near_tie_part * least);
    double sum = 0;
    for (const rated& one : candidates) {
        sum += std::exp((least - one.cost_ms) / width);
    }
    constexpr double scale = 1.0 / 9007199254740992.0;  // 2^-53
    double left = static_cast<double>(random >> 11U) * scale * sum;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        left -= std::exp((least - candidates[i].cost_ms) / width);
        if (left < 0) {
            return i;
        }
    }
    return candidates.size() - 1;
}

void record_decision(const choice_context& context, std::span<const rated> candidates,
                     std::size_t chosen) {
    const rated& one = candidates[chosen];
    const indexed_upstream& upstream = context.index.upstreams[one.position];
    placement_decision decision;
    decision.chosen = context.upstreams[one.position].id;
    decision.cost_ms = one.cost_ms;
    decision.factor = current_factor(upstream, context.now);
    decision.evidence = upstream.evidence;
    decision.own_unread_tokens = one.unread;
    decision.tokens_to_first_event = one.unread + outstanding_unread(upstream);
    decision.candidates = candidates.size();
    if (upstream.reported_at != instant{}) {
        decision.report_age = context.now - upstream.reported_at;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool is_next =
            decision.runner_up.empty() || candidates[i].cost_ms < decision.runner_up_cost_ms;
        if (i != chosen && is_next) {
            decision.runner_up = context.upstreams[candidates[i].position].id;
            decision.runner_up_cost_ms = candidates[i].cost_ms;
        }
    }
    context.state.last_decision = std::move(decision);
}

//! The upstream at which the sum of the weights up to it exceeds `sum`.
std::uint32_t pick_by_weight(const choice_context& context, const indices& from, double sum) {
    for (const std::uint32_t i : from) {
        sum -= context.index.upstreams[i].weight;
        if (sum < 0) {
            return i;
        }
    }
    return from.back();
}

std::optional<std::uint32_t> choose_engine(const choice_context& context, const indices& usable,
                                           bool is_short) {
    const indices from = with_room(context, usable);
    if (from.empty()) {
        return std::nullopt;
    }
    const std::uint64_t prefix = prefix_key(context.wanted.prompt);
    best_few<homes> by_prefix;
    double total_weight = 0;
    for (const std::uint32_t i : from) {
        const indexed_upstream& upstream = context.index.upstreams[i];
        const double uniform = uniform_of(prefix, upstream.id_hash);
        if (by_prefix.takes(score_bound(uniform, upstream.weight))) {
            by_prefix.add(weighted_score(uniform, upstream.weight), i);
        }
        total_weight += upstream.weight;
    }
    const reading_estimate reading = estimate_reading(context.state.costs, context.wanted.pool);
    std::vector<rated> candidates;
    const auto add = [&](std::uint32_t position, std::size_t home) {
        if (std::ranges::find(candidates, position, &rated::position) == candidates.end()) {
            candidates.push_back(rate_engine(context, reading, position, home, is_short));
        }
    };
    for (std::size_t i = 0; i < by_prefix.count; ++i) {
        add(by_prefix.positions.at(i), i);
    }
    for (std::size_t i = 0; i < fast_candidates; ++i) {
        const double part = uniform_of(context.wanted.random, i);
        add(pick_by_weight(context, from, part * total_weight), no_home);
    }
    add(from[context.wanted.random % from.size()], no_home);
    constexpr std::uint64_t other_bits = 0x9e3779b97f4a7c15U;
    const std::size_t chosen = draw(candidates, context.wanted.random * other_bits);
    record_decision(context, candidates, chosen);
    return candidates[chosen].position;
}

//! Power of two choices by slowness and requests in progress.
std::optional<rated> choose_of_two(const choice_context& context, const indices& from,
                                   std::uint64_t random) {
    if (from.empty()) {
        return std::nullopt;
    }
    const auto rate = [&](std::size_t at) {
        const std::uint32_t position = from[at];
        const int slots = std::max(1, context.upstreams[position].slots);
        const double requests = load_of(context, position, slots) * slots;
        const double factor = current_factor(context.index.upstreams[position], context.now);
        return rated{position, no_home, factor * (1 + requests) / slots, 0};
    };
    const std::size_t first = (random & 0xffffffffU) % from.size();
    std::vector<rated> candidates{rate(first)};
    if (from.size() > 1) {
        candidates.push_back(rate((first + 1 + (random >> 32U) % (from.size() - 1)) % from.size()));
    }
    const std::size_t chosen =
        candidates.size() > 1 && candidates[1].cost_ms < candidates[0].cost_ms ? 1 : 0;
    record_decision(context, candidates, chosen);
    return candidates[chosen];
}

std::optional<std::uint32_t> choose_plain(const choice_context& context, const indices& usable) {
    indices near;
    indices far;
    for (const std::uint32_t i : usable) {
        const int capacity = context.upstreams[i].slots * requests_per_slot;
        if (load_of(context, i, capacity) < 1) {
            (context.upstreams[i].zone == context.wanted.zone ? near : far).push_back(i);
        }
    }
    const auto load = [&](const rated& one) {
        return load_of(context, one.position,
                       context.upstreams[one.position].slots * requests_per_slot);
    };
    const auto far_choice = choose_of_two(context, far, context.wanted.random);
    const auto far_decision = context.state.last_decision;
    const auto near_choice = choose_of_two(context, near, context.wanted.random);
    const bool use_near = near_choice && (!far_choice || load(*near_choice) < spill_load ||
                                          load(*far_choice) >= spill_load);
    if (use_near) {
        return near_choice->position;
    }
    context.state.last_decision = far_decision;
    return far_choice ? std::optional(far_choice->position) : std::nullopt;
}

}  // namespace

std::optional<serving_upstream> place_by_cost(placement_state& state, const fleet_view& view,
                                              const placement_request& wanted, instant now) {
    state.last_decision.reset();
    const pool_index* const index = update_index(state, view, wanted.pool, now);
    if (index == nullptr) {
        return std::nullopt;
    }
    const choice_context context{
        state, upstreams_of(view, wanted.pool), *index, limits_of(view, wanted.pool), wanted, now};
    const bool has_prompt = !wanted.prompt.empty();
    const bool is_short = has_prompt && is_short_prompt(state, wanted);
    const auto choose = [&](const indices& from) {
        return has_prompt ? choose_engine(context, from, is_short) : choose_plain(context, from);
    };
    usable found = find_usable(context, view);
    const bool only_avoided = found.warm.empty() && found.cold.empty();
    auto chosen = choose(only_avoided ? found.avoided : found.warm);
    if (!chosen && context.limits != nullptr) {
        indices& cold = only_avoided ? found.avoided_cold : found.cold;
        std::erase_if(cold, [&](std::uint32_t i) {
            return !may_send_cold(state, view, *context.limits, context.upstreams[i], now);
        });
        chosen = choose(cold);
    }
    return chosen ? std::optional(context.upstreams[*chosen]) : std::nullopt;
}

zone_name home_zone(placement_state& state, const fleet_view& view, const placement_request& wanted,
                    instant now) {
    const pool_index* const index = update_index(state, view, wanted.pool, now);
    if (index == nullptr) {
        return {};
    }
    const auto& upstreams = upstreams_of(view, wanted.pool);
    const std::uint64_t prefix = prefix_key(wanted.prompt);
    best_few<1> best;
    for (std::uint32_t i = 0; i < upstreams.size(); ++i) {
        const indexed_upstream& upstream = index->upstreams[i];
        const directive_state& directives = upstream.record->directives;
        if (!is_avoided(state, *upstream.record, now) && !directives.is_leaving &&
            now >= directives.no_requests_until && !is_cold(upstreams[i], now)) {
            best.add(weighted_score(uniform_of(prefix, upstream.id_hash), upstream.weight), i);
        }
    }
    return best.count == 0 ? zone_name{} : upstreams[best.positions[0]].zone;
}

}  // namespace cyclamenmount::detail
