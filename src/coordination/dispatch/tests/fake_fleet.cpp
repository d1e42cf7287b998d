#include "coordination/dispatch/tests/fake_fleet.h"

#include "coordination/dispatch/tests/fake_fleet_store.h"
#include "types/overloaded.h"

#include <algorithm>
#include <deque>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds one_way{1};       // network latency
constexpr milliseconds retry_pause{20};  // between a refusal and the next request
constexpr milliseconds list_time{500};   // period of the instance list
constexpr generation_number first_generation = 1;

std::uint64_t next_bits(fleet& all) {
    all.random = all.random * 6364136223846793005U + 1442695040888963407U;
    return all.random >> 33U;
}

member member_at(const fleet& all, std::size_t index) {
    const std::string zone = std::string(1, static_cast<char>('a' + index % all.settings.zones));
    return {instance_id{"i" + std::to_string(index)}, "127.0.0.1:" + std::to_string(9000 + index),
            zone_name{zone}};
}

std::optional<std::size_t> index_of(const fleet& all, const instance_id& id) {
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        if (all.instances[i].env.self.id == id) {
            return i;
        }
    }
    return std::nullopt;
}

known_versions versions_of(const fake_instance& instance) {
    known_versions versions;
    versions.generation = generation(instance.roster);
    versions.settled = true;
    versions.plans = version_of(instance.documents, document_names::plans);
    versions.allowances = version_of(instance.documents, document_names::allowances);
    versions.availability = version_of(instance.documents, document_names::availability);
    versions.emergency_digest = emergency_digest(instance.documents);
    return versions;
}

void execute_effects(fleet& all, std::size_t index, effects out);

//! Runs `action` on an instance: at once, after its pause, or never if it was killed.
void run_on_instance(fleet& all, std::size_t index, std::function<void()> action) {
    fake_instance& instance = all.instances[index];
    if (!instance.alive) {
        return;
    }
    if (instance.paused) {
        instance.held_back.push_back(std::move(action));
        return;
    }
    action();
}

effects reduce_components(fake_instance& each, const event& happened, instant now) {
    effects out;
    reduce_documents(each.documents, each.env, each.roster, happened, now, out);
    reduce_slots(each.slots, each.env, each.roster, each.documents, happened, now, out);
    reduce_quarantine(each.quarantine, each.env, each.roster, happened, now, out);
    reduce_dispatch(each.dispatch, each.env, each.roster, each.documents, each.slots,
                    each.quarantine, happened, now, out);
    return out;
}

void reduce_event(fleet& all, std::size_t index, const event& happened) {
    fake_instance& instance = all.instances[index];
    effects out;
    std::deque<event> waiting{happened};
    while (!waiting.empty()) {
        const event next = waiting.front();
        waiting.pop_front();
        for (effect& each : reduce_components(instance, next, all.now)) {
            const auto* sent = std::get_if<send_to_peer>(&each);
            if (sent != nullptr && sent->to.id == instance.env.self.id) {
                waiting.emplace_back(peer_message_received{instance.env.self.id, sent->message});
            } else {
                out.push_back(std::move(each));
            }
        }
    }
    execute_effects(all, index, std::move(out));
}

void send(fleet& all, std::size_t from, std::size_t to, const peer_message& message) {
    if (all.cut_links.contains({from, to})) {
        return;
    }
    later(all, one_way, [&all, from, to, message] {
        post(all, to, peer_message_received{all.instances[from].env.self.id, message});
    });
}

// --- heartbeats ---------------------------------------------------------------------------------

void reply_to_ping(fleet& all, std::size_t from, std::size_t to, instant sent_at) {
    ping request;
    request.from = all.instances[from].env.self;
    request.versions = versions_of(all.instances[from]);
    reduce_event(all, to, peer_message_received{request.from.id, request});
    if (all.cut_links.contains({to, from})) {
        return;
    }
    const pong reply{0, versions_of(all.instances[to])};
    later(all, one_way, [&all, from, to, sent_at, reply] {
        run_on_instance(all, from, [&all, from, to, sent_at, reply] {
            const member& peer = all.instances[to].env.self;
            heard_peer& record = all.instances[from].roster.heard[peer.id];
            record.who = peer;
            record.answered = true;
            record.asked_at = sent_at;
            record.pinged_at = all.now;
            record.versions = reply.versions;
            reduce_event(all, from, peer_message_received{peer.id, reply});
        });
    });
}

void heartbeat(fleet& all, std::size_t from) {
    const fake_instance& instance = all.instances[from];
    if (instance.alive) {
        later(all, instance.env.timing.heartbeat, [&all, from] { heartbeat(all, from); });
    }
    if (!instance.alive || instance.paused) {
        return;
    }
    const instant sent_at = all.now;
    for (std::size_t to = 0; to < all.instances.size(); ++to) {
        if (to == from || all.cut_links.contains({from, to})) {
            continue;
        }
        later(all, one_way, [&all, from, to, sent_at] {
            run_on_instance(all, to,
                            [&all, from, to, sent_at] { reply_to_ping(all, from, to, sent_at); });
        });
    }
}

