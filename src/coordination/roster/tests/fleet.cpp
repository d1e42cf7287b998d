#include "coordination/roster/tests/fleet.h"

#include "coordination/roster/internal/roster_object.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount::testing {

namespace {

struct parcel {
    std::size_t from;
    std::size_t to;
    event happened;
};

store_replied answer_read(const fleet& of, const store_read& call) {
    if (of.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (of.version == 0) {
        return {call.number, store_status::missing, {}};
    }
    return {call.number, store_status::ok, {call.key, of.version, of.object, false}};
}

store_replied answer_write(fleet& of, const store_write& call) {
    if (of.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (call.expected != of.version) {
        return {call.number, store_status::conflict, {}};
    }
    of.object = call.value;
    ++of.version;
    if (of.lose_answers > 0) {
        --of.lose_answers;
        return {call.number, store_status::unknown, {}};
    }
    return {call.number, store_status::ok, {call.key, of.version, {}, false}};
}

instances_listed answer_list(const fleet& of, const node& asking) {
    if (of.store_down) {
        return {store_status::unknown, {}};
    }
    return {store_status::ok, asking.own_list.value_or(of.list)};
}

//! Whoever listens at the address; the newest process if several had it.
std::optional<std::size_t> listener(const fleet& of, const member& to) {
    for (std::size_t i = of.nodes.size(); i-- > 0;) {
        const node& one = of.nodes[i];
        if (!one.killed && one.env.self.address == to.address &&
            (to.id.empty() || to.id == one.env.self.id)) {
            return i;
        }
    }
    return std::nullopt;
}

void carry_out(fleet& of, std::size_t from, const effects& wanted, std::deque<parcel>& queue) {
    for (const auto& one : wanted) {
        std::visit(overloaded{[&](const send_to_peer& sent) {
                                  ++of.counters.messages;
                                  const auto to = listener(of, sent.to);
                                  if (to && !of.cut.contains({from, *to})) {
                                      queue.push_back(
                                          {from, *to,
                                           peer_message_received{of.nodes[from].env.self.id,
                                                                 sent.message}});
                                  }
                              },
                              [&](const store_read& call) {
                                  ++of.counters.store_calls;
                                  queue.push_back({from, from, answer_read(of, call)});
                              },
                              [&](const store_write& call) {
                                  ++of.counters.store_calls;
                                  queue.push_back({from, from, answer_write(of, call)});
                              },
                              [&](const list_instances&) {
                                  ++of.counters.list_reads;
                                  queue.push_back({from, from, answer_list(of, of.nodes[from])});
                              },
                              [](const auto&) {}},
                   one);
    }
}

void deliver(fleet& of, std::deque<parcel> queue) {
    while (!queue.empty()) {
        const parcel next = std::move(queue.front());
        queue.pop_front();
        node& to = of.nodes[next.to];
        if (to.killed) {
            continue;
        }
        if (to.paused) {
            to.waiting.push_back(next.happened);
            continue;
        }
        effects out;
        reduce_roster(to.state, to.env, next.happened, of.now, out);
        carry_out(of, next.to, out, queue);
    }
}

void count_violations(fleet& of) {
    for (const auto& key : of.keys) {
        if (actors(of, key).size() > 1) {
            ++of.counters.violations;
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

node& start_node(fleet& of, const std::string& id, const std::string& address) {
    node added;
    added.env.self = {{id}, address.empty() ? id + ":1" : address, {"z1"}};
    added.env.timing = of.timing;
    added.state = make_roster(added.env, of.now);
    const auto same = [&](const listed_instance& one) {
        return one.address == added.env.self.address;
    };
    std::erase_if(of.list, same);
    of.list.push_back({id, added.env.self.address, {"z1"}, "entry", false});
    of.nodes.push_back(std::move(added));
    return of.nodes.back();
}

void start_settled(fleet& of, const std::vector<std::string>& ids) {
    std::vector<member> members;
    for (const auto& id : ids) {
        members.push_back(start_node(of, id).env.self);
    }
    for (auto& one : of.nodes) {
        one.state = make_settled_roster(one.env, members, 1, of.now);
    }
    of.object = detail::write_roster(of.nodes.front().state.newest, {});
    of.version = 1;
}

std::size_t index_of(const fleet& of, const std::string& id) {
    std::size_t index = 0;
    while (of.nodes.at(index).env.self.id.value != id) {
        ++index;
    }
    return index;
}

node& find_node(fleet& of, const std::string& id) {
    return of.nodes[index_of(of, id)];
}

void cut_link(fleet& of, const std::string& one, const std::string& other) {
    of.cut.emplace(index_of(of, one), index_of(of, other));
    of.cut.emplace(index_of(of, other), index_of(of, one));
}

void kill_node(fleet& of, const std::string& id) {
    find_node(of, id).killed = true;
}

void drop_from_list(fleet& of, const std::string& id) {
    std::erase_if(of.list, [&](const listed_instance& one) { return one.id == id; });
}

void pause_node(fleet& of, const std::string& id) {
    find_node(of, id).paused = true;
}

void wake_node(fleet& of, const std::string& id) {
    const auto index = index_of(of, id);
    node& woken = of.nodes[index];
    woken.paused = false;
    std::deque<parcel> queue;
    for (auto& one : woken.waiting) {
        queue.push_back({index, index, std::move(one)});
    }
    woken.waiting.clear();
    deliver(of, std::move(queue));
    count_violations(of);
}

void give(fleet& of, node& to, const event& happened) {
    const auto index = index_of(of, to.env.self.id.value);
    deliver(of, {{index, index, happened}});
}

void run_for(fleet& of, milliseconds duration) {
    for (const instant end = of.now + duration; of.now < end;) {
        of.now += of.timing.tick;
        for (std::size_t i = 0; i < of.nodes.size(); ++i) {
            if (!of.nodes[i].paused) {
                deliver(of, {{i, i, tick{}}});
            }
            count_violations(of);
        }
    }
}

std::string roster_text(const node& of) {
    std::string text = of.state.newest.settled ? "" : "?";
    for (const auto& one : members(of.state)) {
        text += (text.empty() || text == "?" ? "" : " ") + one.id.value;
    }
    return text;
}

bool all_settled(const fleet& of, const std::string& ids) {
    return std::ranges::all_of(of.nodes, [&](const node& one) {
        return one.killed || one.paused || roster_text(one) == ids;
    });
}

std::vector<std::string> actors(const fleet& of, const std::string& key) {
    std::vector<std::string> acting;
    for (const auto& one : of.nodes) {
        if (!one.killed && !one.paused && may_act(one.state, one.env, key, of.now)) {
            acting.push_back(one.env.self.id.value);
        }
    }
    return acting;
}

}  // namespace cyclamenmount::testing
