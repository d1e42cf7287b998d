//! The home's side: requests, returns and outcomes of one shard, and its store calls.
#pragma once

#include "coordination/once/internal/journal.h"

namespace cyclamenmount::detail {

//! What the functions on one shard read and write besides the shard.
struct shard_context {
    once_state& state;
    const environment& env;
    const roster_state& roster;
    std::uint64_t index{0};
    instant now;
    effects& out;
};

// --- home.cpp -----------------------------------------------------------------------------------

void handle_request(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_request& request);

void handle_return(journal_shard& shard, const shard_context& context, const instance_id& from,
                   const permit_return& value);

void handle_outcome(journal_shard& shard, const shard_context& context, const instance_id& from,
                    const permit_outcome& value);

//! Answers what had to wait until the shard was active.
void answer_waiting(journal_shard& shard, const shard_context& context);

//! Sends the replies that waited for this batch or an earlier one.
void confirm_batch(journal_shard& shard, const shard_context& context, std::uint64_t batch);

//! Refuses every request without a permit and takes its intent back; the next write voids it.
void refuse_unconfirmed(journal_shard& shard, const shard_context& context, permit_verdict verdict);

void reply_to(const shard_context& context, const instance_id& to, permit_reply reply);

//! Drops entries past their retention.
void drop_expired(journal_shard& shard, instant now);

milliseconds journal_time(const journal_shard& shard, instant now);

std::string permit_id(const instance_id& asker, ticket number);

// --- home_store.cpp -----------------------------------------------------------------------------

//! Starts the shard's next store call if one is due.
void advance_shard(journal_shard& shard, const shard_context& context);

void handle_store_reply(journal_shard& shard, const shard_context& context,
                        const store_replied& reply);

//! Ends the tenure: unconfirmed requests may be asked again of the next home.
void reset_shard(journal_shard& shard, const shard_context& context);

}  // namespace cyclamenmount::detail
