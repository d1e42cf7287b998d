#include "coordination/dispatch/tests/fake_fleet.h"

#include "coordination/dispatch/tests/fake_fleet_store.h"
#include "types/overloaded.h"

#include <algorithm>
#include <deque>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds network_latency{1};
constexpr milliseconds retry_delay{20};  // delay between a refusal and the next request
constexpr milliseconds list_period{500};
constexpr generation_number first_generation = 1;

std::uint64_t next_bits(fleet& simulation) {
    simulation.random = simulation.random * 6364136223846793005U + 1442695040888963407U;
    return simulation.random >> 33U;
}

member member_at(const fleet& simulation, std::size_t index) {
    const std::string zone =
        std::string(1, static_cast<char>('a' + index % simulation.settings.zones));
    return {instance_id{"i" + std::to_string(index)}, "127.0.0.1:" + std::to_string(9000 + index),
            zone_name{zone}};
}

std::optional<std::size_t> index_of(const fleet& simulation, const instance_id& id) {
    for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
        if (simulation.instances[i].env.self.id == id) {
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

void execute_effects(fleet& simulation, std::size_t index, effects out);

//! Runs `action` on an instance: at once, or when it is resumed; never if it was killed.
void run_on_instance(fleet& simulation, std::size_t index, std::function<void()> action) {
    fake_instance& instance = simulation.instances[index];
    if (!instance.alive) {
        return;
    }
    if (instance.paused) {
        instance.held_back.push_back(std::move(action));
        return;
    }
    action();
}

effects reduce_components(fake_instance& instance, const event& happened, instant now) {
    effects out;
    reduce_documents(instance.documents, instance.env, instance.roster, happened, now, out);
    reduce_slots(instance.slots, instance.env, instance.roster, instance.documents, happened, now,
                 out);
    reduce_quarantine(instance.quarantine, instance.env, instance.roster, happened, now, out);
    reduce_dispatch(instance.dispatch, instance.env, instance.roster, instance.documents,
                    instance.slots, instance.quarantine, happened, now, out);
    return out;
}

void reduce_event(fleet& simulation, std::size_t index, const event& happened) {
    fake_instance& instance = simulation.instances[index];
    effects out;
    std::deque<event> waiting{happened};
    while (!waiting.empty()) {
        const event next = waiting.front();
        waiting.pop_front();
        for (effect& each : reduce_components(instance, next, simulation.now)) {
            const auto* sent = std::get_if<send_to_peer>(&each);
            if (sent != nullptr && sent->to.id == instance.env.self.id) {
                waiting.emplace_back(peer_message_received{instance.env.self.id, sent->message});
            } else {
                out.push_back(std::move(each));
            }
        }
    }
    execute_effects(simulation, index, std::move(out));
}

void send(fleet& simulation, std::size_t from, std::size_t to, const peer_message& message) {
    if (simulation.cut_links.contains({from, to})) {
        return;
    }
    schedule(simulation, network_latency, [&simulation, from, to, message] {
        post(simulation, to,
             peer_message_received{simulation.instances[from].env.self.id, message});
    });
}

// --- heartbeats ---------------------------------------------------------------------------------

void reply_to_ping(fleet& simulation, std::size_t from, std::size_t to, instant sent_at) {
    ping request;
    request.from = simulation.instances[from].env.self;
    request.versions = versions_of(simulation.instances[from]);
    reduce_event(simulation, to, peer_message_received{request.from.id, request});
    if (simulation.cut_links.contains({to, from})) {
        return;
    }
    const pong reply{0, versions_of(simulation.instances[to])};
    schedule(simulation, network_latency, [&simulation, from, to, sent_at, reply] {
        run_on_instance(simulation, from, [&simulation, from, to, sent_at, reply] {
            const member& peer = simulation.instances[to].env.self;
            peer_record& record = simulation.instances[from].roster.peers[peer.id];
            record.identity = peer;
            record.has_answered = true;
            record.last_answered_ping_at = sent_at;
            record.last_ping_at = simulation.now;
            record.versions = reply.versions;
            reduce_event(simulation, from, peer_message_received{peer.id, reply});
        });
    });
}

void heartbeat(fleet& simulation, std::size_t from) {
    const fake_instance& instance = simulation.instances[from];
    if (instance.alive) {
        schedule(simulation, instance.env.timing.heartbeat,
                 [&simulation, from] { heartbeat(simulation, from); });
    }
    if (!instance.alive || instance.paused) {
        return;
    }
    const instant sent_at = simulation.now;
    for (std::size_t to = 0; to < simulation.instances.size(); ++to) {
        if (to == from || simulation.cut_links.contains({from, to})) {
            continue;
        }
        schedule(simulation, network_latency, [&simulation, from, to, sent_at] {
            run_on_instance(simulation, to, [&simulation, from, to, sent_at] {
                reply_to_ping(simulation, from, to, sent_at);
            });
        });
    }
}

// --- upstreams ----------------------------------------------------------------------------------

upstream_report make_report(const fake_upstream& upstream) {
    return {upstream.id, upstream.id.value + "-" + std::to_string(upstream.restarts),
            upstream.condition, static_cast<int>(upstream.running.size()), upstream.capacity};
}

void count_use(fleet& simulation, fake_upstream& upstream) {
    if (upstream.condition == upstream_condition::cold) {
        const auto time =
            static_cast<double>((simulation.now - upstream.use_counted_until).count());
        upstream.cold_use += time * static_cast<double>(upstream.running.size());
        upstream.cold_time += time;
    }
    upstream.use_counted_until = simulation.now;
}

void poll(fleet& simulation, std::size_t index, const upstream_id& id) {
    schedule(simulation, network_latency, [&simulation, index, id] {
        const auto report = make_report(simulation.upstreams.at(id));
        schedule(simulation, network_latency, [&simulation, index, id, report] {
            post(simulation, index, upstream_polled{id, true, report});
        });
    });
}

void start_attempt(fleet& simulation, std::size_t index, const attempt_id& id);

void start_by_chooser(fleet& simulation, std::size_t index, const attempt_wanted& wanted);

void request_attempt(fleet& simulation, std::size_t index) {
    fake_instance& instance = simulation.instances[index];
    if (!simulation.traffic) {
        return;
    }
    attempt_wanted wanted;
    wanted.number = instance.next_attempt++;
    wanted.attempt = attempt_id{instance.env.self.id.value + "-" + std::to_string(wanted.number)};
    wanted.body = fingerprint{wanted.attempt.value};
    wanted.pool = pool_name{fleet_pool};
    wanted.time_left = simulation.settings.attempt_time + milliseconds(5000);
    wanted.restartable = simulation.settings.restartable;
    if (simulation.chooser) {
        start_by_chooser(simulation, index, wanted);
        return;
    }
    instance.attempts[wanted.attempt] = {wanted, {}, false, simulation.now + wanted.time_left};
    reduce_event(simulation, index, wanted);
}

void request_attempt_later(fleet& simulation, std::size_t index, milliseconds after) {
    schedule(simulation, after, [&simulation, index] {
        run_on_instance(simulation, index,
                        [&simulation, index] { request_attempt(simulation, index); });
    });
}

void start_by_chooser(fleet& simulation, std::size_t index, const attempt_wanted& wanted) {
    const auto chosen = simulation.chooser(index);
    if (!chosen) {
        request_attempt_later(simulation, index, retry_delay);
        return;
    }
    attempt_grant grant;
    grant.upstream = *chosen;
    grant.start_before = simulation.now + milliseconds(500);
    simulation.instances[index].attempts[wanted.attempt] = {wanted, grant, false,
                                                            simulation.now + wanted.time_left};
    schedule(simulation, network_latency, [&simulation, index, id = wanted.attempt] {
        run_on_instance(simulation, index,
                        [&simulation, index, id] { start_attempt(simulation, index, id); });
    });
}

void end_attempt(fleet& simulation, std::size_t index, const attempt_id& id,
                 attempt_outcome outcome) {
    fake_instance& instance = simulation.instances[index];
    const auto found = instance.attempts.find(id);
    if (found == instance.attempts.end()) {
        return;
    }
    fake_upstream& upstream = simulation.upstreams.at(found->second.grant.upstream);
    count_use(simulation, upstream);
    upstream.running.erase(id);
    ++upstream.ended;
    attempt_ended ended;
    ended.attempt = id;
    ended.upstream = upstream.id;
    ended.outcome = outcome;
    ended.took = simulation.settings.attempt_time;
    if (found->second.started && outcome != attempt_outcome::died) {
        ended.report = make_report(upstream);
    }
    instance.attempts.erase(found);
    run_on_instance(simulation, index,
                    [&simulation, index, ended] { reduce_event(simulation, index, ended); });
    request_attempt_later(simulation, index, milliseconds(1));
}

void count_start(fleet& simulation, fake_upstream& upstream) {
    upstream.starts.push_back(simulation.now);
    ++upstream.started;
    const bool is_detected =
        simulation.now - upstream.cold_since >= simulation.settings.detection_time;
    const bool exceeds = static_cast<int>(upstream.running.size()) > upstream.cold_capacity;
    if (upstream.condition == upstream_condition::cold && is_detected && exceeds) {
        ++upstream.starts_over_cold;
    }
}

void start_attempt(fleet& simulation, std::size_t index, const attempt_id& id) {
    fake_instance& instance = simulation.instances[index];
    const auto found = instance.attempts.find(id);
    if (found == instance.attempts.end()) {
        return;
    }
    if (simulation.now >= found->second.grant.start_before) {
        end_attempt(simulation, index, id, attempt_outcome::not_started);
        return;
    }
    fake_upstream& upstream = simulation.upstreams.at(found->second.grant.upstream);
    count_use(simulation, upstream);
    found->second.started = true;
    upstream.running.insert(id);
    count_start(simulation, upstream);
    const milliseconds full_duration =
        simulation.settings.attempt_time + milliseconds(next_bits(simulation) % 50);
    const milliseconds duration = std::min(full_duration, found->second.deadline - simulation.now);
    const auto outcome =
        duration < full_duration ? attempt_outcome::timed_out : attempt_outcome::ok;
    schedule(simulation, duration, [&simulation, index, id, outcome, at = upstream.id] {
        fake_upstream& target = simulation.upstreams.at(at);
        const bool alive = simulation.instances[index].alive;
        count_use(simulation, target);
        alive ? end_attempt(simulation, index, id, outcome) : (void)target.running.erase(id);
    });
}

void handle_decision(fleet& simulation, std::size_t index, const attempt_decided& decision) {
    fake_instance& instance = simulation.instances[index];
    if (!decision.decision) {
        ++instance.refusals[decision.decision.error().reason];
        instance.attempts.erase(decision.attempt);
        request_attempt_later(simulation, index, retry_delay);
        return;
    }
    ++instance.granted;
    instance.attempts[decision.attempt].grant = decision.decision.value();
    const milliseconds delay(next_bits(simulation) % 5);
    schedule(simulation, delay, [&simulation, index, id = decision.attempt] {
        run_on_instance(simulation, index,
                        [&simulation, index, id] { start_attempt(simulation, index, id); });
    });
}

void cancel(fleet& simulation, std::size_t index, const attempt_id& id) {
    schedule(simulation, network_latency, [&simulation, index, id] {
        run_on_instance(simulation, index, [&simulation, index, id] {
            end_attempt(simulation, index, id, attempt_outcome::cancelled);
        });
    });
}

void execute_effects(fleet& simulation, std::size_t index, effects out) {
    for (const effect& each : out) {
        std::visit(overloaded{
                       [&](const send_to_peer& sent) {
                           const auto to = index_of(simulation, sent.to.id);
                           if (to) {
                               send(simulation, index, *to, sent.message);
                           }
                       },
                       [&](const store_read& read) { read_object(simulation, index, read); },
                       [&](const store_write& write) { handle_write(simulation, index, write); },
                       [&](const watch_prefix& watch) { start_watch(simulation, index, watch); },
                       [&](const poll_upstream& read) { poll(simulation, index, read.upstream); },
                       [&](const attempt_decided& decision) {
                           handle_decision(simulation, index, decision);
                       },
                       [&](const attempt_cancelled& cancelled) {
                           cancel(simulation, index, cancelled.attempt);
                       },
                       [&](const edit_decided& decision) {
                           simulation.instances[index].edits.push_back(decision);
                       },
                       [](const auto&) {},
                   },
                   each);
    }
}

// --- start --------------------------------------------------------------------------------------

void list_upstreams(fleet& simulation, std::size_t index) {
    schedule(simulation, list_period, [&simulation, index] { list_upstreams(simulation, index); });
    instances_listed list{store_status::ok, {}};
    for (const auto& [id, upstream] : simulation.upstreams) {
        list.instances.push_back({id.value, "127.0.0.1:1", upstream.zone, fleet_pool, false});
    }
    if (store_answers(simulation, index)) {
        post(simulation, index, list);
    }
}

void run_ticks(fleet& simulation, std::size_t index) {
    const fake_instance& instance = simulation.instances[index];
    schedule(simulation, instance.env.timing.tick,
             [&simulation, index] { run_ticks(simulation, index); });
    if (instance.alive && !instance.paused) {
        reduce_event(simulation, index, tick{});
    }
}

environment make_environment(const fleet& simulation, std::size_t index) {
    environment env;
    env.self = member_at(simulation, index);
    env.seed = index + 1;
    pool_settings pool;
    pool.name = pool_name{fleet_pool};
    pool.cold_capacity = simulation.settings.cold_capacity;
    env.pools.pools[pool.name] = pool;
    return env;
}

void add_instance(fleet& simulation, std::size_t index, const std::vector<member>& all_members) {
    fake_instance instance;
    instance.env = make_environment(simulation, index);
    instance.roster =
        make_settled_roster(instance.env, all_members, first_generation, simulation.now);
    instance.documents = make_documents_in_force(instance.env, {}, {}, simulation.now);
    instance.documents.revision = 0;
    instance.slots = make_slots();
    instance.quarantine = make_quarantine();
    instance.dispatch = make_dispatch(instance.env);
    simulation.instances.push_back(std::move(instance));
}

}  // namespace

void schedule(fleet& simulation, milliseconds after, std::function<void()> action) {
    simulation.scheduled.emplace(simulation.now + after, std::move(action));
}

void post(fleet& simulation, std::size_t index, const event& happened) {
    run_on_instance(simulation, index,
                    [&simulation, index, happened] { reduce_event(simulation, index, happened); });
}

void start_fleet(fleet& simulation, fleet_settings settings) {
    simulation.settings = settings;
    std::vector<member> all_members;
    for (std::size_t i = 0; i < settings.instances; ++i) {
        all_members.push_back(member_at(simulation, i));
    }
    for (std::size_t i = 0; i < settings.instances; ++i) {
        add_instance(simulation, i, all_members);
    }
    for (std::size_t i = 0; i < settings.upstreams; ++i) {
        fake_upstream upstream;
        upstream.id = upstream_id{"u" + std::to_string(i)};
        upstream.zone = member_at(simulation, i).zone;
        upstream.cold_capacity = settings.cold_capacity;
        upstream.cold_since = simulation.now - settings.detection_time;
        upstream.use_counted_until = simulation.now;
        simulation.upstreams[upstream.id] = upstream;
    }
    for (std::size_t i = 0; i < settings.instances; ++i) {
        list_upstreams(simulation, i);
        schedule(simulation, milliseconds(i * 7), [&simulation, i] { run_ticks(simulation, i); });
        schedule(simulation, milliseconds(i * 11), [&simulation, i] { heartbeat(simulation, i); });
        for (int n = 0; n < settings.concurrent; ++n) {
            request_attempt_later(simulation, i, milliseconds(10 + n));
        }
    }
}

void run_for(fleet& simulation, milliseconds time) {
    const instant end = simulation.now + time;
    while (!simulation.scheduled.empty() && simulation.scheduled.begin()->first <= end) {
        auto node = simulation.scheduled.extract(simulation.scheduled.begin());
        simulation.now = node.key();
        node.mapped()();
    }
    simulation.now = end;
}

void pause_instance(fleet& simulation, std::size_t index) {
    simulation.instances[index].paused = true;
}

void resume_instance(fleet& simulation, std::size_t index) {
    simulation.instances[index].paused = false;
    const auto held_back = std::move(simulation.instances[index].held_back);
    simulation.instances[index].held_back.clear();
    for (const auto& action : held_back) {
        action();
    }
}

void kill_instance(fleet& simulation, std::size_t index) {
    simulation.instances[index].alive = false;
}

void cut_off(fleet& simulation, std::size_t index, bool from_store) {
    for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
        simulation.cut_links.insert({i, index});
        simulation.cut_links.insert({index, i});
    }
    if (from_store) {
        simulation.cut_from_store.insert(index);
    }
}

