#include "coordination/roster/tests/explore_world.h"

#include "coordination/roster/internal/roster_object.h"
#include "types/overloaded.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds step{500};
constexpr milliseconds fence = 3 * step;
constexpr milliseconds far{3600000};
constexpr milliseconds packet_life = 10 * step;  // then lost
constexpr std::int64_t clip_steps = 9;           // times further off all behave alike

std::array<environment, node_count> make_environments() {
    std::array<environment, node_count> made;
    for (std::size_t i = 0; i < node_count; ++i) {
        const std::string id(1, static_cast<char>('a' + i));
        made[i].self = {{id}, id + ":1", {}};
        made[i].timing.tick = step;
        made[i].timing.heartbeat = step;
        made[i].timing.fence = fence;
        made[i].timing.fence_margin = 0ms;
        made[i].timing.suspect_after = 2 * step;
        made[i].timing.store_timeout = step;
    }
    return made;
}

const std::array<environment, node_count>& environments() {
    static const auto made = make_environments();
    return made;
}

//! One key for each order in which the three may be its home.
std::vector<std::string> make_keys() {
    std::vector<std::string> keys;
    std::set<std::string> orders;
    std::vector<member> all;
    for (const auto& env : environments()) {
        all.push_back(env.self);
    }
    const auto state = make_settled_roster(environments()[0], all, 1, instant(1s));
    for (int i = 0; orders.size() < 6; ++i) {
        const std::string key = "k" + std::to_string(i);
        std::string order;
        for (std::size_t rank = 0; rank < node_count; ++rank) {
            order += ranked_home(state, key, rank)->id.value;
        }
        if (orders.insert(order).second) {
            keys.push_back(key);
        }
    }
    return keys;
}

std::size_t index_of(const std::string& address) {
    return static_cast<std::size_t>(address.at(0) - 'a');
}

//! Appends numbers to the bytes that a world's fingerprint is made of.
struct encoder {
    std::string bytes;
    instant now;

    void add(std::int64_t value) {
        bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
    }

    void add(instant at) {
        add(std::clamp<std::int64_t>((at - now) / step, -clip_steps, clip_steps));
    }

    void add(const std::optional<instant>& at) {
        add(static_cast<std::int64_t>(at.has_value()));
        add(at.value_or(now));
    }

    void add(const roster& value) {
        std::int64_t mask = value.settled ? 1 : 0;
        for (const auto& one : value.members) {
            mask |= 2LL << index_of(one.address);
        }
        add(static_cast<std::int64_t>(value.generation));
        add(mask);
    }
};

void encode_node(encoder& out, const roster_state& state) {
    out.add(state.newest);
    out.add(static_cast<std::int64_t>(state.newest_version));
    out.add(state.previous);
    out.add(state.adopted_at);
    for (const auto& [id, peer] : state.heard) {
        out.add(static_cast<std::int64_t>(id.value[0]));
        out.add(static_cast<std::int64_t>(peer.answered) * 2 + (peer.leaving ? 1 : 0));
        out.add(peer.asked_at);
        out.add(static_cast<std::int64_t>(peer.versions.generation * 2) +
                (peer.versions.settled ? 1 : 0));
        out.add(peer.pinged_at);
    }
    for (const auto& one : state.pings_in_flight) {
        out.add(static_cast<std::int64_t>(state.sequence - one.sequence));
        out.add(one.at);
    }
    out.add(state.majority_acknowledged_at);
    out.add(state.change_wanted_at);
    out.add(state.next_heartbeat);
    out.add(state.next_read);
    out.add(state.next_write);
    out.add(state.store_failing_since);
    out.add(state.last_tick);
    out.add(state.awake_since);
    out.add(static_cast<std::int64_t>(state.read_wanted) * 2 + (state.leaving ? 1 : 0));
    if (state.call_in_flight) {
        out.add(static_cast<std::int64_t>(state.call_in_flight->kind));
        out.add(state.call_in_flight->since);
        out.add(state.call_in_flight->value);
    }
}

//! True if the call that a packet belongs to is still waited for.
bool is_awaited(const roster_state& state, const store_ticket& number) {
    return state.call_in_flight && state.call_in_flight->number == number;
}

