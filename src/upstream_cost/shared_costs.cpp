#include "upstream_cost/shared_costs.h"

#include "types/numeric.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace cyclamenmount {

namespace {

constexpr char entry_separator = ';';
constexpr char figure_separator = ',';
constexpr double weight_scale = 100;
constexpr double log_scale = 1000;
constexpr int key_base = 36;

//! Sums are computed anew after this time at the earliest, as many members ask within it.
constexpr milliseconds sum_period{200};
//! Entries of one reply: up to 4 KB every 400 ms to each member.
constexpr std::size_t sums_per_reply = 64;
//! Load reports of this age aren't passed on: what they tell changes within some 100 ms.
constexpr milliseconds max_passed_report_age{600};
//! A member's mean is moved to within this distance of the median of all members, and its weight
//! and work are bounded, so that one with wrong figures doesn't decide.
constexpr double max_deviation_log = 0.7;
constexpr double max_member_weight = 50;
constexpr std::uint64_t max_member_unread_tokens = 100'000;

// Bounds of a sensible entry.
constexpr double max_weight = 100'000;
constexpr double max_mean_log = 12;
constexpr std::int64_t max_requests = 100'000;
constexpr std::int64_t max_tokens = 100'000'000;
constexpr std::int64_t max_age_ms = 60'000;
constexpr std::int64_t max_work_time_percent = 100'000;

enum figure : std::size_t {
    gap_weight,
    gap_log_sum,
    ratio_weight,
    ratio_log_sum,
    requests,
    unread_tokens,
    kv_tokens,
    age,
    running,
    waiting,
    slots,
    work_time,
    report_age,
    figure_count
};

constexpr std::size_t figures_without_report = running;

void append(std::string& text, std::int64_t value) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value);
    text.append(digits.data(), end.ptr);
}

std::int64_t scaled(double value, double scale) {
    return round_to<std::int64_t>(value * scale);
}

std::optional<std::int64_t> take_number(std::string_view& text, int base) {
    const std::size_t end = std::min(text.find(figure_separator), text.size());
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + end, value, base);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + end) {
        return std::nullopt;
    }
    text.remove_prefix(std::min(end + 1, text.size()));
    return value;
}

bool is_within(std::int64_t value, std::int64_t most) {
    return value >= 0 && value <= most;
}

std::optional<log_evidence> make_evidence(std::int64_t weight, std::int64_t log_sum) {
    log_evidence made;
    made.weight = static_cast<double>(weight) / weight_scale;
    made.log_sum = static_cast<double>(log_sum) / log_scale;
    // Rounding leaves a sum beside a weight of almost nothing.
    const double most = (made.weight + 1 / weight_scale) * max_mean_log;
    if (made.weight < 0 || made.weight > max_weight || std::abs(made.log_sum) > most) {
        return std::nullopt;
    }
    return made;
}

std::optional<shared_observation> decode_entry(std::string_view text) {
    const auto key = take_number(text, key_base);
    if (!key || *key < 0) {
        return std::nullopt;
    }
    std::array<std::int64_t, figure_count> values{};
    std::size_t count = 0;
    while (!text.empty() && count < figure_count) {
        const auto value = take_number(text, 10);
        if (!value) {
            return std::nullopt;
        }
        values.at(count++) = *value;
    }
    if (count != figures_without_report && count != figure_count) {
        return std::nullopt;
    }
    const auto gaps = make_evidence(values[gap_weight], values[gap_log_sum]);
    const auto ratios = make_evidence(values[ratio_weight], values[ratio_log_sum]);
    if (!gaps || !ratios || !is_within(values[requests], max_requests) ||
        !is_within(values[unread_tokens], max_tokens) ||
        !is_within(values[kv_tokens], max_tokens) || !is_within(values[age], max_age_ms)) {
        return std::nullopt;
    }
    shared_observation made;
    made.upstream = static_cast<upstream_key>(*key);
    made.speed = {*gaps, *ratios};
    made.work = {static_cast<int>(values[requests]),
                 static_cast<std::uint64_t>(values[unread_tokens]),
                 static_cast<std::uint64_t>(values[kv_tokens])};
    made.age = milliseconds(values[age]);
    if (count == figures_without_report) {
        return made;
    }
    if (!is_within(values[running], max_requests) || !is_within(values[waiting], max_requests) ||
        !is_within(values[slots], max_requests) || values[slots] == 0 ||
        !is_within(values[work_time], max_work_time_percent) ||
        !is_within(values[report_age], max_age_ms)) {
        return std::nullopt;
    }
    made.report = load_report{static_cast<int>(values[running]), static_cast<int>(values[waiting]),
                              static_cast<int>(values[slots])};
    if (values[work_time] > 0) {
        made.report->work_time_percent = static_cast<int>(values[work_time]);
    }
    made.report_age = milliseconds(values[report_age]);
    return made;
}