void restore_links(fleet& simulation) {
    simulation.cut_links.clear();
    simulation.cut_from_store.clear();
}

void change_generation(fleet& simulation, std::optional<std::size_t> without) {
    std::vector<member> remaining;
    for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
        if (i != without) {
            remaining.push_back(simulation.instances[i].env.self);
        }
    }
    for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
        fake_instance& each = simulation.instances[i];
        if (i == without || !each.alive) {
            continue;
        }
        const roster before = each.roster.newest;
        each.roster =
            make_settled_roster(each.env, remaining, before.generation + 1, simulation.now);
        each.roster.previous = before;
    }
}

std::size_t owner_index(const fleet& simulation, const upstream_id& upstream) {
    for (const fake_instance& each : simulation.instances) {
        if (each.alive) {
            return *index_of(simulation, owner_of(each.roster, ownership_key(upstream))->id);
        }
    }
    return 0;
}

void turn_cold(fleet& simulation, const upstream_id& id, bool restart) {
    fake_upstream& upstream = simulation.upstreams.at(id);
    count_use(simulation, upstream);
    upstream.condition = upstream_condition::cold;
    upstream.cold_since = simulation.now;
    if (!restart) {
        return;
    }
    ++upstream.restarts;
    const std::set<attempt_id> lost = upstream.running;
    for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
        for (const attempt_id& attempt : lost) {
            end_attempt(simulation, i, attempt, attempt_outcome::died);
        }
    }
    upstream.running.clear();
}

