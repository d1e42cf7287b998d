#include "coordination/documents/internal/reducer_steps.h"
#include "coordination/documents/internal/stored_text.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Key whose owner records emergency orders in the store.
constexpr const char* emergency_key = "emergency";

//! Time limit of an edit; after it the outcome is reported as `unknown`.
constexpr milliseconds edit_timeout{4000};

//! After this time an edit that takes something out of service becomes an emergency order.
constexpr milliseconds emergency_timeout{600};

//! Delay before the next store call after a failed one.
constexpr milliseconds edit_retry_delay{150};

//! Minimum interval between two attempts to record emergency orders.
constexpr milliseconds recording_interval{500};

//! Maximum number of store writes of one edit; a write fails if it conflicts with another edit.
constexpr int max_write_attempts = 12;

//! A store reply counts as lost this long after the store timeout.
constexpr milliseconds store_reply_margin{500};

document current_or_empty(const documents_state& state, const std::string& name) {
    const auto found = state.documents_in_force.find(name);
    return found == state.documents_in_force.end() ? document{name, 0, {}, {}} : found->second;
}

//! Reports the result of an edit to its requester, except for a recording, which has no requester.
void report_outcome(documents_context& context, const pending_edit& edit,
                    edit_decided::verdict outcome, object_version version,
                    std::vector<change_record> changes = {}) {
    if (edit.kind == edit_kind::recording) {
        return;
    }
    context.out.emplace_back(edit_decided{edit.number, outcome, version, std::move(changes)});
}

//! Adds the edit to the pending edits under a new store call number, and returns the number.
std::uint64_t add_pending_edit(documents_context& context, pending_edit edit, edit_step step) {
    const std::uint64_t number = context.state.next_ticket++;
    edit.step = step;
    edit.step_since = context.now;
    context.state.edits.emplace(number, std::move(edit));
    return number;
}

void start_read(documents_context& context, pending_edit edit) {
    const std::string name = edit.name;
    const std::uint64_t number = add_pending_edit(context, std::move(edit), edit_step::reading);
    context.out.emplace_back(store_read{{component::documents, number}, name});
}

void start_pause(documents_context& context, pending_edit edit) {
    add_pending_edit(context, std::move(edit), edit_step::pausing);
}

std::string describe(const emergency_order& order) {
    return order.zone.empty() ? "took upstream " + order.upstream.value + " out"
                              : "took zone " + order.zone.value + " out";
}

//! Adds a name to those out of service or removes it: the zone, or the upstream if the zone is
//! empty.
void set_out_of_service(availability& names, const zone_name& zone, const upstream_id& upstream,
                        bool out) {
    if (!zone.empty()) {
        out ? (void)names.zones.insert(zone) : (void)names.zones.erase(zone);
    } else {
        out ? (void)names.upstreams.insert(upstream) : (void)names.upstreams.erase(upstream);
    }
}

//! The availability document with all unrecorded emergency orders and then the edit applied.
document with_availability_edit(const documents_state& state, document base,
                                const pending_edit& edit) {
    const object_version base_version = base.version;
    availability names = parse_availability(base.text);
    for (const auto& [operation, order] : state.emergency) {
        set_out_of_service(names, order.zone, order.upstream, true);
        prepend_change(
            base, {operation, order.who, order.reason, describe(order), order.at_ms, base_version});
    }
    if (edit.kind == edit_kind::availability) {
        set_out_of_service(names, edit.zone, edit.upstream, edit.out);
        change_record change = edit.change;
        change.base = base_version;
        prepend_change(base, std::move(change));
    }
    base.text = availability_text(names);
    return base;
}

//! The list document with the text of the edit.
document with_list_edit(document base, const pending_edit& edit) {
    base.text = edit.text;
    change_record change = edit.change;
    change.base = base.version;
    prepend_change(base, std::move(change));
    return base;
}

//! Applies the edit to `base` and writes the result, on condition that the store still holds the
//! version of `base`.
void start_write(documents_context& context, pending_edit edit, document base) {
    const object_version expected = base.version;
    edit.written = edit.kind == edit_kind::list
                       ? with_list_edit(std::move(base), edit)
                       : with_availability_edit(context.state, std::move(base), edit);
    ++edit.write_attempts;
    const std::string name = edit.name;
    std::string value = stored_value(edit.written);
    const std::uint64_t number = add_pending_edit(context, std::move(edit), edit_step::writing);
    context.out.emplace_back(
        store_write{{component::documents, number}, name, std::move(value), expected});
}

//! Applies the edit as an emergency order here and on all members.
void issue_emergency_order(documents_context& context, const pending_edit& edit) {
    const emergency_order order{edit.change.operation, edit.zone,          edit.upstream,
                                edit.change.who,       edit.change.reason, edit.change.at_ms};
    if (!context.state.recorded.contains(order.operation)) {
        context.state.emergency.emplace(order.operation, order);
    }
    send_to_members(context, emergency_notice{emergency_orders(context.state)});
    log_documents(context, severity::warning,
                  "The store is silent past the time limit of the edit; " + describe(order) +
                      " by emergency order.");
    report_outcome(context, edit, edit_decided::verdict::emergency,
                   version_of(context.state, document_names::availability));
}

//! Ends an edit that ran out of time or write attempts.
void abandon_edit(documents_context& context, const pending_edit& edit) {
    if (edit.kind == edit_kind::availability && edit.out) {
        issue_emergency_order(context, edit);
        return;
    }
    report_outcome(context, edit, edit_decided::verdict::unknown, 0);
}

bool is_overdue(const pending_edit& edit, instant now) {
    const bool takes_out = edit.kind == edit_kind::availability && edit.out;
    return now - edit.since >= (takes_out ? emergency_timeout : edit_timeout);
}