double mean_of(const log_evidence& evidence) {
    return evidence.weight > 0 ? evidence.log_sum / evidence.weight : 0;
}

//! The evidence of one member with bounded weight and mean.
log_evidence bounded(const log_evidence& of_member, double median, instant as_of, instant now) {
    log_evidence aged = of_member;
    aged.updated_at = as_of;
    aged = decayed(aged, now);
    const double weight = std::min(aged.weight, max_member_weight);
    const double mean =
        std::clamp(mean_of(aged), median - max_deviation_log, median + max_deviation_log);
    return {weight, weight * mean, now};
}

void add(log_evidence& sum, const log_evidence& part, double sign) {
    sum.weight = std::max(0.0, sum.weight + sign * part.weight);
    sum.log_sum = sum.weight == 0 ? 0 : sum.log_sum + sign * part.log_sum;
}

outstanding_work bounded(const outstanding_work& of_member) {
    outstanding_work work = of_member;
    work.unread_tokens = std::min(work.unread_tokens, max_member_unread_tokens);
    return work;
}

template <typename Number>
Number without(Number sum, Number part) {
    return sum > part ? sum - part : 0;
}

double median_of(std::vector<double>& values) {
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

using entries_by_upstream = std::map<upstream_key, std::vector<const fleet_observations::entry*>>;

fleet_observations::total sum_of(std::span<const fleet_observations::entry* const> parts,
                                 instant now) {
    std::vector<double> gap_logs;
    std::vector<double> ratio_logs;
    for (const auto* const part : parts) {
        const speed_evidence& speed = part->observed.speed;
        if (speed.gaps.weight > 0) {
            gap_logs.push_back(mean_of(speed.gaps));
        }
        if (speed.ratios.weight > 0) {
            ratio_logs.push_back(mean_of(speed.ratios));
        }
    }
    fleet_observations::total total;
    total.median_gap_log = median_of(gap_logs);
    total.median_ratio_log = median_of(ratio_logs);
    total.as_of = now;
    for (const auto* const part : parts) {
        const shared_observation& observed = part->observed;
        total.sum.upstream = observed.upstream;
        add(total.sum.speed.gaps,
            bounded(observed.speed.gaps, total.median_gap_log, part->as_of, now), 1);
        add(total.sum.speed.ratios,
            bounded(observed.speed.ratios, total.median_ratio_log, part->as_of, now), 1);
        const outstanding_work work = bounded(observed.work);
        total.sum.work.requests += work.requests;
        total.sum.work.unread_tokens += work.unread_tokens;
        total.sum.work.kv_tokens += work.kv_tokens;
        const instant reported_at = part->as_of - observed.report_age;
        if (observed.report && (!total.sum.report || reported_at > total.reported_at)) {
            total.sum.report = observed.report;
            total.reported_at = reported_at;
        }
    }
    return total;
}

void update_totals(fleet_observations& fleet, instant now) {
    if (!needs_sums(fleet, now)) {
        return;
    }
    fleet.summed_at = now;
    std::erase_if(fleet.members,
                  [&](const auto& known) { return now - known.second.received_at > max_work_age; });
    entries_by_upstream by_upstream;
    for (auto& [address, member] : fleet.members) {
        for (const auto& [upstream, known] : member.newer) {
            member.entries[upstream] = known;
        }
        member.newer.clear();
        std::erase_if(member.entries,
                      [&](const auto& known) { return now - known.second.as_of > max_work_age; });
        for (const auto& [upstream, known] : member.entries) {
            by_upstream[upstream].push_back(&known);
        }
    }
    fleet.totals.clear();
    for (const auto& [upstream, parts] : by_upstream) {
        fleet.totals.push_back(sum_of(parts, now));
    }
}

}  // namespace

bool needs_sums(const fleet_observations& fleet, instant now) {
    return now - fleet.summed_at >= sum_period;
}

