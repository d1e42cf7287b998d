//! Trials of quarantined keys: requests that reach an upstream although they hold one.
//!
//! Load pattern: requests with a deadly part crash several upstreams, and all requests of a kind
//! share another part with them, or ran beside them. An answer clears the sound part, a crash
//! confirms the deadly one. A trial that fails costs an upstream, so there is one at a time: the
//! instances take turns, and the turns begin later the stronger the evidence is and the more trials
//! have failed.
//!
//! Pure functions over the state of one instance.
#pragma once

#include "crash_quarantine/crash_quarantine.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace cyclamenmount {

//! How strongly the crashes of a key speak against a request that holds it.
enum class crash_evidence {
    ambiguous,   //!< each crash had a suspect that the request doesn't hold, one of them several
    weak,        //!< each crash had such a suspect, but none had several of the crashes
    conclusive,  //!< a crash had no suspect but those that the request holds
};

//! Weighs the crashes of a quarantined key of a request with `keys`. Whole requests that were in
//! progress at one crash alone explain nothing: each crash has some.
crash_evidence weigh_evidence(const crash_suspects& suspects, const crash_suspect& quarantined,
                              std::span<const std::string> keys);

//! Place of an instance in the order in which the instances try keys. It is the same for all keys,
//! so that a request that holds several of them has a turn too.
struct trial_turn {
    std::size_t rank{0};
    std::size_t instances{1};
};

//! What one instance knows of the trials of a key.
struct trial_record {
    std::size_t crashes{0};  //!< of the key, when it was last seen
    instant changed_at{};    //!< when this number last changed
    bool is_running{false};  //!< a request of this instance tries the key
    instant ended_at{};      //!< end of this instance's last trial
};

//! Trials by key, of one instance.
using trial_records = std::map<std::string, trial_record>;

//! Follows the suspects of a new view. Forgets keys that are no longer quarantined.
void follow_suspects(trial_records& records, const crash_suspects& suspects, instant now);

//! A request that holds quarantined keys.
struct trial_candidate {
    std::span<const std::string> keys;
    bool is_repeatable{false};  //!< others wait longer, so that it goes first
};

//! What a request's quarantined keys ask for.
struct trial_decision {
    std::vector<std::string> quarantined;  //!< the request's quarantined keys
    std::string decisive;  //!< the one whose trials begin last; empty if there is none
    milliseconds wait{0};  //!< time until the request may be a trial of all of them
};

//! Decides on a request of an instance with the turn.
trial_decision decide_trial(const trial_records& records, const crash_suspects& suspects,
                            const trial_candidate& candidate, trial_turn turn, instant now);

//! Starts and ends a trial of the keys.
void begin_trial(trial_records& records, std::span<const std::string> keys);
void end_trial(trial_records& records, std::span<const std::string> keys, instant now);

//! True while the key is tried, and until it is known how that ended.
bool is_on_trial(const trial_records& records, const std::string& key, instant now);

}  // namespace cyclamenmount