//! Handles the reply to a write. A failed write may have taken effect unless the store refused it,
//! so the document is read again.
void handle_written(documents_context& context, pending_edit edit, const store_replied& reply) {
    if (reply.status != store_status::ok) {
        const bool may_have_been_applied = reply.status != store_status::refused;
        may_have_been_applied ? start_read(context, std::move(edit))
                              : start_pause(context, std::move(edit));
        return;
    }
    edit.written.version = reply.object.version;
    if (accept_document(context, edit.written)) {
        send_to_members(context, document_notice{edit.written});
    }
    report_outcome(context, edit, edit_decided::verdict::accepted, edit.written.version);
}

//! Reports the edit's outcome if the document in the store shows that the edit was applied or
//! conflicts; otherwise writes the edit.
void continue_after_read(documents_context& context, pending_edit edit, const document& present) {
    const object_version applied_version = version_of_operation(present, edit.change.operation);
    if (applied_version > 0 && edit.kind != edit_kind::recording) {
        report_outcome(context, edit, edit_decided::verdict::accepted, applied_version);
        return;
    }
    if (edit.kind == edit_kind::list && present.version != edit.change.base) {
        report_outcome(context, edit, edit_decided::verdict::conflict, present.version,
                       changes_since(present, edit.change.base));
        return;
    }
    if (edit.kind == edit_kind::recording && context.state.emergency.empty()) {
        return;
    }
    if (edit.write_attempts >= max_write_attempts) {
        abandon_edit(context, edit);
        return;
    }
    start_write(context, std::move(edit), present);
}

void handle_read(documents_context& context, pending_edit edit, const store_replied& reply) {
    document present{edit.name, 0, {}, {}};
    if (reply.status == store_status::ok) {
        const auto parsed = parse_stored(reply.object);
        if (!parsed) {
            log_documents(context, severity::error,
                          edit.name + " in the store is malformed and can't be read.");
            start_pause(context, std::move(edit));
            return;
        }
        present = *parsed;
        if (accept_document(context, present)) {
            send_to_members(context, document_notice{present});
        }
    } else if (reply.status != store_status::missing) {
        start_pause(context, std::move(edit));
        return;
    }
    continue_after_read(context, std::move(edit), present);
}

//! Removes the pending edit with this store call number and returns it.
pending_edit extract_edit(documents_state& state, std::uint64_t number) {
    auto node = state.edits.extract(number);
    return std::move(node.mapped());
}

//! Ends the edit if it is overdue. Otherwise reads the document again after a pause or a lost
//! reply.
void advance_edit(documents_context& context, std::uint64_t number) {
    const pending_edit& edit = context.state.edits.at(number);
    const milliseconds waited = context.now - edit.step_since;
    if (is_overdue(edit, context.now)) {
        abandon_edit(context, extract_edit(context.state, number));
        return;
    }
    const bool is_pause_over = edit.step == edit_step::pausing && waited >= edit_retry_delay;
    const bool is_reply_overdue = edit.step != edit_step::pausing &&
                                  waited >= context.env.timing.store_timeout + store_reply_margin;
    if (is_pause_over || is_reply_overdue) {
        start_read(context, extract_edit(context.state, number));
    }
}

bool is_recording(const documents_state& state) {
    return std::any_of(state.edits.begin(), state.edits.end(),
                       [](const auto& entry) { return entry.second.kind == edit_kind::recording; });
}

//! Starts recording the emergency orders. Only the owner of `emergency_key` records, to limit the
//! load on the store; concurrent recordings would be safe too, since the write is conditional.
void record_orders(documents_context& context) {
    documents_state& state = context.state;
    if (state.emergency.empty() || context.now < state.next_recording || is_recording(state)) {
        return;
    }
    const auto owner = owner_of(context.roster, emergency_key);
    if (owner && owner->id != context.env.self.id) {
        return;
    }
    state.next_recording = context.now + recording_interval;
    pending_edit edit;
    edit.kind = edit_kind::recording;
    edit.name = document_names::availability;
    edit.since = context.now;
    start_read(context, std::move(edit));
}

}  // namespace

void start_list_edit(documents_context& context, const list_edit_wanted& wanted) {
    pending_edit edit;
    edit.number = wanted.number;
    edit.name = wanted.document;
    edit.text = wanted.text;
    edit.change = wanted.change;
    edit.since = context.now;
    const document current = current_or_empty(context.state, edit.name);
    if (current.version > edit.change.base) {
        report_outcome(context, edit, edit_decided::verdict::conflict, current.version,
                       changes_since(current, edit.change.base));
        return;
    }
    if (current.version == edit.change.base) {
        start_write(context, std::move(edit), current);
        return;
    }
    start_read(context, std::move(edit));
}

void start_availability_edit(documents_context& context, const availability_wanted& wanted) {
    pending_edit edit;
    edit.kind = edit_kind::availability;
    edit.number = wanted.number;
    edit.name = document_names::availability;
    edit.zone = wanted.zone;
    edit.upstream = wanted.upstream;
    edit.out = wanted.out;
    edit.change = wanted.change;
    edit.since = context.now;
    start_write(context, std::move(edit),
                current_or_empty(context.state, document_names::availability));
}

void handle_store_reply(documents_context& context, const store_replied& reply) {
    if (!context.state.edits.contains(reply.number.number)) {
        return;
    }
    pending_edit edit = extract_edit(context.state, reply.number.number);
    if (edit.step == edit_step::writing) {
        handle_written(context, std::move(edit), reply);
    } else {
        handle_read(context, std::move(edit), reply);
    }
}

void advance_edits(documents_context& context) {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, edit] : context.state.edits) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        advance_edit(context, number);
    }
    record_orders(context);
}

}  // namespace cyclamenmount::detail
