//! Non-idempotent calls at most once: permits given by a key's home after they are in the journal.
//!
//! The keys are spread over a fixed number of shards. A shard's journal is one object of the Object
//! API, and its version is the fence: a home first writes its own tenure into the object, and gives
//! a permit only after a conditional update that holds the permit has been confirmed. Whoever wrote
//! in between makes that update fail, so a paused or deposed home can't give a permit that the next
//! home hasn't read.
#pragma once

#include "coordination/roster/roster.h"

#include <variant>

namespace cyclamenmount {

namespace once_limits {

inline constexpr std::uint64_t shards = 16;  //!< the same for the whole fleet, for good
inline constexpr milliseconds retention{60 * 60 * 1000};  //!< a key is kept at least this long
inline constexpr std::size_t journal_bytes = std::size_t{900} * 1024;  //!< of one shard's object
inline constexpr std::size_t body_bytes = 2048;        //!< larger answers aren't kept
inline constexpr std::size_t waiting_requests = 1024;  //!< of one shard, while it loads
inline constexpr std::size_t unsettled_notices = 4096;
inline constexpr milliseconds write_interval{100};       //!< between two writes of one shard
inline constexpr milliseconds outcome_delay{5000};       //!< outcomes wait so long for an intent
inline constexpr milliseconds store_retry{500};          //!< after an unanswered store call
inline constexpr milliseconds send_retry{200};           //!< to a home that may not act yet
inline constexpr milliseconds notice_retry{1000};        //!< of a return or an outcome
inline constexpr milliseconds notice_lifetime{600'000};  //!< then it is given up

}  // namespace once_limits

struct journal_key {
    workspace_name workspace;
    idempotency_key key;

    auto operator<=>(const journal_key&) const = default;
};

enum class call_phase {
    intent,   //!< a permit was or may have been given
    done,     //!< it ran; the outcome is known
    unknown,  //!< it may have run
};

//! One key in a shard's journal.
struct journal_entry {
    std::string permit;
    fingerprint body;
    instance_id runner;
    call_phase phase{call_phase::intent};
    milliseconds recorded_at{0};    //!< on the journal's own clock
    milliseconds lasts_at_most{0};  //!< the runner may be at work for this long
    call_outcome outcome;
    std::uint64_t batch{0};  //!< first batch that holds it in this form; not written
    std::string line;        //!< as written
};

//! A reply that goes out once a batch is confirmed.
struct deferred_reply {
    std::uint64_t batch{0};
    instance_id to;
    journal_key key;
    permit_reply reply;
};

struct waiting_permit_request {
    instance_id from;
    permit_request request;
    instant expires_at;
};

enum class journal_phase {
    idle,      //!< not home, or not loaded yet
    loading,   //!< the object is being read
    claiming,  //!< loaded; the own tenure isn't written yet
    active,    //!< the own tenure is in the object; memory is ahead of the store
    doubting,  //!< a write may or may not have taken effect; the object is read back
};

//! The one store call of a shard in flight.
struct journal_call {
    store_ticket number;
    bool write{false};
    std::uint64_t batch{0};
    instant asked_at;
};

//! One shard at its home.
struct journal_shard {
    journal_phase phase{journal_phase::idle};
    std::string tenure;  //!< unique id of this home's time with the shard
    object_version version{0};
    std::map<journal_key, journal_entry> entries;  //!< as they are to be written
    std::size_t bytes{0};                          //!< of all entries as written
    std::uint64_t next_batch{1};
    std::uint64_t confirmed_batch{0};
    bool intents_unwritten{false};
    std::optional<instant> outcomes_unwritten_since;
    std::vector<deferred_reply> deferred;
    std::vector<waiting_permit_request> waiting;
    std::optional<journal_call> call;
    instant next_call;
    milliseconds clock{0};  //!< the journal's clock at `clock_at`
    instant clock_at;
    bool claimed{false};  //!< the own tenure has been seen in the object
};

//! A permit that this instance has asked for.
struct pending_permit {
    permit_request request;  //!< as sent, with a number of this part
    ticket asked{0};         //!< number of the traffic thread's question
    instant gives_up_at;
    instant next_send;
    std::optional<instance_id> sent_to;
};

//! A return or an outcome that the home hasn't confirmed.
struct unsettled_notice {
    std::variant<permit_return, permit_outcome> value;
    instant since;
    instant next_send;
};

//! Owned by the once reducer.
struct once_state {
    std::map<std::uint64_t, journal_shard> shards;      //!< those that this instance is home of
    std::map<ticket, pending_permit> pending;           //!< by own number
    std::map<std::string, unsettled_notice> unsettled;  //!< by permit
    ticket next_number{1};
    std::uint64_t next_ticket{1};
    std::uint64_t next_tenure{1};
};

once_state make_once();

//! Handles `permit_wanted`, `permit_returned`, `call_ended` of this instance and the permit
//! messages of its peers; decides with `permit_decided`.
void reduce_once(once_state& state, const environment& env, const roster_state& roster,
                 const event& happened, instant now, effects& out);

//! True if no return or outcome of this instance awaits confirmation; to be asked before it ends.
bool is_settled(const once_state& state);

namespace detail {

std::uint64_t shard_of(const workspace_name& workspace, const idempotency_key& key);

//! Key of a shard for `home_of`.
std::string shard_home_key(std::uint64_t shard);

//! Object of a shard's journal.
std::string journal_object(const environment& env, std::uint64_t shard);

}  // namespace detail

}  // namespace cyclamenmount
