#include "coordination/documents/internal/parts.h"
#include "coordination/documents/internal/stored_text.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

constexpr const char* emergency_key = "emergency";

//! An edit without a decision by then is `unknown`.
constexpr milliseconds edit_limit{4000};

//! Taking out becomes an emergency order by then.
constexpr milliseconds emergency_after{1000};

//! After a call that failed.
constexpr milliseconds edit_pause{150};

//! Between two trials to record emergency orders.
constexpr milliseconds recording_pause{500};

//! Writes of an availability edit that may lose against others.
constexpr int most_tries = 12;

//! Added to the store's time limit before an answer counts as missing.
constexpr milliseconds call_margin{500};

document held_or_empty(const documents_state& state, const std::string& name) {
    const auto found = state.held.find(name);
    return found == state.held.end() ? document{name, 0, {}, {}} : found->second;
}

void decide(documents_context& context, const pending_edit& edit, edit_decided::verdict outcome,
            object_version version, std::vector<change_record> changes = {}) {
    if (edit.kind == edit_kind::recording) {
        return;
    }
    context.out.emplace_back(edit_decided{edit.number, outcome, version, std::move(changes)});
}

std::uint64_t keep_edit(documents_context& context, pending_edit edit, edit_step step) {
    const std::uint64_t number = context.state.next_ticket++;
    edit.step = step;
    edit.step_since = context.now;
    context.state.edits.emplace(number, std::move(edit));
    return number;
}

void read_for(documents_context& context, pending_edit edit) {
    const std::string name = edit.name;
    const std::uint64_t number = keep_edit(context, std::move(edit), edit_step::reading);
    context.out.emplace_back(store_read{{part::documents, number}, name});
}

void pause_for(documents_context& context, pending_edit edit) {
    keep_edit(context, std::move(edit), edit_step::pausing);
}

std::string describe(const emergency_order& order) {
    return order.zone.empty() ? "took upstream " + order.upstream.value + " out"
                              : "took zone " + order.zone.value + " out";
}

void change_names(availability& names, const zone_name& zone, const upstream_id& upstream,
                  bool out) {
    if (!zone.empty()) {
        out ? (void)names.zones.insert(zone) : (void)names.zones.erase(zone);
    } else {
        out ? (void)names.upstreams.insert(upstream) : (void)names.upstreams.erase(upstream);
    }
}

//! The availability document with every emergency order held, then the edit, put in.
document with_availability(const documents_state& state, document base, const pending_edit& edit) {
    const object_version base_version = base.version;
    availability names = parse_availability(base.text);
    for (const auto& [operation, order] : state.emergency) {
        change_names(names, order.zone, order.upstream, true);
        prepend_change(
            base, {operation, order.who, order.reason, describe(order), order.at_ms, base_version});
    }
    if (edit.kind == edit_kind::availability) {
        change_names(names, edit.zone, edit.upstream, edit.out);
        change_record change = edit.change;
        change.base = base_version;
        prepend_change(base, std::move(change));
    }
    base.text = availability_text(names);
    return base;
}

document with_text(document base, const pending_edit& edit) {
    base.text = edit.text;
    change_record change = edit.change;
    change.base = base.version;
    prepend_change(base, std::move(change));
    return base;
}

//! Writes the edit on top of `base`, the newest document known.
void write_for(documents_context& context, pending_edit edit, document base) {
    const object_version expected = base.version;
    edit.written = edit.kind == edit_kind::list
                       ? with_text(std::move(base), edit)
                       : with_availability(context.state, std::move(base), edit);
    ++edit.tries;
    const std::string name = edit.name;
    std::string value = stored_value(edit.written);
    const std::uint64_t number = keep_edit(context, std::move(edit), edit_step::writing);
    context.out.emplace_back(
        store_write{{part::documents, number}, name, std::move(value), expected});
}

void order_emergency(documents_context& context, const pending_edit& edit) {
    const emergency_order order{edit.change.operation, edit.zone,          edit.upstream,
                                edit.change.who,       edit.change.reason, edit.change.at_ms};
    if (!context.state.recorded.contains(order.operation)) {
        context.state.emergency.emplace(order.operation, order);
    }
    send_to_members(context, emergency_notice{held_orders(context.state)});
    log_documents(context, severity::warning,
                  "The store is silent; " + describe(order) + " by emergency order.");
    decide(context, edit, edit_decided::verdict::emergency,
           version_of(context.state, document_names::availability));
}

//! The time or the number of tries is over.
void give_up(documents_context& context, const pending_edit& edit) {
    if (edit.kind == edit_kind::availability && edit.out) {
        order_emergency(context, edit);
        return;
    }
    decide(context, edit, edit_decided::verdict::unknown, 0);
}

