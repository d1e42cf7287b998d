#include "coordination/at_most_once/tests/at_most_once_fleet.h"

#include <utility>

namespace cyclamenmount::testing {

store_replied fake_store::apply(const store_write& write) {
    stored_object& object = objects[write.key];
    if (object.version != write.expected) {
        return {write.number, store_status::conflict, {}};
    }
    object = {write.key, ++revision, write.value, false};
    written_bytes += write.value.size();
    return {write.number, store_status::ok, {write.key, revision, {}, false}};
}

store_replied fake_store::execute(const effect& call) {
    if (const auto* read = std::get_if<store_read>(&call)) {
        if (down) {
            return {read->number, store_status::unknown, {}};
        }
        const auto found = objects.find(read->key);
        if (found == objects.end() || found->second.version == 0) {
            return {read->number, store_status::missing, {}};
        }
        return {read->number, store_status::ok, found->second};
    }
    const auto& write = std::get<store_write>(call);
    store_fault fault = store_fault::none;
    if (down) {
        fault = store_fault::lost_before;
    } else if (!next_write_faults.empty()) {
        fault = next_write_faults.front();
        next_write_faults.pop_front();
    }
    switch (fault) {
    case store_fault::none:
        return apply(write);
    case store_fault::refused:
        return {write.number, store_status::refused, {}};
    case store_fault::lost_after:
        apply(write);
        break;
    case store_fault::late:
        late_writes.push_back(write);
        break;
    case store_fault::lost_before:
        break;
    }
    return {write.number, store_status::unknown, {}};
}

void fake_store::apply_late_writes() {
    for (const store_write& write : late_writes) {
        apply(write);
    }
    late_writes.clear();
}

void test_fleet::post(std::size_t index, const event& happened) {
    fake_instance& instance = instances[index];
    if (instance.crashed) {
        return;
    }
    effects out;
    reduce_at_most_once(instance.at_most_once, instance.env, instance.roster, happened, now, out);
    for (effect& value : out) {
        if (auto* message = std::get_if<send_to_peer>(&value)) {
            messages.push_back({instance.env.self.id, std::move(*message)});
        } else if (auto* decided = std::get_if<permit_decided>(&value)) {
            decisions[decided->reply.number] = {index, decided->reply};
            ++decision_counts[decided->reply.number];
        } else if (!std::holds_alternative<log_line>(value)) {
            calls.push_back({index, std::move(value)});
        }
    }
}

std::optional<std::size_t> test_fleet::index_of(const instance_id& id) const {
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (instances[index].env.self.id == id) {
            return index;
        }
    }
    return std::nullopt;
}

void test_fleet::deliver(const message_in_flight& message) {
    if (const auto index = index_of(message.value.to.id)) {
        post(*index, peer_message_received{message.from, message.value.message});
    }
}

void test_fleet::execute_call(const store_call& call) {
    post(call.caller, store.execute(call.call));
}

bool test_fleet::pump_once() {
    bool progress = false;
    for (const message_in_flight& message : std::exchange(messages, {})) {
        const auto index = index_of(message.value.to.id);
        if (index && instances[*index].paused) {
            messages.push_back(message);
            continue;
        }
        deliver(message);
        progress = true;
    }
    for (const store_call& call : std::exchange(calls, {})) {
        if (instances[call.caller].paused) {
            calls.push_back(call);
            continue;
        }
        execute_call(call);
        progress = true;
    }
    return progress;
}

void test_fleet::pump() {
    while (pump_once()) {}
}

void test_fleet::advance_time(milliseconds time) {
    const instant end = now + time;
    while (now < end) {
        now += milliseconds(50);
        for (std::size_t index = 0; index < instances.size(); ++index) {
            fake_instance& instance = instances[index];
            if (instance.paused || instance.crashed) {
                continue;
            }
            instance.roster =
                make_settled_roster(instance.env, instance.view, instance.generation, now);
            post(index, tick{});
        }
        pump();
    }
}

void test_fleet::set_view(std::size_t index, const std::vector<std::size_t>& member_indexes,
                          generation_number generation) {
    fake_instance& instance = instances[index];
    instance.view.clear();
    for (const std::size_t other : member_indexes) {
        instance.view.push_back(instances[other].env.self);
    }
    instance.generation = generation;
    instance.roster = make_settled_roster(instance.env, instance.view, generation, now);
}

ticket test_fleet::request_permit(std::size_t index, const std::string& key,
                                  const std::string& body, milliseconds timeout) {
    const ticket number = next_number++;
    post(index,
         permit_wanted{{number, test_workspace, {key}, {body}, {"booking"}, "book", timeout}});
    return number;
}

void test_fleet::end_call(std::size_t index, const std::string& key, ticket number,
                          call_outcome outcome) {
    const std::string permit = decisions.at(number).reply.permit;
    post(index, call_ended{{test_workspace, {key}, permit, std::move(outcome)}});
}

void test_fleet::return_permit(std::size_t index, const std::string& key, ticket number) {
    const std::string permit = decisions.at(number).reply.permit;
    post(index, permit_returned{{test_workspace, {key}, permit}});
}

bool test_fleet::is_granted(ticket number) const {
    const auto found = decisions.find(number);
    return found != decisions.end() && found->second.reply.verdict == permit_verdict::granted;
}

permit_verdict test_fleet::verdict(ticket number) const {
    return decisions.at(number).reply.verdict;
}

std::string test_fleet::key_owned_by(std::size_t viewer, std::size_t owner) const {
    for (int number = 0;; ++number) {
        std::string key = "key-" + std::to_string(number);
        const std::uint64_t shard = detail::shard_of(test_workspace, {key});
        const auto found = owner_of(instances[viewer].roster, detail::shard_owner_key(shard));
        if (found && found->id == instances[owner].env.self.id) {
            return key;
        }
    }
}

test_fleet make_fleet(std::size_t size) {
    test_fleet fleet;
    std::vector<std::size_t> all_indexes;
    for (std::size_t index = 0; index < size; ++index) {
        fake_instance instance;
        instance.env.self = {{"instance-" + std::to_string(index)}, {}, {"zone"}};
        fleet.instances.push_back(std::move(instance));
        all_indexes.push_back(index);
    }
    for (const std::size_t index : all_indexes) {
        fleet.set_view(index, all_indexes, 1);
    }
    fleet.advance_time(milliseconds(500));
    return fleet;
}

std::string journal_object_of(const test_fleet& fleet, const std::string& key) {
    return detail::journal_object(fleet.instances[0].env, detail::shard_of(test_workspace, {key}));
}

}  // namespace cyclamenmount::testing