std::string encode_observations(std::span<const shared_observation> observations) {
    std::string text;
    for (const shared_observation& one : observations) {
        if (!text.empty()) {
            text += entry_separator;
        }
        std::array<char, 16> digits{};
        const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), one.upstream, key_base);
        text.append(digits.data(), end.ptr);
        const auto add_figure = [&](std::int64_t value) {
            text += figure_separator;
            append(text, value);
        };
        add_figure(scaled(one.speed.gaps.weight, weight_scale));
        add_figure(scaled(one.speed.gaps.log_sum, log_scale));
        add_figure(scaled(one.speed.ratios.weight, weight_scale));
        add_figure(scaled(one.speed.ratios.log_sum, log_scale));
        add_figure(one.work.requests);
        add_figure(static_cast<std::int64_t>(one.work.unread_tokens));
        add_figure(static_cast<std::int64_t>(one.work.kv_tokens));
        add_figure(one.age.count());
        if (one.report) {
            add_figure(one.report->running);
            add_figure(one.report->waiting);
            add_figure(one.report->slots);
            add_figure(one.report->work_time_percent.value_or(0));
            add_figure(one.report_age.count());
        }
    }
    return text;
}

decoded_observations decode_observations(std::string_view text) {
    decoded_observations decoded;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(entry_separator), text.size());
        auto entry = decode_entry(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!entry || decoded.observations.size() == max_replied_upstreams) {
            ++decoded.malformed;
        } else {
            decoded.observations.push_back(*entry);
        }
    }
    return decoded;
}

void apply_shared(cost_state& state, std::span<const shared_observation> observations,
                  instant now) {
    for (const shared_observation& one : observations) {
        shared_knowledge& known = state.shared[one.upstream];
        const instant as_of = now - one.age;
        known.speed = one.speed;
        known.speed.gaps.updated_at = as_of;
        known.speed.ratios.updated_at = as_of;
        known.work = one.work;
        known.as_of = as_of;
        const instant reported_at = as_of - one.report_age;
        if (one.report && (!known.report || reported_at > known.reported_at)) {
            known.report = one.report;
            known.reported_at = reported_at;
        }
    }
}

std::optional<outstanding_work> work_of_others(const cost_state& state, upstream_key upstream,
                                               instant now) {
    const auto found = state.shared.find(upstream);
    if (found == state.shared.end() || now - found->second.as_of > max_work_age) {
        return std::nullopt;
    }
    return found->second.work;
}

void record_report(fleet_observations& fleet, const std::string& member,
                   std::span<const shared_observation> observations, instant now) {
    fleet_observations::member_report& report = fleet.members[member];
    report.received_at = now;
    for (const shared_observation& one : observations) {
        report.newer[one.upstream] = {one, now - one.age};
    }
}

std::vector<shared_observation> sums_for(fleet_observations& fleet, const std::string& member,
                                         instant now) {
    update_totals(fleet, now);
    const auto known = fleet.members.find(member);
    const std::size_t count = std::min(fleet.totals.size(), sums_per_reply);
    const std::size_t first = known == fleet.members.end() ? 0 : known->second.next;
    std::vector<shared_observation> sums;
    for (std::size_t i = 0; i < count; ++i) {
        const auto& total = fleet.totals[(first + i) % fleet.totals.size()];
        shared_observation sum = total.sum;
        sum.age = now - total.as_of;
        sum.report_age = sum.report ? now - total.reported_at : milliseconds(0);
        if (sum.report_age > max_passed_report_age) {
            sum.report.reset();
        }
        if (known != fleet.members.end()) {
            const auto own = known->second.entries.find(sum.upstream);
            if (own != known->second.entries.end()) {
                const auto& [observed, as_of] = own->second;
                add(sum.speed.gaps,
                    bounded(observed.speed.gaps, total.median_gap_log, as_of, total.as_of), -1);
                add(sum.speed.ratios,
                    bounded(observed.speed.ratios, total.median_ratio_log, as_of, total.as_of), -1);
                const outstanding_work work = bounded(observed.work);
                sum.work.requests = without(sum.work.requests, work.requests);
                sum.work.unread_tokens = without(sum.work.unread_tokens, work.unread_tokens);
                sum.work.kv_tokens = without(sum.work.kv_tokens, work.kv_tokens);
            }
        }
        sums.push_back(sum);
    }
    if (known != fleet.members.end() && !fleet.totals.empty()) {
        known->second.next = (first + count) % fleet.totals.size();
    }
    return sums;
}

}  // namespace cyclamenmount
