#include "crash_quarantine/crash_quarantine.h"

#include "secrets/secrets.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string_view>

namespace cyclamenmount {

namespace {

//! Start of the key of a whole request; ids of prompt parts are hexadecimal numbers.
constexpr std::string_view request_key_prefix = "request-";
constexpr std::size_t digest_digits = 32;
//! Number of crashes that quarantine a key.
constexpr std::size_t crashes_to_quarantine = 3;
//! Maximum number of crashes kept per suspect, so that its stored value stays small.
constexpr std::size_t max_crashes_per_key = 16;
//! Lifetime of a suspect that isn't quarantined; crashes further apart are unrelated.
constexpr milliseconds suspect_lifetime{60'000};
//! Lifetime of a quarantined key; then it is tried again, as the engines may have been repaired.
constexpr milliseconds quarantine_lifetime{600'000};
//! Time for which an answer counts as recent; engines may be replaced later.
constexpr milliseconds answer_lifetime{30'000};
//! Time between two removals of old answers, since each visits the whole history.
constexpr milliseconds purge_interval{1'000};
//! Maximum number of answers in a history, to bound its memory.
constexpr std::size_t max_answers = 8192;

bool is_recent(instant answered_at, instant now) {
    return now - answered_at < answer_lifetime;
}

bool is_answered(const answer_history& history, const pool_name& pool, const std::string& key,
                 instant now) {
    const auto found = history.answered_at.find({pool, key});
    return found != history.answered_at.end() && is_recent(found->second, now);
}

//! Removes old answers if the last removal was long enough ago.
void purge(answer_history& history, instant now) {
    if (now < history.next_purge) {
        return;
    }
    std::erase_if(history.answered_at,
                  [&](const auto& answer) { return !is_recent(answer.second, now); });
    history.next_purge = now + purge_interval;
}

//! Appends a length and the text, so that no two contents give the same bytes.
void append_field(std::string& to, std::string_view text) {
    to.append(std::to_string(text.size())).append(":").append(text);
}

}  // namespace

std::string request_key(const request_content& content) {
    std::string bytes;
    for (const std::string_view field :
         {content.caller, content.host, content.target, content.body}) {
        append_field(bytes, field);
    }
    return std::string(request_key_prefix) + sha256_hex(bytes).substr(0, digest_digits);
}

bool is_request_key(std::string_view key) {
    return key.starts_with(request_key_prefix);
}

std::vector<std::string> shared_part_ids(std::span<const prompt_part> prompt) {
    std::vector<std::string> ids;
    std::set<std::string_view> seen;
    for (const prompt_part& part : prompt.first(prompt.empty() ? 0 : prompt.size() - 1)) {
        if (seen.insert(part.id).second) {
            ids.push_back(part.id);
        }
    }
    return ids;
}

bool is_quarantined(const crash_suspect& suspect) {
    return suspect.crashes.size() >= crashes_to_quarantine;
}

bool is_same_crash(const upstream_crash& one, const upstream_crash& other) {
    return one.pool == other.pool && one.incarnation == other.incarnation;
}

bool holds_crash(const crash_suspect& suspect, const upstream_crash& crash) {
    return std::ranges::any_of(suspect.crashes, [&](const upstream_crash& known) {
        return is_same_crash(known, crash) && (known.was_trial || !crash.was_trial);
    });
}

bool add_crash(crash_suspect& suspect, const upstream_crash& crash) {
    if (holds_crash(suspect, crash)) {
        return false;
    }
    const auto known = std::ranges::find_if(
        suspect.crashes, [&](const upstream_crash& one) { return is_same_crash(one, crash); });
    if (known != suspect.crashes.end()) {
        known->was_trial = true;
        return true;
    }
    if (suspect.crashes.size() >= max_crashes_per_key) {
        return false;
    }
    suspect.crashes.insert(std::ranges::lower_bound(suspect.crashes, crash), crash);
    return true;
}

bool clear_crashes(crash_suspect& suspect, const pool_name& pool) {
    return std::erase_if(suspect.crashes,
                         [&](const upstream_crash& crash) { return crash.pool == pool; }) != 0;
}

milliseconds lifetime_of(const crash_suspect& suspect) {
    return is_quarantined(suspect) ? quarantine_lifetime : suspect_lifetime;
}

const crash_suspect* find_quarantined(const crash_suspects& suspects,
                                      std::span<const std::string> keys) {
    for (const std::string& key : keys) {
        const auto found = suspects.find(key);
        if (found != suspects.end() && is_quarantined(found->second)) {
            return &found->second;
        }
    }
    return nullptr;
}

void record_answered(answer_history& history, const pool_name& pool,
                     std::span<const std::string> keys, instant now) {
    purge(history, now);
    for (const std::string& key : keys) {
        const std::pair answered{pool, key};
        const auto known = history.answered_at.find(answered);
        if (known != history.answered_at.end()) {
            known->second = now;
        } else if (history.answered_at.size() < max_answers) {
            history.answered_at.emplace(answered, now);
        }
    }
}

std::vector<std::string> unproven_keys(const answer_history& history, const pool_name& pool,
                                       std::span<const std::string> keys, instant now) {
    std::vector<std::string> unproven;
    std::ranges::copy_if(keys, std::back_inserter(unproven), [&](const std::string& key) {
        return !is_answered(history, pool, key, now);
    });
    return unproven;
}

std::vector<disproved_suspect> disproved_suspects(const crash_suspects& suspects,
                                                  const answer_history& history, instant now) {
    std::vector<disproved_suspect> disproved;
    for (const auto& [key, suspect] : suspects) {
        std::set<pool_name> pools;
        for (const upstream_crash& crash : suspect.crashes) {
            // An answer from before the crash counts too: what crashes upstreams
            // crashes each one.
            if (pools.insert(crash.pool).second && is_answered(history, crash.pool, key, now)) {
                disproved.push_back({key, crash.pool});
            }
        }
    }
    return disproved;
}

}  // namespace cyclamenmount