void encode_content(encoder& out, const world& in, const packet& one) {
    const auto sequence_of = [&](std::size_t node) {
        return static_cast<std::int64_t>(in.nodes[node]->sequence);
    };
    std::visit(
        overloaded{
            [&](const peer_message& message) {
                if (const auto* asked = std::get_if<ping>(&message)) {
                    out.add(sequence_of(one.from) - static_cast<std::int64_t>(asked->sequence));
                    out.add(static_cast<std::int64_t>(asked->versions.generation * 4) +
                            (asked->versions.settled ? 2 : 0) + (asked->leaving ? 1 : 0));
                } else if (const auto* answer = std::get_if<pong>(&message)) {
                    out.add(sequence_of(one.to) - static_cast<std::int64_t>(answer->sequence));
                    out.add(static_cast<std::int64_t>(answer->versions.generation * 2) +
                            (answer->versions.settled ? 1 : 0));
                } else if (const auto* notice = std::get_if<roster_notice>(&message)) {
                    out.add(notice->value);
                    out.add(static_cast<std::int64_t>(notice->version));
                }
                out.add(static_cast<std::int64_t>(message.index()));
            },
            [&](const store_read& call) {
                out.add(is_awaited(*in.nodes[one.from], call.number) ? 1 : 0);
            },
            [&](const store_write& call) {
                out.add(is_awaited(*in.nodes[one.from], call.number) ? 3 : 2);
                out.add(static_cast<std::int64_t>(call.expected));
                out.add(detail::parse_roster(call.value).value().value);
            },
            [&](const store_replied& reply) {
                out.add(is_awaited(*in.nodes[one.to], reply.number) ? 5 : 4);
                out.add(static_cast<std::int64_t>(reply.status));
                out.add(static_cast<std::int64_t>(reply.object.version));
            }},
        one.content);
}

std::string encode_packet(const world& in, const packet& one) {
    encoder out{{}, in.now};
    out.add(static_cast<std::int64_t>(one.from * 8 + one.to * 2 + (one.held ? 1 : 0)));
    out.add(one.sent_at);
    encode_content(out, in, one);
    return out.bytes;
}

//! Puts the channel into an order that depends on its contents only.
void sort_channel(world& in) {
    std::vector<std::pair<std::string, std::shared_ptr<const packet>>> keyed;
    for (const auto& one : in.channel) {
        if (in.now - one->sent_at <= packet_life) {
            keyed.emplace_back(encode_packet(in, *one), one);
        }
    }
    std::ranges::sort(keyed, {}, [](const auto& one) -> const std::string& { return one.first; });
    in.channel.clear();
    for (auto& [key, one] : keyed) {
        in.channel.push_back(std::move(one));
    }
}

bool is_cut(const world& in, std::size_t from, std::size_t to) {
    return (to == (from + 1) % node_count && in.cut[from]) ||
           (from == (to + 1) % node_count && in.cut[to]);
}

void put(world& in, packet one) {
    one.sent_at = in.now;
    in.channel.push_back(std::make_shared<const packet>(std::move(one)));
}

void send(world& in, std::size_t from, const send_to_peer& wanted) {
    const std::size_t to = index_of(wanted.to.address);
    const bool muted = in.muted[from] && std::holds_alternative<roster_notice>(wanted.message);
    if (!is_cut(in, from, to) && !muted) {
        put(in, {from, to, wanted.message, {}, false});
    }
}

void give(world& in, std::size_t to, const event& happened) {
    auto changed = std::make_shared<roster_state>(*in.nodes[to]);
    effects out;
    reduce_roster(*changed, environments()[to], happened, in.now, out);
    in.nodes[to] = std::move(changed);
    for (const auto& one : out) {
        std::visit(overloaded{[&](const send_to_peer& wanted) { send(in, to, wanted); },
                              [&](const store_read& call) {
                                  put(in, {to, store_index, call, {}, false});
                              },
                              [&](const store_write& call) {
                                  put(in, {to, store_index, call, {}, false});
                              },
                              [](const auto&) {}},
                   one);
    }
}