bool is_overdue(const pending_edit& edit, instant now) {
    const bool takes_out = edit.kind == edit_kind::availability && edit.out;
    return now - edit.since >= (takes_out ? emergency_after : edit_limit);
}

void handle_written(documents_context& context, pending_edit edit, const store_replied& reply) {
    if (reply.status != store_status::ok) {
        const bool may_be_there = reply.status != store_status::refused;
        may_be_there ? read_for(context, std::move(edit)) : pause_for(context, std::move(edit));
        return;
    }
    edit.written.version = reply.object.version;
    if (accept_document(context, edit.written)) {
        send_to_members(context, document_notice{edit.written});
    }
    decide(context, edit, edit_decided::verdict::accepted, edit.written.version);
}

void continue_after_read(documents_context& context, pending_edit edit, const document& present) {
    const object_version done = version_of_operation(present, edit.change.operation);
    if (done > 0 && edit.kind != edit_kind::recording) {
        decide(context, edit, edit_decided::verdict::accepted, done);
        return;
    }
    if (edit.kind == edit_kind::list && present.version != edit.change.base) {
        decide(context, edit, edit_decided::verdict::conflict, present.version,
               changes_since(present, edit.change.base));
        return;
    }
    if (edit.kind == edit_kind::recording && context.state.emergency.empty()) {
        return;
    }
    if (edit.tries >= most_tries) {
        give_up(context, edit);
        return;
    }
    write_for(context, std::move(edit), present);
}

void handle_read(documents_context& context, pending_edit edit, const store_replied& reply) {
    document present{edit.name, 0, {}, {}};
    if (reply.status == store_status::ok) {
        const auto parsed = parse_stored(reply.object);
        if (!parsed) {
            log_documents(context, severity::error, edit.name + " in the store can't be read.");
            pause_for(context, std::move(edit));
            return;
        }
        present = *parsed;
        if (accept_document(context, present)) {
            send_to_members(context, document_notice{present});
        }
    } else if (reply.status != store_status::missing) {
        pause_for(context, std::move(edit));
        return;
    }
    continue_after_read(context, std::move(edit), present);
}

pending_edit take_edit(documents_state& state, std::uint64_t number) {
    auto node = state.edits.extract(number);
    return std::move(node.mapped());
}

void advance_edit(documents_context& context, std::uint64_t number) {
    const pending_edit& edit = context.state.edits.at(number);
    const milliseconds waited = context.now - edit.step_since;
    if (is_overdue(edit, context.now)) {
        give_up(context, take_edit(context.state, number));
        return;
    }
    const bool paused_enough = edit.step == edit_step::pausing && waited >= edit_pause;
    const bool unanswered =
        edit.step != edit_step::pausing && waited >= context.env.timing.store_timeout + call_margin;
    if (paused_enough || unanswered) {
        read_for(context, take_edit(context.state, number));
    }
}

bool is_recording(const documents_state& state) {
    return std::any_of(state.edits.begin(), state.edits.end(),
                       [](const auto& entry) { return entry.second.kind == edit_kind::recording; });
}

//! Only the home tries, to spare the store; the conditional write makes it safe anyway.
void record_orders(documents_context& context) {
    documents_state& state = context.state;
    if (state.emergency.empty() || context.now < state.next_recording || is_recording(state)) {
        return;
    }
    const auto home = home_of(context.roster, emergency_key);
    if (home && home->id != context.env.self.id) {
        return;
    }
    state.next_recording = context.now + recording_pause;
    pending_edit edit;
    edit.kind = edit_kind::recording;
    edit.name = document_names::availability;
    edit.since = context.now;
    read_for(context, std::move(edit));
}

}  // namespace

void start_list_edit(documents_context& context, const list_edit_wanted& wanted) {
    pending_edit edit;
    edit.number = wanted.number;
    edit.name = wanted.document;
    edit.text = wanted.text;
    edit.change = wanted.change;
    edit.since = context.now;
    const document held = held_or_empty(context.state, edit.name);
    if (held.version > edit.change.base) {
        decide(context, edit, edit_decided::verdict::conflict, held.version,
               changes_since(held, edit.change.base));
        return;
    }
    if (held.version == edit.change.base) {
        write_for(context, std::move(edit), held);
        return;
    }
    read_for(context, std::move(edit));
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
    write_for(context, std::move(edit), held_or_empty(context.state, document_names::availability));
}

void handle_store_reply(documents_context& context, const store_replied& reply) {
    if (!context.state.edits.contains(reply.number.number)) {
        return;
    }
    pending_edit edit = take_edit(context.state, reply.number.number);
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
