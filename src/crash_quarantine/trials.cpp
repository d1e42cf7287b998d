#include "crash_quarantine/trials.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cyclamenmount {

namespace {

//! Delay of the first trial, by the evidence. The shortest one lets all instances learn of the
//! crashes, and requests in progress be answered. The longest one outlasts most bursts of deadly
//! requests, but not by as much as the quarantine.
constexpr milliseconds ambiguous_delay{1'000};
constexpr milliseconds weak_delay{10'000};
constexpr milliseconds conclusive_delay{60'000};
//! Further delay for requests that can't be repeated.
constexpr milliseconds unrepeatable_delay{1'000};
//! Each failed trial multiplies the delay of the next one by this.
constexpr int failure_factor = 10;
//! Time in which an instance may start a trial before the next one's turn. A trial takes about as
//! long: reading of the prompt, first event, and the report to all instances.
constexpr milliseconds turn_time{1'000};
//! Time after the end of a trial in which its crash is checked and reported.
constexpr milliseconds report_time{1'000};

//! True if the suspect explains crashes of other keys that it shares.
bool is_explanation(const crash_suspect& suspect) {
    return !is_request_key(suspect.key) || suspect.crashes.size() > 1;
}

bool has_crash(const crash_suspect& suspect, const upstream_crash& crash) {
    return std::ranges::any_of(
        suspect.crashes, [&](const upstream_crash& known) { return is_same_crash(known, crash); });
}

milliseconds first_delay(crash_evidence evidence) {
    switch (evidence) {
    case crash_evidence::ambiguous:
        return ambiguous_delay;
    case crash_evidence::weak:
        return weak_delay;
    case crash_evidence::conclusive:
        break;
    }
    return conclusive_delay;
}

milliseconds delay_of_next(const crash_suspect& quarantined, crash_evidence evidence) {
    milliseconds delay = first_delay(evidence);
    for (const upstream_crash& crash : quarantined.crashes) {
        delay *= crash.was_trial ? failure_factor : 1;
        if (delay >= lifetime_of(quarantined)) {
            return lifetime_of(quarantined);
        }
    }
    return delay;
}

//! True while a trial runs, and until its crash would be known.
bool awaits_result(const trial_record& record, instant now) {
    return record.is_running ||
           (record.ended_at != instant{} && now < record.ended_at + report_time);
}

//! The record of the suspect; one that begins now if no view holds its last crash yet.
trial_record record_of(const trial_records& records, const crash_suspect& suspect, instant now) {
    const auto found = records.find(suspect.key);
    trial_record record = found == records.end() ? trial_record{} : found->second;
    if (record.crashes < suspect.crashes.size()) {
        record.changed_at = now;
    }
    return record;
}

//! Time until the instance's turn, `since_first` after the first turn began.
milliseconds time_to_turn(trial_turn turn, milliseconds since_first) {
    const auto instances = static_cast<std::int64_t>(std::max<std::size_t>(1, turn.instances));
    const auto rank = static_cast<std::int64_t>(turn.rank);
    const std::int64_t current = (since_first / turn_time) % instances;
    if (current == rank) {
        return 0ms;
    }
    const std::int64_t turns_to_go = (rank - current + instances) % instances;
    return turns_to_go * turn_time - since_first % turn_time;
}

}  // namespace

crash_evidence weigh_evidence(const crash_suspects& suspects, const crash_suspect& quarantined,
                              std::span<const std::string> keys) {
    std::vector<const crash_suspect*> others;
    for (const auto& [key, suspect] : suspects) {
        if (std::ranges::find(keys, key) == keys.end() && is_explanation(suspect)) {
            others.push_back(&suspect);
        }
    }
    std::map<const crash_suspect*, int> shared_crashes;
    for (const upstream_crash& crash : quarantined.crashes) {
        bool has_other = false;
        for (const crash_suspect* const other : others) {
            if (has_crash(*other, crash)) {
                has_other = true;
                ++shared_crashes[other];
            }
        }
        if (!has_other) {
            return crash_evidence::conclusive;
        }
    }
    const bool is_shared =
        std::ranges::any_of(shared_crashes, [](const auto& shared) { return shared.second > 1; });
    return is_shared ? crash_evidence::ambiguous : crash_evidence::weak;
}

void follow_suspects(trial_records& records, const crash_suspects& suspects, instant now) {
    std::erase_if(records, [&](const auto& entry) {
        const auto known = suspects.find(entry.first);
        const bool is_in_quarantine = known != suspects.end() && is_quarantined(known->second);
        return !is_in_quarantine && !awaits_result(entry.second, now);
    });
    for (const auto& [key, suspect] : suspects) {
        if (!is_quarantined(suspect)) {
            continue;
        }
        trial_record& record = records[key];
        if (record.crashes != suspect.crashes.size()) {
            record.crashes = suspect.crashes.size();
            record.changed_at = now;
        }
    }
}

trial_decision decide_trial(const trial_records& records, const crash_suspects& suspects,
                            const trial_candidate& candidate, trial_turn turn, instant now) {
    trial_decision decision;
    instant first_turn{};
    bool is_awaited = false;
    for (const std::string& key : candidate.keys) {
        const auto found = suspects.find(key);
        if (found == suspects.end() || !is_quarantined(found->second)) {
            continue;
        }
        decision.quarantined.push_back(key);
        const trial_record record = record_of(records, found->second, now);
        const milliseconds delay =
            delay_of_next(found->second, weigh_evidence(suspects, found->second, candidate.keys));
        if (decision.decisive.empty() || record.changed_at + delay > first_turn) {
            decision.decisive = key;
            first_turn = record.changed_at + delay;
        }
        is_awaited = is_awaited || awaits_result(record, now);
    }
    if (decision.quarantined.empty()) {
        return decision;
    }
    first_turn += candidate.is_repeatable ? 0ms : unrepeatable_delay;
    decision.wait = now < first_turn ? first_turn - now + time_to_turn(turn, 0ms)
                                     : time_to_turn(turn, now - first_turn);
    if (is_awaited) {
        decision.wait = std::max(decision.wait, report_time);
    }
    return decision;
}

void begin_trial(trial_records& records, std::span<const std::string> keys) {
    for (const std::string& key : keys) {
        records[key].is_running = true;
    }
}

void end_trial(trial_records& records, std::span<const std::string> keys, instant now) {
    for (const std::string& key : keys) {
        trial_record& record = records[key];
        record.is_running = false;
        record.ended_at = now;
    }
}

bool is_on_trial(const trial_records& records, const std::string& key, instant now) {
    const auto found = records.find(key);
    return found != records.end() && awaits_result(found->second, now);
}

}  // namespace cyclamenmount