store_replied carry_out(world& in, const store_read& call) {
    if (in.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    return {call.number, store_status::ok, {call.key, in.version, *in.object, false}};
}

store_replied carry_out(world& in, const store_write& call) {
    if (in.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (call.expected != in.version) {
        return {call.number, store_status::conflict, {}};
    }
    in.object = std::make_shared<const std::string>(call.value);
    ++in.version;
    return {call.number, store_status::ok, {call.key, in.version, {}, false}};
}

//! Hands over a packet that has been taken out of the channel.
void hand_over(world& in, const packet& one) {
    std::visit(
        overloaded{
            [&](const peer_message& message) {
                give(in, one.to, peer_message_received{environments()[one.from].self.id, message});
            },
            [&](const store_replied& reply) { give(in, one.to, reply); },
            [&](const auto& call) {
                put(in, {store_index, one.from, carry_out(in, call), {}, false});
            }},
        one.content);
}

}  // namespace

const environment& environment_of(std::size_t index) {
    return environments()[index];
}

world make_world(const exploration& wanted) {
    world made;
    std::vector<member> first;
    std::vector<listed_instance> listed;
    for (std::size_t i = 0; i < node_count; ++i) {
        const member& self = environments()[i].self;
        listed.push_back({self.id.value, self.address, {}, "entry", false});
        if (i < static_cast<std::size_t>(wanted.members)) {
            first.push_back(self);
        }
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        auto state = make_settled_roster(environments()[i], first, 1, made.now);
        state.rules = wanted.rules;
        state.listed = listed;
        state.listed_once = true;
        state.next_list = made.now + far;
        if (wanted.last_leaves && i + 1 == node_count) {
            state.leaving = true;
            state.leaving_since = made.now;
        }
        made.nodes[i] = std::make_shared<const roster_state>(std::move(state));
    }
    made.object =
        std::make_shared<const std::string>(detail::write_roster(made.nodes[0]->newest, {}));
    return made;
}

std::uint64_t fingerprint_of(const world& of) {
    encoder out{{}, of.now};
    out.bytes.reserve(2048);
    for (const auto& one : of.nodes) {
        encode_node(out, *one);
    }
    for (const auto& one : of.channel) {
        out.bytes += encode_packet(of, *one);
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        out.add((of.paused[i] ? 4 : 0) + (of.cut[i] ? 2 : 0) + (of.muted[i] ? 1 : 0));
    }
    out.add(static_cast<std::int64_t>(of.version) * 2 + (of.store_down ? 1 : 0));
    out.add(of.faults);
    out.add(of.steps);
    return XXH3_64bits(out.bytes.data(), out.bytes.size());
}

bool is_deliverable(const world& in, const packet& one) {
    return !one.held && (one.to == store_index || !in.paused[one.to]);
}

void deliver_packet(world& in, std::size_t index) {
    const auto one = in.channel[index];
    in.channel.erase(in.channel.begin() + static_cast<std::ptrdiff_t>(index));
    hand_over(in, *one);
    sort_channel(in);
}

void deliver_round(world& in) {
    std::vector<std::shared_ptr<const packet>> delivered;
    std::erase_if(in.channel, [&](const auto& one) {
        if (!is_deliverable(in, *one)) {
            return false;
        }
        delivered.push_back(one);
        return true;
    });
    for (const auto& one : delivered) {
        hand_over(in, *one);
    }
    sort_channel(in);
}

void step_time(world& in) {
    in.now += step;
    ++in.steps;
    for (std::size_t i = 0; i < node_count; ++i) {
        if (!in.paused[i]) {
            give(in, i, tick{});
        }
    }
    sort_channel(in);
}

bool is_violated(const world& in) {
    static const auto keys = make_keys();
    std::vector<std::size_t> able;
    for (std::size_t i = 0; i < node_count; ++i) {
        if (hears_majority(*in.nodes[i], fence, in.now)) {
            able.push_back(i);
        }
    }
    return able.size() > 1 && std::ranges::any_of(keys, [&](const std::string& key) {
               return std::ranges::count_if(able, [&](std::size_t i) {
                          return may_act(*in.nodes[i], environments()[i], key, in.now);
                      }) > 1;
           });
}

}  // namespace cyclamenmount::testing
