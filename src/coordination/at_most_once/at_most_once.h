//! At-most-once execution of non-idempotent calls: an instance executes a call only with a permit,
//! which the owner of the idempotency key grants once it is recorded in a journal.
//!
//! The keys are spread over a fixed number of shards. A shard's journal is one object in the Object
//! API, and the object's version is the fencing token: a new owner first writes its own tenure id
//! into the object, and grants a permit only after a conditional update that contains the permit
//! has been confirmed. A write by another instance in between makes that update fail, so a paused
//! or replaced owner can't grant a permit that the next owner hasn't read.
#pragma once

#include "coordination/roster/roster.h"

#include <variant>

namespace cyclamenmount {

namespace at_most_once_limits {

//! Number of journals. Must be equal on all instances and must never change, since it determines
//! which journal holds a key.
inline constexpr std::uint64_t shard_count = 16;
//! Minimum time for which a key stays in the journal.
inline constexpr milliseconds key_retention{60 * 60 * 1000};
//! Maximum total size of the entries in one shard's journal object.
inline constexpr std::size_t max_journal_bytes = std::size_t{900} * 1024;
//! Maximum size of a stored response body; for a larger body the outcome is stored without the
//! body.
inline constexpr std::size_t max_stored_body_bytes = 2048;
//! Maximum number of requests that one shard queues until its journal is loaded.
inline constexpr std::size_t max_waiting_requests = 1024;
//! Maximum number of returns and outcomes that an instance keeps for retransmission.
inline constexpr std::size_t max_unconfirmed_notices = 4096;
inline constexpr milliseconds min_write_interval{100};  //!< minimum time between writes of a shard
//! Maximum time until a new outcome is written to the store. A write for an intent writes pending
//! outcomes too.
inline constexpr milliseconds max_outcome_delay{5000};
inline constexpr milliseconds store_retry_delay{500};  //!< pause after a failed store call
//! Pause before a request is sent again if the owner isn't known or holds no valid owner lease yet.
inline constexpr milliseconds no_owner_retry_delay{200};
//! Time after which an unanswered request or an unconfirmed return or outcome is sent again.
inline constexpr milliseconds resend_interval{1000};
//! Time after which an unconfirmed return or outcome is discarded.
inline constexpr milliseconds notice_lifetime{600'000};

}  // namespace at_most_once_limits

//! Key of a journal entry: idempotency keys are unique within a workspace.
struct journal_key {
    workspace_name workspace;
    idempotency_key key;

