//! Quarantine of prompt parts that crash engines.
//!
//! An engine that begins to answer a prompt with such a part crashes, whatever else the request
//! holds, so requests are identified by their parts. A crash ends all requests of the engine, and
//! the parts of each of them become suspects. A part is quarantined once several engines crashed on
//! it. A part that an engine has answered is cleared. The last part of a prompt belongs to one
//! request or session and is never a suspect.
//!
//! Pure functions. Suspects are shared by all instances through the store.
#pragma once

#include "types/ids.h"
#include "types/prompt.h"
#include "types/time.h"

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenmount {

//! Crash of an upstream that ran a request with the part.
struct part_crash {
    pool_name pool;
    std::string incarnation;  //!< UPSTREAM@STARTED, so that each crash counts once

    auto operator<=>(const part_crash&) const = default;
};

//! A prompt part that was in progress when upstreams crashed.
struct suspect_part {
    std::string part;                 //!< id of the prompt part
    std::vector<part_crash> crashes;  //!< sorted, without duplicates

    bool operator==(const suspect_part&) const = default;
};

//! Suspects by id of the prompt part.
using suspect_parts = std::map<std::string, suspect_part>;

//! True if enough upstreams crashed to keep the part from all upstreams.
bool is_quarantined(const suspect_part& suspect);

//! Adds a crash; false if it is known already or the list of crashes is full.
bool add_crash(suspect_part& suspect, const part_crash& crash);

//! Removes the crashes in a pool whose engines have answered the part; false if there are none.
bool clear_crashes(suspect_part& suspect, const pool_name& pool);

//! Time after the last change of a suspect at which it is dropped. A quarantined part is then tried
//! again.
milliseconds lifetime_of(const suspect_part& suspect);

//! The first quarantined part of the prompt; null if there is none.
const suspect_part* find_quarantined(const suspect_parts& suspects,
                                     std::span<const prompt_part> prompt);

//! Shared parts of prompts that engines have answered lately, as seen by one instance.
struct prompt_history {
    //! Time of the last complete response by pool and id of the part.
    std::map<std::pair<pool_name, std::string>, instant> answered_at;
    instant next_purge{};  //!< time of the next removal of old entries
};

//! Records a complete response of an engine of the pool.
void record_answered(prompt_history& history, const pool_name& pool,
                     std::span<const prompt_part> prompt, instant now);

//! Ids of the shared parts that no engine of the pool has answered lately, without duplicates.
std::vector<std::string> unproven_parts(const prompt_history& history, const pool_name& pool,
                                        std::span<const prompt_part> prompt, instant now);

//! A suspect part and a pool whose engines have answered it lately.
struct disproved_suspect {
    std::string part;
    pool_name pool;

    bool operator==(const disproved_suspect&) const = default;
};

//! Suspects whose crashes this instance's own responses disprove.
std::vector<disproved_suspect> disproved_suspects(const suspect_parts& suspects,
                                                  const prompt_history& history, instant now);

}  // namespace cyclamenmount