void turn_warm(fleet& simulation, const upstream_id& id) {
    fake_upstream& upstream = simulation.upstreams.at(id);
    count_use(simulation, upstream);
    upstream.condition = upstream_condition::warm;
}

int starts_over_cold_capacity(const fleet& simulation) {
    int sum = 0;
    for (const auto& [id, upstream] : simulation.upstreams) {
        sum += upstream.starts_over_cold;
    }
    return sum;
}

int most_running_while_cold(const fleet& simulation) {
    std::size_t most = 0;
    for (const auto& [id, upstream] : simulation.upstreams) {
        const bool cold = upstream.condition == upstream_condition::cold;
        most = std::max(most, cold ? upstream.running.size() : 0);
    }
    return static_cast<int>(most);
}

double cold_capacity_use(fleet& simulation) {
    double use = 0;
    double time = 0;
    for (auto& [id, upstream] : simulation.upstreams) {
        count_use(simulation, upstream);
        use += upstream.cold_use;
        time += upstream.cold_time * upstream.cold_capacity;
    }
    return time > 0 ? use / time : 0;
}

void reset_capacity_use(fleet& simulation) {
    for (auto& [id, upstream] : simulation.upstreams) {
        count_use(simulation, upstream);
        upstream.cold_use = 0;
        upstream.cold_time = 0;
    }
}

}  // namespace cyclamenmount::testing
