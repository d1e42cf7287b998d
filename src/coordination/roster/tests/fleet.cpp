#include "coordination/roster/tests/fleet.h"

#include "coordination/roster/internal/roster_object.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount::testing {

namespace {

//! An event on its way to an instance.
struct delivery {
    std::size_t from;
    std::size_t to;
    event happened;
};

store_replied execute_read(const fleet& all, const store_read& call) {
    if (all.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (all.version == 0) {
        return {call.number, store_status::missing, {}};
    }
    return {call.number, store_status::ok, {call.key, all.version, all.object, false}};
}

store_replied execute_write(fleet& all, const store_write& call) {
    if (all.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (call.expected != all.version) {
        return {call.number, store_status::conflict, {}};
    }
    all.object = call.value;
    ++all.version;
    if (all.replies_to_lose > 0) {
        --all.replies_to_lose;
        return {call.number, store_status::unknown, {}};
    }
    return {call.number, store_status::ok, {call.key, all.version, {}, false}};
}

instances_listed execute_list(const fleet& all, const node& reader) {
    if (all.store_down) {
        return {store_status::unknown, {}};
    }
    return {store_status::ok, reader.list_override.value_or(all.list)};
}

//! Index of the instance that receives a message to `to`: the newest one at this address, and only
//! with this id if one is given.
std::optional<std::size_t> find_listener(const fleet& all, const member& to) {
    for (std::size_t i = all.nodes.size(); i-- > 0;) {
        const node& candidate = all.nodes[i];
        if (!candidate.killed && candidate.env.self.address == to.address &&
            (to.id.empty() || to.id == candidate.env.self.id)) {
            return i;
        }
    }
    return std::nullopt;
}

//! Carries out the effects of one reducer and queues the events that result.
void execute(fleet& all, std::size_t from, const effects& wanted, std::deque<delivery>& queue) {
    for (const auto& emitted : wanted) {
        std::visit(overloaded{[&](const send_to_peer& sent) {
                                  ++all.counters.messages;
                                  const auto to = find_listener(all, sent.to);
                                  if (to && !all.cut.contains({from, *to})) {
                                      queue.push_back(
                                          {from, *to,
                                           peer_message_received{all.nodes[from].env.self.id,
                                                                 sent.message}});
                                  }
                              },
                              [&](const store_read& call) {
                                  ++all.counters.store_calls;
                                  queue.push_back({from, from, execute_read(all, call)});
                              },
                              [&](const store_write& call) {
                                  ++all.counters.store_calls;
                                  queue.push_back({from, from, execute_write(all, call)});
                              },
                              [&](const list_instances&) {
                                  ++all.counters.list_reads;
                                  queue.push_back({from, from, execute_list(all, all.nodes[from])});
                              },
                              [](const auto&) {}},
                   emitted);
    }
}

void deliver(fleet& all, std::deque<delivery> queue) {
    while (!queue.empty()) {
        const delivery next = std::move(queue.front());
        queue.pop_front();
        node& to = all.nodes[next.to];
        if (to.killed) {
            continue;
        }
        if (to.paused) {
            to.queued_events.push_back(next.happened);
            continue;
        }
        effects out;
        reduce_roster(to.state, to.env, next.happened, all.now, out);
        execute(all, next.to, out, queue);
    }
}

void count_violations(fleet& all) {
    for (const auto& key : all.keys) {
        if (actors(all, key).size() > 1) {
            ++all.counters.violations;
        }
    }
}

}  // namespace

fleet make_fleet() {
    fleet made;
    for (int i = 0; i < 24; ++i) {
        made.keys.push_back("key-" + std::to_string(i));
    }
    return made;
}

node& start_node(fleet& all, const std::string& id, const std::string& address) {
    node added;
    added.env.self = {{id}, address.empty() ? id + ":1" : address, {"z1"}};
    added.env.timing = all.timing;
    added.state = make_roster(added.env, all.now);
    const auto same = [&](const listed_instance& entry) {
        return entry.address == added.env.self.address;
    };
    std::erase_if(all.list, same);
    all.list.push_back({id, added.env.self.address, {"z1"}, "entry", false});
    all.nodes.push_back(std::move(added));
    return all.nodes.back();
}

void start_settled(fleet& all, const std::vector<std::string>& ids) {
    std::vector<member> members;
    for (const auto& id : ids) {
        members.push_back(start_node(all, id).env.self);
    }
    for (auto& instance : all.nodes) {
        instance.state = make_settled_roster(instance.env, members, 1, all.now);
    }
    all.object = detail::write_roster(all.nodes.front().state.newest, {});
    all.version = 1;
}

std::size_t index_of(const fleet& all, const std::string& id) {
    std::size_t index = 0;
    while (all.nodes.at(index).env.self.id.value != id) {
        ++index;
    }
    return index;
}

node& find_node(fleet& all, const std::string& id) {
    return all.nodes[index_of(all, id)];
}

void cut_link(fleet& all, const std::string& left, const std::string& right) {
    all.cut.emplace(index_of(all, left), index_of(all, right));
    all.cut.emplace(index_of(all, right), index_of(all, left));
}

void kill_node(fleet& all, const std::string& id) {
    find_node(all, id).killed = true;
}

void drop_from_list(fleet& all, const std::string& id) {
    std::erase_if(all.list, [&](const listed_instance& entry) { return entry.id == id; });
}

void pause_node(fleet& all, const std::string& id) {
    find_node(all, id).paused = true;
}

void resume_node(fleet& all, const std::string& id) {
    const auto index = index_of(all, id);
    node& resumed = all.nodes[index];
    resumed.paused = false;
    std::deque<delivery> queue;
    for (auto& queued : resumed.queued_events) {
        queue.push_back({index, index, std::move(queued)});
    }
    resumed.queued_events.clear();
    deliver(all, std::move(queue));
    count_violations(all);
}

void post_event(fleet& all, node& to, const event& happened) {
    const auto index = index_of(all, to.env.self.id.value);
    deliver(all, {{index, index, happened}});
}

void run_for(fleet& all, milliseconds duration) {
    for (const instant end = all.now + duration; all.now < end;) {
        all.now += all.timing.tick;
        for (std::size_t i = 0; i < all.nodes.size(); ++i) {
            if (!all.nodes[i].paused) {
                deliver(all, {{i, i, tick{}}});
            }
            count_violations(all);
        }
    }
}

std::string roster_text(const node& instance) {
    std::string text = instance.state.newest.settled ? "" : "?";
    for (const auto& entry : members(instance.state)) {
        text += (text.empty() || text == "?" ? "" : " ") + entry.id.value;
    }
    return text;
}

bool all_settled(const fleet& all, const std::string& ids) {
    return std::ranges::all_of(all.nodes, [&](const node& instance) {
        return instance.killed || instance.paused || roster_text(instance) == ids;
    });
}

std::vector<std::string> actors(const fleet& all, const std::string& key) {
    std::vector<std::string> acting;
    for (const auto& instance : all.nodes) {
        if (!instance.killed && !instance.paused &&
            may_act_as_owner(instance.state, instance.env, key, all.now)) {
            acting.push_back(instance.env.self.id.value);
        }
    }
    return acting;
}

}  // namespace cyclamenmount::testing