    auto operator<=>(const journal_key&) const = default;
};

//! Progress of a call, as recorded in the journal.
enum class call_phase {
    intent,   //!< a permit was or may have been granted; no outcome is recorded
    done,     //!< the call was executed and its outcome is recorded
    unknown,  //!< the call ended without a known outcome; it may have been executed
};

//! Journal record of one idempotency key.
struct journal_entry {
    std::string permit;  //!< id of the permit that may execute the call
    fingerprint body;    //!< fingerprint of the request, to detect a reused key
    instance_id runner;  //!< instance that requested the permit and executes the call
    call_phase phase{call_phase::intent};
    milliseconds recorded_at{0};    //!< time of the intent on the journal's clock
    milliseconds lasts_at_most{0};  //!< maximum time from the intent to the end of the call
    call_outcome outcome;           //!< valid in phase `done`
    //! Number of the first write that includes the entry as it is now; not stored.
    std::uint64_t batch{0};
    std::string line;  //!< serialized entry, with the newline
};

//! Reply that is sent once the store has confirmed a batch. Each write of the journal is a batch.
struct deferred_reply {
    std::uint64_t batch{0};  //!< batch that must be confirmed first
    instance_id to;
    journal_key key;
    permit_reply reply;
};

//! Permit request that is queued until its shard is active.
struct waiting_permit_request {
    instance_id from;
    permit_request request;
    instant expires_at;  //!< the requester stops waiting at this time
};

//! State of a shard's journal at its owner.
enum class journal_phase {
    idle,          //!< not loaded yet, or this instance isn't the owner
    loading,       //!< the object is being read
    claiming,      //!< loaded; the write of the new tenure id isn't confirmed yet
    active,        //!< the tenure id is stored; entries in memory may be newer than in the store
    reading_back,  //!< a write's result is unknown; the object is read again
};

//! The store call that a shard has in flight; there is at most one.
struct journal_call {
    store_ticket number;
    bool write{false};       //!< true for a write, false for a read
    std::uint64_t batch{0};  //!< number of the write; 0 for a read
    instant sent_at;         //!< time at which the call was issued
};

//! State of one shard at its owner.
struct journal_shard {
    journal_phase phase{journal_phase::idle};
    std::string tenure;         //!< unique id of the present ownership tenure
    object_version version{0};  //!< version expected by the next write; 0 if there is no object
    std::map<journal_key, journal_entry> entries;  //!< content of the next write
    std::size_t bytes{0};                          //!< total serialized size of `entries`
    std::uint64_t next_batch{1};                   //!< number of the next write
    std::uint64_t confirmed_batch{0};              //!< highest batch known to be stored
    bool intents_unwritten{false};                 //!< a write is due at once
    //! Time of the oldest outcome or removal that isn't part of a write yet.
    std::optional<instant> outcomes_unwritten_since;
    std::vector<deferred_reply> deferred;
    std::vector<waiting_permit_request> waiting;
    std::optional<journal_call> call;  //!< store call in flight
    instant next_call;                 //!< earliest time of the next store call
    //! Value of the journal's clock at `clock_at`. The clock is stored with the journal and
    //! continues at the next owner.
    milliseconds clock{0};
    instant clock_at;     //!< local time at which `clock` was set
    bool claimed{false};  //!< the tenure id is confirmed to be in the object
};

//! Permit request of this instance that has no decision yet.
struct pending_permit {
    permit_request request;   //!< request sent to the owner, with its own number
    ticket caller_number{0};  //!< request number of the traffic thread, repeated in the decision
    instant deadline;         //!< latest time for the owner's reply
    instant next_send;        //!< time of the next transmission
    std::optional<instance_id> sent_to;  //!< latest receiver; none if never sent
};

//! Return or outcome that the owner hasn't confirmed.
struct unconfirmed_notice {
    std::variant<permit_return, permit_outcome> value;
    instant since;      //!< creation time
    instant next_send;  //!< time of the next transmission
};

//! Modified only by the at-most-once reducer.
struct at_most_once_state {
    std::map<std::uint64_t, journal_shard> shards;  //!< shards that this instance owns, by index
    std::map<ticket, pending_permit> pending;       //!< undecided requests by `request.number`
    std::map<std::string, unconfirmed_notice> unconfirmed;  //!< notices by permit id
    ticket next_number{1};         //!< number of this instance's next permit request
    std::uint64_t next_ticket{1};  //!< ticket number of the next store call
    std::uint64_t next_tenure{1};  //!< suffix of the next tenure id; makes the id unique
};

at_most_once_state make_at_most_once();

//! Handles `permit_wanted`, `permit_returned` and `call_ended` events of this instance and the
//! permit messages of its peers; emits `permit_decided`.
void reduce_at_most_once(at_most_once_state& state, const environment& env,
                         const roster_state& roster, const event& happened, instant now,
                         effects& out);

//! True if the owners have confirmed all returns and outcomes of this instance; checked before the
//! process exits.
bool all_notices_confirmed(const at_most_once_state& state);

namespace detail {

//! Index of the shard that holds a key, below `at_most_once_limits::shard_count`.
std::uint64_t shard_of(const workspace_name& workspace, const idempotency_key& key);

//! Hash key from which the roster determines a shard's owner.
std::string shard_owner_key(std::uint64_t shard);

//! Name of the store object that holds a shard's journal.
std::string journal_object(const environment& env, std::uint64_t shard);

}  // namespace detail

}  // namespace cyclamenmount