// --- upstreams ----------------------------------------------------------------------------------

upstream_report make_report(const fake_upstream& upstream) {
    return {upstream.id, upstream.id.value + "-" + std::to_string(upstream.restarts),
            upstream.condition, static_cast<int>(upstream.running.size()), upstream.capacity};
}

void count_use(fleet& all, fake_upstream& upstream) {
    if (upstream.condition == upstream_condition::cold) {
        const auto time = static_cast<double>((all.now - upstream.use_counted_until).count());
        upstream.cold_use += time * static_cast<double>(upstream.running.size());
        upstream.cold_time += time;
    }
    upstream.use_counted_until = all.now;
}

void poll(fleet& all, std::size_t index, const upstream_id& id) {
    later(all, one_way, [&all, index, id] {
        const auto report = make_report(all.upstreams.at(id));
        later(all, one_way, [&all, index, id, report] {
            post(all, index, upstream_polled{id, true, report});
        });
    });
}

void start_attempt(fleet& all, std::size_t index, const attempt_id& id);

void start_by_chooser(fleet& all, std::size_t index, const attempt_wanted& wanted);

void request_attempt(fleet& all, std::size_t index) {
    fake_instance& instance = all.instances[index];
    if (!all.traffic) {
        return;
    }
    attempt_wanted wanted;
    wanted.number = instance.next_attempt++;
    wanted.attempt = attempt_id{instance.env.self.id.value + "-" + std::to_string(wanted.number)};
    wanted.body = fingerprint{wanted.attempt.value};
    wanted.pool = pool_name{fleet_pool};
    wanted.time_left = all.settings.attempt_time + milliseconds(5000);
    wanted.restartable = all.settings.restartable;
    if (all.chooser) {
        start_by_chooser(all, index, wanted);
        return;
    }
    instance.attempts[wanted.attempt] = {wanted, {}, false, all.now + wanted.time_left};
    reduce_event(all, index, wanted);
}

void request_attempt_later(fleet& all, std::size_t index, milliseconds after) {
    later(all, after, [&all, index] {
        run_on_instance(all, index, [&all, index] { request_attempt(all, index); });
    });
}

void start_by_chooser(fleet& all, std::size_t index, const attempt_wanted& wanted) {
    const auto chosen = all.chooser(index);
    if (!chosen) {
        request_attempt_later(all, index, retry_pause);
        return;
    }
    attempt_grant grant;
    grant.upstream = *chosen;
    grant.start_before = all.now + milliseconds(500);
    all.instances[index].attempts[wanted.attempt] = {wanted, grant, false,
                                                     all.now + wanted.time_left};
    later(all, one_way, [&all, index, id = wanted.attempt] {
        run_on_instance(all, index, [&all, index, id] { start_attempt(all, index, id); });
    });
}

void end_attempt(fleet& all, std::size_t index, const attempt_id& id, attempt_outcome outcome) {
    fake_instance& instance = all.instances[index];
    const auto found = instance.attempts.find(id);
    if (found == instance.attempts.end()) {
        return;
    }
    fake_upstream& upstream = all.upstreams.at(found->second.grant.upstream);
    count_use(all, upstream);
    upstream.running.erase(id);
    ++upstream.ended;
    attempt_ended ended;
    ended.attempt = id;
    ended.upstream = upstream.id;
    ended.outcome = outcome;
    ended.took = all.settings.attempt_time;
    if (found->second.started && outcome != attempt_outcome::died) {
        ended.report = make_report(upstream);
    }
    instance.attempts.erase(found);
    run_on_instance(all, index, [&all, index, ended] { reduce_event(all, index, ended); });
    request_attempt_later(all, index, milliseconds(1));
}

void count_start(fleet& all, fake_upstream& upstream) {
    upstream.starts.push_back(all.now);
    ++upstream.started;
    const bool is_detected = all.now - upstream.cold_since >= all.settings.detection_time;
    const bool exceeds = static_cast<int>(upstream.running.size()) > upstream.cold_capacity;
    if (upstream.condition == upstream_condition::cold && is_detected && exceeds) {
        ++upstream.starts_over_cold;
    }
}

