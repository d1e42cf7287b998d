//! Requests that crash what runs them: at most two upstreams fall to one fingerprint, fleet-wide.
//!
//! A fingerprint is tried in each pool for itself: that its first stage ran through says nothing
//! about what it does to the upstreams of another. Its home lets attempts start only while those
//! that run and the upstreams that have fallen to it are fewer than two, until one has run through.
//! An instance without a reachable home starts unsuspected requests on its own; suspects wait.
#pragma once

#include "coordination/documents/documents.h"

namespace cyclamenmount {

namespace quarantine_limits {

inline constexpr std::size_t deaths = 2;           //!< upstreams that may fall to one fingerprint
inline constexpr std::size_t suspects = 4096;      //!< known here
inline constexpr std::size_t books = 8192;         //!< fingerprints at their home; least recent go
inline constexpr std::size_t attempts = 16384;     //!< running or wanted here
inline constexpr std::size_t incarnations = 8192;  //!< upstreams heard of

}  // namespace quarantine_limits

//! An attempt of one fingerprint that its home has let start.
struct trial {
    instance_id holder;
    instant ends_at;
};

//! The home's book for one fingerprint.
struct trial_book {
    tenure held;
    std::map<attempt_id, trial> running;
    bool ran_through{false};  //!< and no upstream has fallen to it since
    instant complete_from;    //!< no attempt that this book misses lasts longer
    instant used_at;
};

//! An attempt of this instance, from the question to its end.
struct tried_attempt {
    fingerprint body;  //!< in its pool, see `tried_in`
    bool trial{false};
    instant ends_at;
};

//! Owned by the quarantine reducer; others use the functions below.
struct quarantine_state {
    std::map<fingerprint, suspect> suspects;
    std::uint64_t digest{0};  //!< of the suspects
    std::map<fingerprint, trial_book> books;
    std::map<instant, fingerprint> books_by_use;
    std::map<attempt_id, tried_attempt> running_here;
    std::map<upstream_id, std::string> incarnations;  //!< as last reported
    generation_number generation{0};  //!< of the roster for which the books were last renewed
    instant roster_since;             //!< when that generation was first seen
    instant forgotten_until;          //!< attempts of dropped books end before this
    instant last_use;
    instant next_purge;
};

quarantine_state make_quarantine();

void reduce_quarantine(quarantine_state& state, const environment& env, const roster_state& roster,
                       const event& happened, instant now, effects& out);

//! The name under which a fingerprint is tried in a pool; names the `body` of trial messages.
fingerprint tried_in(const fingerprint& body, const pool_name& pool);

//! True if an upstream of any pool has fallen to it, and it hasn't run through in that pool since.
bool is_suspect(const quarantine_state& state, const fingerprint& body);

//! True if two upstreams have fallen to it.
bool is_quarantined(const quarantine_state& state, const fingerprint& body);

//! Home of what `tried_in` made; none before a roster is known.
std::optional<member> trial_home(const roster_state& roster, const fingerprint& tried);

//! Asks the home of the fingerprint for one more attempt; the reply comes as a `trial_reply`.
//! False if there is no home.
bool ask_trial(const roster_state& roster, trial_request request, effects& out);

//! Order-independent digest of the suspects held; 0 if none.
std::uint64_t quarantine_digest(const quarantine_state& state);

}  // namespace cyclamenmount
