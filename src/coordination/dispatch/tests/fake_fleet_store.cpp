#include "coordination/dispatch/tests/fake_fleet_store.h"

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds network_latency{1};
constexpr milliseconds store_latency{3};
constexpr milliseconds store_failure_delay{200};  // time until a failed call is reported

//! Ends a watch with the changed objects. If the instance can't reach the store, the response is
//! lost and the instance's timeout ends the watch.
void end_watch(fleet& simulation, fake_watch& watch) {
    watch.done = true;
    if (!store_answers(simulation, watch.instance)) {
        schedule(simulation, store_failure_delay,
                 [&simulation, index = watch.instance, number = watch.wanted] {
                     post(simulation, index,
                          watch_ended{"config/", store_status::unknown, 0, {}, number});
                 });
        return;
    }
    watch_ended ended{"config/", store_status::ok, simulation.store.revision, {}, watch.wanted};
    for (const auto& [key, object] : simulation.store.objects) {
        if (object.version > watch.after) {
            ended.objects.push_back(object);
        }
    }
    const std::size_t index = watch.instance;
    schedule(simulation, network_latency,
             [&simulation, index, ended] { post(simulation, index, ended); });
}

void write_object(fleet& simulation, const stored_object& object) {
    simulation.store.revision = object.version;
    simulation.store.objects[object.key] = object;
    for (fake_watch& watch : simulation.store.watches) {
        if (!watch.done && !simulation.store.unanswered_watches) {
            end_watch(simulation, watch);
        }
    }
    std::erase_if(simulation.store.watches, [](const fake_watch& each) { return each.done; });
}

void reply_later(fleet& simulation, std::size_t index, milliseconds after,
                 const store_replied& reply) {
    schedule(simulation, after, [&simulation, index, reply] { post(simulation, index, reply); });
}

store_status apply_write(fleet& simulation, const store_write& wanted) {
    const auto found = simulation.store.objects.find(wanted.key);
    const object_version present =
        found == simulation.store.objects.end() ? 0 : found->second.version;
    if (present != wanted.expected) {
        return store_status::conflict;
    }
    write_object(simulation, {wanted.key, simulation.store.revision + 1, wanted.value, false});
    return store_status::ok;
}

}  // namespace

bool store_answers(const fleet& simulation, std::size_t index) {
    return simulation.store.up && !simulation.cut_from_store.contains(index);
}

void start_watch(fleet& simulation, std::size_t index, const watch_prefix& wanted) {
    ++simulation.store.calls;
    if (!store_answers(simulation, index)) {
        schedule(simulation, store_failure_delay, [&simulation, index, number = wanted.number] {
            post(simulation, index, watch_ended{"config/", store_status::unknown, 0, {}, number});
        });
        return;
    }
    if (simulation.store.unanswered_watches) {
        return;
    }
    fake_watch watch{simulation.store.calls, index, wanted.after, false, wanted.number};
    if (simulation.store.revision > wanted.after) {
        end_watch(simulation, watch);
        return;
    }
    simulation.store.watches.push_back(watch);
    schedule(simulation, wanted.timeout, [&simulation, number = watch.number] {
        for (fake_watch& each : simulation.store.watches) {
            if (each.number == number && !each.done) {
                end_watch(simulation, each);
            }
        }
        std::erase_if(simulation.store.watches, [](const fake_watch& each) { return each.done; });
    });
}

void read_object(fleet& simulation, std::size_t index, const store_read& wanted) {
    ++simulation.store.calls;
    if (!store_answers(simulation, index)) {
        reply_later(simulation, index, store_failure_delay,
                    {wanted.number, store_status::unknown, {}});
        return;
    }
    const auto found = simulation.store.objects.find(wanted.key);
    const bool missing = found == simulation.store.objects.end();
    reply_later(simulation, index, store_latency,
                {wanted.number, missing ? store_status::missing : store_status::ok,
                 missing ? stored_object{} : found->second});
}

void handle_write(fleet& simulation, std::size_t index, const store_write& wanted) {
    ++simulation.store.calls;
    const store_replied lost{wanted.number, store_status::unknown, {}};
    if (!store_answers(simulation, index)) {
        reply_later(simulation, index, store_failure_delay, lost);
        return;
    }
    if (simulation.store.delayed_writes > 0) {
        --simulation.store.delayed_writes;
        schedule(simulation, simulation.store.write_delay,
                 [&simulation, wanted] { apply_write(simulation, wanted); });
        reply_later(simulation, index, store_failure_delay, lost);
        return;
    }
    const store_status status = apply_write(simulation, wanted);
    if (simulation.store.lost_replies > 0) {
        --simulation.store.lost_replies;
        reply_later(simulation, index, store_failure_delay, lost);
        return;
    }
    reply_later(simulation, index, store_latency,
                {wanted.number, status, {wanted.key, simulation.store.revision, {}, false}});
}

}  // namespace cyclamenmount::testing
