//! Owner side of at-most-once calls: requests, returns and outcomes of one shard, and the store
//! calls for its journal.
#pragma once

#include "coordination/at_most_once/internal/journal.h"

namespace cyclamenmount::detail {

//! State and event context of the functions that work on one shard.
struct shard_context {
    at_most_once_state& state;
    const environment& env;
    const roster_state& roster;
    std::uint64_t index{0};  //!< shard number
    instant now;
    effects& out;
};

// --- owner.cpp -----------------------------------------------------------------------------------

//! Queues a permit request until the shard is active, or records an intent for a new key, or
//! replies with the state of a known key.
void handle_request(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_request& request);

//! Removes the intent of an unused permit and confirms the return once the removal is stored.
void handle_return(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const permit_return& value);

//! Records a call's outcome and confirms it to the runner once it is stored.
void handle_outcome(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_outcome& value);

//! Handles the requests that were queued until the shard became active, except expired ones.
void process_waiting_requests(journal_shard& shard, const shard_context& context);

//! Marks a batch as stored, and sends the replies that were deferred until this batch or an earlier
//! batch was stored.
void confirm_batch(journal_shard& shard, const shard_context& context, std::uint64_t batch);

//! Refuses all queued requests and all requests whose permits aren't stored yet. Removes the
//! intents of the latter; the next write removes an intent that has reached the store in the
//! meantime.
void refuse_unconfirmed(journal_shard& shard, const shard_context& context, permit_verdict verdict);

//! Sends a reply to a known member; drops it if the receiver isn't known.
void send_reply(const shard_context& context, const instance_id& to, permit_reply reply);

//! Removes entries older than the retention time.
void drop_expired(journal_shard& shard, instant now);

//! Present time on the journal's clock, which continues across changes of the owner.
milliseconds journal_time(const journal_shard& shard, instant now);

//! Permit id of a request: unique, and equal for retransmissions of the same request.
std::string permit_id(const instance_id& requester, ticket number);

// --- owner_store.cpp -----------------------------------------------------------------------------

//! Starts the shard's next store call if one is due and none is in flight.
void advance_shard(journal_shard& shard, const shard_context& context);

//! Handles the reply to the shard's store call in flight.
void handle_store_reply(journal_shard& shard, const shard_context& context,
                        const store_replied& reply);

//! Ends the ownership tenure. Refuses unconfirmed requests, so that the requesters can send them to
//! the next owner.
void reset_shard(journal_shard& shard, const shard_context& context);

}  // namespace cyclamenmount::detail
