#include "coordination/roster/tests/explore_model.h"

#include "coordination/roster/internal/roster_object.h"
#include "types/overloaded.h"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace cyclamenmount::testing {

namespace {

constexpr milliseconds step{500};
constexpr milliseconds owner_lease = 3 * step;
constexpr milliseconds beyond_horizon{3600000};  // later than the end of any search
// Undelivered packets are dropped after this time.
constexpr milliseconds packet_lifetime = 10 * step;
constexpr std::int64_t max_offset_steps = 9;  // time differences beyond this count as equal

std::array<environment, node_count> make_environments() {
    std::array<environment, node_count> created;
    for (std::size_t i = 0; i < node_count; ++i) {
        const std::string id(1, static_cast<char>('a' + i));
        created[i].self = {{id}, id + ":1", {}};
        created[i].timing.tick = step;
        created[i].timing.heartbeat = step;
        created[i].timing.owner_lease = owner_lease;
        created[i].timing.lease_margin = 0ms;
        created[i].timing.suspect_after = 2 * step;
        created[i].timing.store_timeout = step;
    }
    return created;
}

const std::array<environment, node_count>& environments() {
    static const auto created = make_environments();
    return created;
}

//! One key for each of the six rendezvous orders of the three instances.
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
            order += ranked_owner(state, key, rank)->id.value;
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

//! Encodes the parts of a state as bytes for its fingerprint. Times are relative to `now`, in
//! steps.
struct encoder {
    std::string bytes;
    instant now;

    void add(std::int64_t value) {
        bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
    }

    void add(instant at) {
        add(std::clamp<std::int64_t>((at - now) / step, -max_offset_steps, max_offset_steps));
    }

    void add(const std::optional<instant>& at) {
        add(static_cast<std::int64_t>(at.has_value()));
        add(at.value_or(now));
    }

