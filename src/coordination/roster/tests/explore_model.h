//! State of the model that is searched: three roster reducers, the packets in flight and the store.
#pragma once

#include "coordination/roster/tests/explore.h"

#include <array>
#include <memory>
#include <variant>
#include <vector>

namespace cyclamenmount::testing {

inline constexpr std::size_t node_count = 3;
inline constexpr std::size_t store_index = node_count;

//! A message between instances, a store call or its reply.
struct packet {
    std::size_t from{0};  //!< index of an instance, or `store_index`
    std::size_t to{0};    //!< index of an instance, or `store_index`
    std::variant<peer_message, store_read, store_write, store_replied> content;
    instant sent_at;
    bool delayed{false};  //!< held back by a fault
};

//! Copies share the immutable objects that the pointers refer to; a change replaces an object.
struct model_state {
    instant now{1000s};
    std::array<std::shared_ptr<const roster_state>, node_count> nodes;
    std::vector<std::shared_ptr<const packet>> channel;  //!< packets in flight, sorted by content
    std::array<bool, node_count> paused{};
    std::array<bool, node_count> cut{};         //!< no messages between nodes i and i+1
    std::array<bool, node_count> muted{};       //!< all roster notices from node i are lost
    std::shared_ptr<const std::string> object;  //!< JSON of the roster object in the store
    object_version version{1};                  //!< store version of the roster object
    bool store_down{false};
    int faults{0};  //!< faults so far on the path to this state
    int steps{0};   //!< time steps so far
};

model_state make_model(const exploration_config& config);

const environment& environment_of(std::size_t index);

//! Hash that is equal for states with the same future behaviour, whatever their absolute time.
std::uint64_t fingerprint_of(const model_state& model);

//! True if the packet is neither delayed nor addressed to a paused instance.
bool is_deliverable(const model_state& model, const packet& entry);

//! Delivers the packet at `index` of the channel.
void deliver_packet(model_state& model, std::size_t index);

//! Delivers all deliverable packets. The packets that result stay in the channel.
void deliver_round(model_state& model);

//! Advances time by one heartbeat and sends a tick to every instance that isn't paused.
void step_time(model_state& model);

//! True if two instances may act for the same key now. Paused ones count, since they may resume at
//! this moment.
bool violates_exclusivity(const model_state& model);

}  // namespace cyclamenmount::testing
