//! Quarantine of requests that crash upstreams.
//!
//! An upstream that begins to run such a request crashes. What crashes it is known by a key: a part
//! of the prompt that other requests share, whatever else they hold, or the digest of the whole
//! request, which comes again with the same caller, path and body. A crash ends all requests of the
//! upstream, and the keys of each of them become suspects. A key is quarantined once several
//! upstreams crashed on it, and cleared by an upstream that answers a request with it.
//!
//! Sound keys that come with a deadly one are quarantined beside it. As no request with them
//! reaches an upstream any more, a few are let through as trials; see `trials.h`.
//!
//! Pure functions. Suspects are shared by all instances through the store.
#pragma once

#include "types/ids.h"
#include "types/prompt.h"
#include "types/time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenmount {

//! What the digest of a request covers. Ids and times of one attempt aren't part of it.
struct request_content {
    std::string_view caller;  //!< workspace, or empty for a public route
    std::string_view host;
    std::string_view target;  //!< path and query
    std::string_view body;
};

//! Key of a whole request; a digest that callers can't bring to collide.
std::string request_key(const request_content& content);

//! True if the key stands for a whole request, not for a part of a prompt.
bool is_request_key(std::string_view key);

//! Ids of the parts that other requests may share: all but the last one, without duplicates, in
//! their order.
std::vector<std::string> shared_part_ids(std::span<const prompt_part> prompt);

//! Crash of an upstream that ran a request with the key.
struct upstream_crash {
    pool_name pool;
    std::string incarnation;  //!< UPSTREAM@STARTED, so that each crash counts once
    bool was_trial{false};    //!< the request was a trial of the key

    auto operator<=>(const upstream_crash&) const = default;
};

//! True if both are the crash of the same incarnation.
bool is_same_crash(const upstream_crash& one, const upstream_crash& other);

//! A key that was in progress when upstreams crashed.
struct crash_suspect {
    std::string key;
    std::vector<upstream_crash> crashes;  //!< sorted, without duplicates

    bool operator==(const crash_suspect&) const = default;
};

//! Suspects by key.
using crash_suspects = std::map<std::string, crash_suspect>;

//! True if enough upstreams crashed to keep the key from all upstreams.
bool is_quarantined(const crash_suspect& suspect);

//! True if the suspect has the crash, and as that of a trial if `crash` is one.
bool holds_crash(const crash_suspect& suspect, const upstream_crash& crash);

//! Adds a crash, or marks a known one as that of a trial; false if the suspect holds it already or
//! its list of crashes is full.
bool add_crash(crash_suspect& suspect, const upstream_crash& crash);

//! Removes the crashes in a pool whose upstreams have answered the key; false if there are none.
bool clear_crashes(crash_suspect& suspect, const pool_name& pool);

//! Time after the last change of a suspect at which it is dropped. A quarantined key is then tried
//! again.
milliseconds lifetime_of(const crash_suspect& suspect);

//! The first quarantined one of a request's keys; null if there is none.
const crash_suspect* find_quarantined(const crash_suspects& suspects,
                                      std::span<const std::string> keys);

//! Keys that upstreams have answered lately, as seen by one instance.
struct answer_history {
    //! Time of the last complete response by pool and key.
    std::map<std::pair<pool_name, std::string>, instant> answered_at;
    instant next_purge{};  //!< time of the next removal of old entries
};

//! Records a complete response of an upstream of the pool.
void record_answered(answer_history& history, const pool_name& pool,
                     std::span<const std::string> keys, instant now);

//! The keys that no upstream of the pool has answered lately, in their order.
std::vector<std::string> unproven_keys(const answer_history& history, const pool_name& pool,
                                       std::span<const std::string> keys, instant now);

//! A suspect and a pool whose upstreams have answered it lately.
struct disproved_suspect {
    std::string key;
    pool_name pool;

    bool operator==(const disproved_suspect&) const = default;
};

//! Suspects whose crashes this instance's own responses disprove.
std::vector<disproved_suspect> disproved_suspects(const crash_suspects& suspects,
                                                  const answer_history& history, instant now);

}  // namespace cyclamenmount