    void add(const roster& value) {
        std::int64_t mask = value.settled ? 1 : 0;
        for (const auto& entry : value.members) {
            mask |= 2LL << index_of(entry.address);
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
    for (const auto& [id, peer] : state.peers) {
        out.add(static_cast<std::int64_t>(id.value[0]));
        out.add(static_cast<std::int64_t>(peer.has_answered) * 2 + (peer.leaving ? 1 : 0));
        out.add(peer.last_answered_ping_at);
        out.add(static_cast<std::int64_t>(peer.versions.generation * 2) +
                (peer.versions.settled ? 1 : 0));
        out.add(peer.last_ping_at);
    }
    for (const auto& entry : state.pings_in_flight) {
        out.add(static_cast<std::int64_t>(state.sequence - entry.sequence));
        out.add(entry.at);
    }
    out.add(state.majority_acknowledged_at);
    out.add(state.change_pending_since);
    out.add(state.next_heartbeat);
    out.add(state.next_read);
    out.add(state.next_write);
    out.add(state.store_failing_since);
    out.add(state.last_tick);
    out.add(state.resumed_at);
    out.add(static_cast<std::int64_t>(state.read_requested) * 2 + (state.leaving ? 1 : 0));
    if (state.call_in_flight) {
        out.add(static_cast<std::int64_t>(state.call_in_flight->kind));
        out.add(state.call_in_flight->started_at);
        out.add(state.call_in_flight->value);
    }
}

//! True if the instance still waits for the reply to this store call.
bool is_awaited(const roster_state& state, const store_ticket& number) {
    return state.call_in_flight && state.call_in_flight->number == number;
}

void encode_content(encoder& out, const model_state& model, const packet& entry) {
    const auto sequence_of = [&](std::size_t node) {
        return static_cast<std::int64_t>(model.nodes[node]->sequence);
    };
    std::visit(
        overloaded{
            [&](const peer_message& message) {
                if (const auto* request = std::get_if<ping>(&message)) {
                    out.add(sequence_of(entry.from) - static_cast<std::int64_t>(request->sequence));
                    out.add(static_cast<std::int64_t>(request->versions.generation * 4) +
                            (request->versions.settled ? 2 : 0) + (request->leaving ? 1 : 0));
                } else if (const auto* reply = std::get_if<pong>(&message)) {
                    out.add(sequence_of(entry.to) - static_cast<std::int64_t>(reply->sequence));
                    out.add(static_cast<std::int64_t>(reply->versions.generation * 2) +
                            (reply->versions.settled ? 1 : 0));
                } else if (const auto* notice = std::get_if<roster_notice>(&message)) {
                    out.add(notice->value);
                    out.add(static_cast<std::int64_t>(notice->version));
                }
                out.add(static_cast<std::int64_t>(message.index()));
            },
            [&](const store_read& call) {
                out.add(is_awaited(*model.nodes[entry.from], call.number) ? 1 : 0);
            },
            [&](const store_write& call) {
                out.add(is_awaited(*model.nodes[entry.from], call.number) ? 3 : 2);
                out.add(static_cast<std::int64_t>(call.expected));
                out.add(detail::parse_roster(call.value).value().value);
            },
            [&](const store_replied& reply) {
                out.add(is_awaited(*model.nodes[entry.to], reply.number) ? 5 : 4);
                out.add(static_cast<std::int64_t>(reply.status));
                out.add(static_cast<std::int64_t>(reply.object.version));
            }},
        entry.content);
}

std::string encode_packet(const model_state& model, const packet& entry) {
    encoder out{{}, model.now};
    out.add(static_cast<std::int64_t>(entry.from * 8 + entry.to * 2 + (entry.delayed ? 1 : 0)));
    out.add(entry.sent_at);
    encode_content(out, model, entry);
    return out.bytes;
}

//! Drops expired packets and sorts the channel by content, so that equal states have equal
//! fingerprints.
void normalize_channel(model_state& model) {
    std::vector<std::pair<std::string, std::shared_ptr<const packet>>> keyed;
    for (const auto& entry : model.channel) {
        if (model.now - entry->sent_at <= packet_lifetime) {
            keyed.emplace_back(encode_packet(model, *entry), entry);
        }
    }
    std::ranges::sort(keyed, {},
                      [](const auto& entry) -> const std::string& { return entry.first; });
    model.channel.clear();
    for (auto& [key, entry] : keyed) {
        model.channel.push_back(std::move(entry));
    }
}

bool is_cut(const model_state& model, std::size_t from, std::size_t to) {
    return (to == (from + 1) % node_count && model.cut[from]) ||
           (from == (to + 1) % node_count && model.cut[to]);
}

void enqueue(model_state& model, packet entry) {
    entry.sent_at = model.now;
    model.channel.push_back(std::make_shared<const packet>(std::move(entry)));
}

void send(model_state& model, std::size_t from, const send_to_peer& sent) {
    const std::size_t to = index_of(sent.to.address);
    const bool muted = model.muted[from] && std::holds_alternative<roster_notice>(sent.message);
    if (!is_cut(model, from, to) && !muted) {
        enqueue(model, {from, to, sent.message, {}, false});
    }
}

//! Lets the reducer of instance `to` handle an event and enqueues the packets that result.
void post_event(model_state& model, std::size_t to, const event& happened) {
    auto changed = std::make_shared<roster_state>(*model.nodes[to]);
    effects out;
    reduce_roster(*changed, environments()[to], happened, model.now, out);
    model.nodes[to] = std::move(changed);
    for (const auto& entry : out) {
        std::visit(overloaded{[&](const send_to_peer& sent) { send(model, to, sent); },
                              [&](const store_read& call) {
                                  enqueue(model, {to, store_index, call, {}, false});
                              },
                              [&](const store_write& call) {
                                  enqueue(model, {to, store_index, call, {}, false});
                              },
                              [](const auto&) {}},
                   entry);
    }
}

store_replied execute(model_state& model, const store_read& call) {
    if (model.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    return {call.number, store_status::ok, {call.key, model.version, *model.object, false}};
}

store_replied execute(model_state& model, const store_write& call) {
    if (model.store_down) {
        return {call.number, store_status::unknown, {}};
    }
    if (call.expected != model.version) {
        return {call.number, store_status::conflict, {}};
    }
    model.object = std::make_shared<const std::string>(call.value);
    ++model.version;
    return {call.number, store_status::ok, {call.key, model.version, {}, false}};
}

//! Delivers a packet that has been removed from the channel.
void deliver(model_state& model, const packet& entry) {
    std::visit(
        overloaded{[&](const peer_message& message) {
                       post_event(
                           model, entry.to,
                           peer_message_received{environments()[entry.from].self.id, message});
                   },
                   [&](const store_replied& reply) { post_event(model, entry.to, reply); },
                   [&](const auto& call) {
                       enqueue(model, {store_index, entry.from, execute(model, call), {}, false});
                   }},
        entry.content);
}

}  // namespace

const environment& environment_of(std::size_t index) {
    return environments()[index];
}

model_state make_model(const exploration_config& config) {
    model_state model;
    std::vector<member> first;
    std::vector<listed_instance> listed;
    for (std::size_t i = 0; i < node_count; ++i) {
        const member& self = environments()[i].self;
        listed.push_back({self.id.value, self.address, {}, "entry", false});
        if (i < static_cast<std::size_t>(config.members)) {
            first.push_back(self);
        }
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        auto state = make_settled_roster(environments()[i], first, 1, model.now);
        state.rules = config.rules;
        state.listed = listed;
        state.has_instance_list = true;
        state.next_list_read = model.now + beyond_horizon;
        if (config.last_is_leaving && i + 1 == node_count) {
            state.leaving = true;
            state.leaving_since = model.now;
        }
        model.nodes[i] = std::make_shared<const roster_state>(std::move(state));
    }
    model.object =
        std::make_shared<const std::string>(detail::write_roster(model.nodes[0]->newest, {}));
    return model;
}

std::uint64_t fingerprint_of(const model_state& model) {
    encoder out{{}, model.now};
    out.bytes.reserve(2048);
    for (const auto& entry : model.nodes) {
        encode_node(out, *entry);
    }
    for (const auto& entry : model.channel) {
        out.bytes += encode_packet(model, *entry);
    }
    for (std::size_t i = 0; i < node_count; ++i) {
        out.add((model.paused[i] ? 4 : 0) + (model.cut[i] ? 2 : 0) + (model.muted[i] ? 1 : 0));
    }
    out.add(static_cast<std::int64_t>(model.version) * 2 + (model.store_down ? 1 : 0));
    out.add(model.faults);
    out.add(model.steps);
    return XXH3_64bits(out.bytes.data(), out.bytes.size());
}

bool is_deliverable(const model_state& model, const packet& entry) {
    return !entry.delayed && (entry.to == store_index || !model.paused[entry.to]);
}

void deliver_packet(model_state& model, std::size_t index) {
    const auto entry = model.channel[index];
    model.channel.erase(model.channel.begin() + static_cast<std::ptrdiff_t>(index));
    deliver(model, *entry);
    normalize_channel(model);
}

void deliver_round(model_state& model) {
    std::vector<std::shared_ptr<const packet>> delivered;
    std::erase_if(model.channel, [&](const auto& entry) {
        if (!is_deliverable(model, *entry)) {
            return false;
        }
        delivered.push_back(entry);
        return true;
    });
    for (const auto& entry : delivered) {
        deliver(model, *entry);
    }
    normalize_channel(model);
}

void step_time(model_state& model) {
    model.now += step;
    ++model.steps;
    for (std::size_t i = 0; i < node_count; ++i) {
        if (!model.paused[i]) {
            post_event(model, i, tick{});
        }
    }
    normalize_channel(model);
}

bool violates_exclusivity(const model_state& model) {
    static const auto keys = make_keys();
    std::vector<std::size_t> with_quorum;
    for (std::size_t i = 0; i < node_count; ++i) {
        if (has_quorum(*model.nodes[i], owner_lease, model.now)) {
            with_quorum.push_back(i);
        }
    }
    return with_quorum.size() > 1 && std::ranges::any_of(keys, [&](const std::string& key) {
               return std::ranges::count_if(with_quorum, [&](std::size_t i) {
                          return may_act_as_owner(*model.nodes[i], environments()[i], key,
                                                  model.now);
                      }) > 1;
           });
}

}  // namespace cyclamenmount::testing
