#include "prompt_quarantine/prompt_quarantine.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

namespace cyclamenmount {

namespace {

//! Number of crashes that quarantine a part.
constexpr std::size_t crashes_to_quarantine = 3;
//! Maximum number of crashes kept per suspect, so that its stored value stays small.
constexpr std::size_t max_crashes_per_part = 16;
//! Lifetime of a suspect that isn't quarantined; crashes further apart are unrelated.
constexpr milliseconds suspect_lifetime{60'000};
//! Lifetime of a quarantined part; then it is tried again, as the engines may have been repaired.
constexpr milliseconds quarantine_lifetime{600'000};
//! Time for which an answer counts as recent; engines may be replaced later.
constexpr milliseconds answer_lifetime{30'000};
//! Time between two removals of old answers, since each visits the whole history.
constexpr milliseconds purge_interval{1'000};
//! Maximum number of answers in a history, to bound its memory.
constexpr std::size_t max_answers = 8192;

//! The parts that other requests may have too: all but the last one.
std::span<const prompt_part> shared_parts(std::span<const prompt_part> prompt) {
    return prompt.empty() ? prompt : prompt.first(prompt.size() - 1);
}

bool is_recent(instant answered_at, instant now) {
    return now - answered_at < answer_lifetime;
}

bool is_answered(const prompt_history& history, const pool_name& pool, const std::string& part,
                 instant now) {
    const auto found = history.answered_at.find({pool, part});
    return found != history.answered_at.end() && is_recent(found->second, now);
}

//! Removes old answers if the last removal was long enough ago.
void purge(prompt_history& history, instant now) {
    if (now < history.next_purge) {
        return;
    }
    std::erase_if(history.answered_at,
                  [&](const auto& answer) { return !is_recent(answer.second, now); });
    history.next_purge = now + purge_interval;
}

}  // namespace

bool is_quarantined(const suspect_part& suspect) {
    return suspect.crashes.size() >= crashes_to_quarantine;
}

bool add_crash(suspect_part& suspect, const part_crash& crash) {
    const auto position = std::ranges::lower_bound(suspect.crashes, crash);
    const bool is_known = position != suspect.crashes.end() && *position == crash;
    if (is_known || suspect.crashes.size() >= max_crashes_per_part) {
        return false;
    }
    suspect.crashes.insert(position, crash);
    return true;
}

bool clear_crashes(suspect_part& suspect, const pool_name& pool) {
    return std::erase_if(suspect.crashes,
                         [&](const part_crash& crash) { return crash.pool == pool; }) != 0;
}

milliseconds lifetime_of(const suspect_part& suspect) {
    return is_quarantined(suspect) ? quarantine_lifetime : suspect_lifetime;
}

const suspect_part* find_quarantined(const suspect_parts& suspects,
                                     std::span<const prompt_part> prompt) {
    for (const prompt_part& part : shared_parts(prompt)) {
        const auto found = suspects.find(part.id);
        if (found != suspects.end() && is_quarantined(found->second)) {
            return &found->second;
        }
    }
    return nullptr;
}

void record_answered(prompt_history& history, const pool_name& pool,
                     std::span<const prompt_part> prompt, instant now) {
    purge(history, now);
    for (const prompt_part& part : shared_parts(prompt)) {
        const std::pair key{pool, part.id};
        const auto known = history.answered_at.find(key);
        if (known != history.answered_at.end()) {
            known->second = now;
        } else if (history.answered_at.size() < max_answers) {
            history.answered_at.emplace(key, now);
        }
    }
}

std::vector<std::string> unproven_parts(const prompt_history& history, const pool_name& pool,
                                        std::span<const prompt_part> prompt, instant now) {
    std::vector<std::string> unproven;
    std::set<std::string_view> seen;
    for (const prompt_part& part : shared_parts(prompt)) {
        if (seen.insert(part.id).second && !is_answered(history, pool, part.id, now)) {
            unproven.push_back(part.id);
        }
    }
    return unproven;
}

std::vector<disproved_suspect> disproved_suspects(const suspect_parts& suspects,
                                                  const prompt_history& history, instant now) {
    std::vector<disproved_suspect> disproved;
    for (const auto& [part, suspect] : suspects) {
        std::set<pool_name> pools;
        for (const part_crash& crash : suspect.crashes) {
            // An answer from before the crash counts too: a part that crashes engines crashes each
            // one.
            if (pools.insert(crash.pool).second && is_answered(history, crash.pool, part, now)) {
                disproved.push_back({part, crash.pool});
            }
        }
    }
    return disproved;
}

}  // namespace cyclamenmount
