#include "coordination/dispatch/tests/fake_fleet_store.h"

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds one_way{1};  // network latency
constexpr milliseconds store_time{3};
constexpr milliseconds store_failure_time{200};  // until a failed call is reported

//! Ends a watch with the changed objects. If the instance can't reach the store, the response is
//! lost and the instance's timeout ends the watch.
void end_watch(fleet& all, fake_watch& watch) {
    watch.done = true;
    if (!store_answers(all, watch.instance)) {
        later(all, store_failure_time, [&all, index = watch.instance] {
            post(all, index, watch_ended{"config/", store_status::unknown, 0, {}});
        });
        return;
    }
    watch_ended ended{"config/", store_status::ok, all.store.revision, {}};
    for (const auto& [key, object] : all.store.objects) {
        if (object.version > watch.after) {
            ended.objects.push_back(object);
        }
    }
    const std::size_t index = watch.instance;
    later(all, one_way, [&all, index, ended] { post(all, index, ended); });
}

void write_object(fleet& all, const stored_object& object) {
    all.store.revision = object.version;
    all.store.objects[object.key] = object;
    for (fake_watch& watch : all.store.watches) {
        if (!watch.done && !all.store.unanswered_watches) {
            end_watch(all, watch);
        }
    }
    std::erase_if(all.store.watches, [](const fake_watch& each) { return each.done; });
}

void reply_later(fleet& all, std::size_t index, milliseconds after, const store_replied& reply) {
    later(all, after, [&all, index, reply] { post(all, index, reply); });
}

store_status apply_write(fleet& all, const store_write& wanted) {
    const auto found = all.store.objects.find(wanted.key);
    const object_version present = found == all.store.objects.end() ? 0 : found->second.version;
    if (present != wanted.expected) {
        return store_status::conflict;
    }
    write_object(all, {wanted.key, all.store.revision + 1, wanted.value, false});
    return store_status::ok;
}

}  // namespace

bool store_answers(const fleet& all, std::size_t index) {
    return all.store.up && !all.cut_from_store.contains(index);
}

void start_watch(fleet& all, std::size_t index, const watch_prefix& wanted) {
    ++all.store.calls;
    if (!store_answers(all, index)) {
        later(all, store_failure_time, [&all, index] {
            post(all, index, watch_ended{"config/", store_status::unknown, 0, {}});
        });
        return;
    }
    if (all.store.unanswered_watches) {
        return;
    }
    fake_watch watch{all.store.calls, index, wanted.after, false};
    if (all.store.revision > wanted.after) {
        end_watch(all, watch);
        return;
    }
    all.store.watches.push_back(watch);
    later(all, wanted.timeout, [&all, number = watch.number] {
        for (fake_watch& each : all.store.watches) {
            if (each.number == number && !each.done) {
                end_watch(all, each);
            }
        }
        std::erase_if(all.store.watches, [](const fake_watch& each) { return each.done; });
    });
}

void read_object(fleet& all, std::size_t index, const store_read& wanted) {
    ++all.store.calls;
    if (!store_answers(all, index)) {
        reply_later(all, index, store_failure_time, {wanted.number, store_status::unknown, {}});
        return;
    }
    const auto found = all.store.objects.find(wanted.key);
    const bool missing = found == all.store.objects.end();
    reply_later(all, index, store_time,
                {wanted.number, missing ? store_status::missing : store_status::ok,
                 missing ? stored_object{} : found->second});
}

void handle_write(fleet& all, std::size_t index, const store_write& wanted) {
    ++all.store.calls;
    const store_replied lost{wanted.number, store_status::unknown, {}};
    if (!store_answers(all, index)) {
        reply_later(all, index, store_failure_time, lost);
        return;
    }
    if (all.store.delayed_writes > 0) {
        --all.store.delayed_writes;
        later(all, all.store.write_delay, [&all, wanted] { apply_write(all, wanted); });
        reply_later(all, index, store_failure_time, lost);
        return;
    }
    const store_status status = apply_write(all, wanted);
    if (all.store.lost_replies > 0) {
        --all.store.lost_replies;
        reply_later(all, index, store_failure_time, lost);
        return;
    }
    reply_later(all, index, store_time,
                {wanted.number, status, {wanted.key, all.store.revision, {}, false}});
}

}  // namespace cyclamenmount::testing
