#include "coordination/at_most_once/internal/owner.h"

namespace cyclamenmount::detail {

namespace {

store_ticket next_store_ticket(const shard_context& context) {
    return {component::once, context.state.next_ticket++};
}

void log(const shard_context& context, severity level, std::string text) {
    context.out.emplace_back(log_line{level, component::once, std::move(text)});
}

void start_read(journal_shard& shard, const shard_context& context) {
    const store_ticket number = next_store_ticket(context);
    shard.call = journal_call{number, false, 0, context.now};
    context.out.emplace_back(store_read{number, journal_object(context.env, context.index)});
}

//! Writes all entries of the shard as one batch. Later changes belong to the next batch.
void start_write(journal_shard& shard, const shard_context& context) {
    const store_ticket number = next_store_ticket(context);
    const std::uint64_t batch = shard.next_batch++;
    shard.call = journal_call{number, true, batch, context.now};
    shard.next_call = context.now + at_most_once_limits::min_write_interval;
    shard.intents_unwritten = false;
    shard.outcomes_unwritten_since.reset();
    const journal_header header{shard.tenure, batch, journal_time(shard, context.now)};
    context.out.emplace_back(store_write{number, journal_object(context.env, context.index),
                                         encode_journal(header, shard.entries), shard.version});
}

//! True if a write is due: at once for intents, since their permits are granted only after the
//! write, and after a delay for outcomes.
bool has_due_write(const journal_shard& shard, instant now) {
    return shard.intents_unwritten ||
           (shard.outcomes_unwritten_since &&
            now - *shard.outcomes_unwritten_since >= at_most_once_limits::max_outcome_delay);
}

bool holds_lease(const shard_context& context) {
    return may_act_as_owner(context.roster, context.env, shard_owner_key(context.index),
                            context.now);
}

void back_off(journal_shard& shard, instant now) {
    shard.next_call = now + at_most_once_limits::store_retry_delay;
}

void activate_shard(journal_shard& shard, const shard_context& context) {
    shard.phase = journal_phase::active;
    shard.claimed = true;
    process_waiting_requests(shard, context);
}

//! Loads the stored entries and clock into the shard, and starts a new ownership tenure.
void adopt_content(journal_shard& shard, const shard_context& context, journal_content content,
                   object_version version) {
    shard.phase = journal_phase::claiming;
    shard.claimed = false;
    shard.version = version;
    shard.entries = std::move(content.entries);
    shard.bytes = 0;
    for (const auto& item : shard.entries) {
        shard.bytes += item.second.line.size();
    }
    shard.clock = content.header.clock;
    shard.clock_at = context.now;
    shard.tenure = context.env.self.id.value + '/' + std::to_string(generation(context.roster)) +
                   '/' + std::to_string(context.state.next_tenure++);
    drop_expired(shard, context.now);
}

void handle_load_reply(journal_shard& shard, const shard_context& context,
                       const store_replied& reply) {
    shard.phase = journal_phase::idle;
    if (reply.status == store_status::missing) {
        adopt_content(shard, context, {}, 0);
        return;
    }
    if (reply.status != store_status::ok) {
        back_off(shard, context.now);
        refuse_unconfirmed(shard, context, permit_verdict::store_unavailable);
        return;
    }
    auto content = decode_journal(reply.object.value);
    if (!content) {
        log(context, severity::error,
            "Can't read the journal object: malformed content; calls of its shard are refused.");
        back_off(shard, context.now);
        refuse_unconfirmed(shard, context, permit_verdict::store_unavailable);
        return;
    }
    adopt_content(shard, context, std::move(*content), reply.object.version);
}

//! Resets the shard because the journal object was changed under another ownership tenure, after
//! this instance claimed the journal or before its claim was written.
void abandon_shard(journal_shard& shard, const shard_context& context) {
    if (shard.claimed) {
        log(context, severity::warning,
            "Another owner has taken over the journal; this instance is no longer its home.");
    }
    reset_shard(shard, context);
}

//! Determines from the object that was read whether the write with an unknown result took effect.
void handle_read_back_reply(journal_shard& shard, const shard_context& context,
                            const store_replied& reply) {
    const bool has_result =
        reply.status == store_status::ok || reply.status == store_status::missing;
    if (!has_result) {
        back_off(shard, context.now);
        refuse_unconfirmed(shard, context, permit_verdict::store_unavailable);
        return;
    }
    const object_version version =
        reply.status == store_status::ok ? reply.object.version : object_version{0};
    if (version == shard.version) {
        // The write hasn't taken effect, but it may still be in flight. The next write expects the
        // same version, so at most one of the two succeeds.
        shard.phase = shard.claimed ? journal_phase::active : journal_phase::claiming;
        shard.intents_unwritten = true;
        process_waiting_requests(shard, context);
        return;
    }
    const auto content = decode_journal(reply.object.value);
    if (!content || content->header.tenure != shard.tenure) {
        abandon_shard(shard, context);
        return;
    }
    shard.version = version;
    const bool is_newest = content->header.batch + 1 == shard.next_batch;
    shard.intents_unwritten = shard.intents_unwritten || !is_newest;
    confirm_batch(shard, context, content->header.batch);
    activate_shard(shard, context);
}

void handle_write_reply(journal_shard& shard, const shard_context& context,
                        const store_replied& reply, std::uint64_t batch) {
    switch (reply.status) {
    case store_status::ok:
        shard.version = reply.object.version;
        confirm_batch(shard, context, batch);
        activate_shard(shard, context);
        return;
    case store_status::refused:
        shard.intents_unwritten = true;
        back_off(shard, context.now);
        return;
    case store_status::missing:
    case store_status::conflict:
    case store_status::unknown:
        shard.phase = journal_phase::reading_back;
        return;
    }
}

}  // namespace

void reset_shard(journal_shard& shard, const shard_context& context) {
    refuse_unconfirmed(shard, context, permit_verdict::no_home);
    const instant next_call = shard.next_call;
    shard = {};
    shard.next_call = next_call;
}

void advance_shard(journal_shard& shard, const shard_context& context) {
    if (shard.call) {
        return;
    }
    if (context.now < shard.next_call) {
        return;
    }
    switch (shard.phase) {
    case journal_phase::idle:
        if (holds_lease(context)) {
            shard.phase = journal_phase::loading;
            start_read(shard, context);
        }
        return;
    case journal_phase::claiming:
        if (holds_lease(context)) {
            start_write(shard, context);
        }
        return;
    case journal_phase::active:
        if (has_due_write(shard, context.now)) {
            start_write(shard, context);
        }
        return;
    case journal_phase::reading_back:
        start_read(shard, context);
        return;
    case journal_phase::loading:
        return;
    }
}

void handle_store_reply(journal_shard& shard, const shard_context& context,
                        const store_replied& reply) {
    const journal_call call = *shard.call;
    shard.call.reset();
    if (call.write) {
        handle_write_reply(shard, context, reply, call.batch);
    } else if (shard.phase == journal_phase::loading) {
        handle_load_reply(shard, context, reply);
    } else if (shard.phase == journal_phase::reading_back) {
        handle_read_back_reply(shard, context, reply);
    }
    advance_shard(shard, context);
}

}  // namespace cyclamenmount::detail