void start_attempt(fleet& all, std::size_t index, const attempt_id& id) {
    fake_instance& instance = all.instances[index];
    const auto found = instance.attempts.find(id);
    if (found == instance.attempts.end()) {
        return;
    }
    if (all.now >= found->second.grant.start_before) {
        end_attempt(all, index, id, attempt_outcome::not_started);
        return;
    }
    fake_upstream& upstream = all.upstreams.at(found->second.grant.upstream);
    count_use(all, upstream);
    found->second.started = true;
    upstream.running.insert(id);
    count_start(all, upstream);
    const milliseconds full_time = all.settings.attempt_time + milliseconds(next_bits(all) % 50);
    const milliseconds takes = std::min(full_time, found->second.deadline - all.now);
    const auto outcome = takes < full_time ? attempt_outcome::timed_out : attempt_outcome::ok;
    later(all, takes, [&all, index, id, outcome, at = upstream.id] {
        fake_upstream& target = all.upstreams.at(at);
        const bool alive = all.instances[index].alive;
        count_use(all, target);
        alive ? end_attempt(all, index, id, outcome) : (void)target.running.erase(id);
    });
}

void handle_decision(fleet& all, std::size_t index, const attempt_decided& decision) {
    fake_instance& instance = all.instances[index];
    if (!decision.decision) {
        ++instance.refusals[decision.decision.error().reason];
        instance.attempts.erase(decision.attempt);
        request_attempt_later(all, index, retry_pause);
        return;
    }
    ++instance.granted;
    instance.attempts[decision.attempt].grant = decision.decision.value();
    const milliseconds delay(next_bits(all) % 5);
    later(all, delay, [&all, index, id = decision.attempt] {
        run_on_instance(all, index, [&all, index, id] { start_attempt(all, index, id); });
    });
}

void cancel(fleet& all, std::size_t index, const attempt_id& id) {
    later(all, one_way, [&all, index, id] {
        run_on_instance(all, index, [&all, index, id] {
            end_attempt(all, index, id, attempt_outcome::cancelled);
        });
    });
}

void execute_effects(fleet& all, std::size_t index, effects out) {
    for (const effect& each : out) {
        std::visit(
            overloaded{
                [&](const send_to_peer& sent) {
                    const auto to = index_of(all, sent.to.id);
                    if (to) {
                        send(all, index, *to, sent.message);
                    }
                },
                [&](const store_read& read) { read_object(all, index, read); },
                [&](const store_write& write) { handle_write(all, index, write); },
                [&](const watch_prefix& watch) { start_watch(all, index, watch); },
                [&](const poll_upstream& read) { poll(all, index, read.upstream); },
                [&](const attempt_decided& decision) { handle_decision(all, index, decision); },
                [&](const attempt_cancelled& cancelled) { cancel(all, index, cancelled.attempt); },
                [&](const edit_decided& decision) {
                    all.instances[index].edits.push_back(decision);
                },
                [](const auto&) {},
            },
            each);
    }
}

// --- start --------------------------------------------------------------------------------------

void list_upstreams(fleet& all, std::size_t index) {
    later(all, list_time, [&all, index] { list_upstreams(all, index); });
    instances_listed list{store_status::ok, {}};
    for (const auto& [id, upstream] : all.upstreams) {
        list.instances.push_back({id.value, "127.0.0.1:1", upstream.zone, fleet_pool, false});
    }
    if (store_answers(all, index)) {
        post(all, index, list);
    }
}

void tick_on(fleet& all, std::size_t index) {
    const fake_instance& instance = all.instances[index];
    later(all, instance.env.timing.tick, [&all, index] { tick_on(all, index); });
    if (instance.alive && !instance.paused) {
        reduce_event(all, index, tick{});
    }
}

environment make_environment(const fleet& all, std::size_t index) {
    environment env;
    env.self = member_at(all, index);
    env.seed = index + 1;
    pool_settings pool;
    pool.name = pool_name{fleet_pool};
    pool.cold_capacity = all.settings.cold_capacity;
    env.pools.pools[pool.name] = pool;
    return env;
}

void add_instance(fleet& all, std::size_t index, const std::vector<member>& all_members) {
    fake_instance instance;
    instance.env = make_environment(all, index);
    instance.roster = make_settled_roster(instance.env, all_members, first_generation, all.now);
    instance.documents = make_documents_with(instance.env, {}, {}, all.now);
    instance.documents.revision = 0;
    instance.slots = make_slots();
    instance.quarantine = make_quarantine();
    instance.dispatch = make_dispatch(instance.env);
    all.instances.push_back(std::move(instance));
}

}  // namespace

void later(fleet& all, milliseconds after, std::function<void()> action) {
    all.scheduled.emplace(all.now + after, std::move(action));
}

void post(fleet& all, std::size_t index, const event& happened) {
    run_on_instance(all, index, [&all, index, happened] { reduce_event(all, index, happened); });
}

