//! Three reducers, the packets between them and the store, as one value.
#pragma once

#include "coordination/roster/tests/explore.h"

#include <array>
#include <memory>
#include <variant>
#include <vector>

namespace cyclamenmount::testing {

inline constexpr std::size_t node_count = 3;
inline constexpr std::size_t store_index = node_count;

//! A message, or a call to the store or its reply.
struct packet {
    std::size_t from{0};
    std::size_t to{0};
    std::variant<peer_message, store_read, store_write, store_replied> content;
    instant sent_at;
    bool held{false};
};

//! Parts are shared between worlds and replaced when they change.
struct world {
    instant now{1000s};
    std::array<std::shared_ptr<const roster_state>, node_count> nodes;
    std::vector<std::shared_ptr<const packet>> channel;  //!< in a fixed order
    std::array<bool, node_count> paused{};
    std::array<bool, node_count> cut{};    //!< link from node i to the next one, both ways
    std::array<bool, node_count> muted{};  //!< notices that node i sends are lost
    std::shared_ptr<const std::string> object;
    object_version version{1};
    bool store_down{false};
    int faults{0};
    int steps{0};
};

world make_world(const exploration& wanted);

const environment& environment_of(std::size_t index);

//! Equal for worlds that behave alike from here on, whatever the absolute time.
std::uint64_t fingerprint_of(const world& of);

bool is_deliverable(const world& in, const packet& one);

//! Hands packet `index` over.
void deliver_packet(world& in, std::size_t index);

//! Hands over all that can be; what follows from it is under way afterwards.
void deliver_round(world& in);

//! A heartbeat passes; all that aren't paused get a tick.
void step_time(world& in);

//! True if two may act for one key now, or could as soon as they woke.
bool is_violated(const world& in);

}  // namespace cyclamenmount::testing