void start_fleet(fleet& all, fleet_settings settings) {
    all.settings = settings;
    std::vector<member> all_members;
    for (std::size_t i = 0; i < settings.instances; ++i) {
        all_members.push_back(member_at(all, i));
    }
    for (std::size_t i = 0; i < settings.instances; ++i) {
        add_instance(all, i, all_members);
    }
    for (std::size_t i = 0; i < settings.upstreams; ++i) {
        fake_upstream upstream;
        upstream.id = upstream_id{"u" + std::to_string(i)};
        upstream.zone = member_at(all, i).zone;
        upstream.cold_capacity = settings.cold_capacity;
        upstream.cold_since = all.now - settings.detection_time;
        upstream.use_counted_until = all.now;
        all.upstreams[upstream.id] = upstream;
    }
    for (std::size_t i = 0; i < settings.instances; ++i) {
        list_upstreams(all, i);
        later(all, milliseconds(i * 7), [&all, i] { tick_on(all, i); });
        later(all, milliseconds(i * 11), [&all, i] { heartbeat(all, i); });
        for (int n = 0; n < settings.concurrent; ++n) {
            request_attempt_later(all, i, milliseconds(10 + n));
        }
    }
}

void run_for(fleet& all, milliseconds time) {
    const instant end = all.now + time;
    while (!all.scheduled.empty() && all.scheduled.begin()->first <= end) {
        auto node = all.scheduled.extract(all.scheduled.begin());
        all.now = node.key();
        node.mapped()();
    }
    all.now = end;
}

void pause_instance(fleet& all, std::size_t index) {
    all.instances[index].paused = true;
}

void wake_instance(fleet& all, std::size_t index) {
    all.instances[index].paused = false;
    const auto held_back = std::move(all.instances[index].held_back);
    all.instances[index].held_back.clear();
    for (const auto& action : held_back) {
        action();
    }
}

void kill_instance(fleet& all, std::size_t index) {
    all.instances[index].alive = false;
}

void cut_off(fleet& all, std::size_t index, bool from_store) {
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        all.cut_links.insert({i, index});
        all.cut_links.insert({index, i});
    }
    if (from_store) {
        all.cut_from_store.insert(index);
    }
}

void restore_links(fleet& all) {
    all.cut_links.clear();
    all.cut_from_store.clear();
}

void change_generation(fleet& all, std::optional<std::size_t> without) {
    std::vector<member> remaining;
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        if (i != without) {
            remaining.push_back(all.instances[i].env.self);
        }
    }
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        fake_instance& each = all.instances[i];
        if (i == without || !each.alive) {
            continue;
        }
        const roster before = each.roster.newest;
        each.roster = make_settled_roster(each.env, remaining, before.generation + 1, all.now);
        each.roster.previous = before;
    }
}

std::size_t home_index(const fleet& all, const upstream_id& upstream) {
    for (const fake_instance& each : all.instances) {
        if (each.alive) {
            return *index_of(all, home_of(each.roster, home_key(upstream))->id);
        }
    }
    return 0;
}

void turn_cold(fleet& all, const upstream_id& id, bool restart) {
    fake_upstream& upstream = all.upstreams.at(id);
    count_use(all, upstream);
    upstream.condition = upstream_condition::cold;
    upstream.cold_since = all.now;
    if (!restart) {
        return;
    }
    ++upstream.restarts;
    const std::set<attempt_id> lost = upstream.running;
    for (std::size_t i = 0; i < all.instances.size(); ++i) {
        for (const attempt_id& attempt : lost) {
            end_attempt(all, i, attempt, attempt_outcome::died);
        }
    }
    upstream.running.clear();
}

void turn_warm(fleet& all, const upstream_id& id) {
    fake_upstream& upstream = all.upstreams.at(id);
    count_use(all, upstream);
    upstream.condition = upstream_condition::warm;
}

int over_cold(const fleet& all) {
    int sum = 0;
    for (const auto& [id, upstream] : all.upstreams) {
        sum += upstream.starts_over_cold;
    }
    return sum;
}

int most_running_while_cold(const fleet& all) {
    std::size_t most = 0;
    for (const auto& [id, upstream] : all.upstreams) {
        const bool cold = upstream.condition == upstream_condition::cold;
        most = std::max(most, cold ? upstream.running.size() : 0);
    }
    return static_cast<int>(most);
}

double cold_capacity_used(fleet& all) {
    double use = 0;
    double time = 0;
    for (auto& [id, upstream] : all.upstreams) {
        count_use(all, upstream);
        use += upstream.cold_use;
        time += upstream.cold_time * upstream.cold_capacity;
    }
    return time > 0 ? use / time : 0;
}

void reset_use(fleet& all) {
    for (auto& [id, upstream] : all.upstreams) {
        count_use(all, upstream);
        upstream.cold_use = 0;
        upstream.cold_time = 0;
    }
}

}  // namespace cyclamenmount::testing
