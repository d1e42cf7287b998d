//! Orders to move a pool's traffic to another software version.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! Phase of an order as stored. The last two are final.
enum class rollout_phase { running, completed, rolled_back };

constexpr std::string_view enum_name(rollout_phase value) {
    switch (value) {
    case rollout_phase::running:
        return "running";
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

//! An order as read from the store.
struct rollout_order {
    std::string name;
    std::string created;  //!< tells apart orders with one name
    pool_name pool;
    software_version target;
    milliseconds duration{0};
    std::optional<rollout_phase> phase;  //!< none: the order has no status for this target yet
    std::string status_key;              //!< key of the order that the status is for; may be empty
    milliseconds started_ago{0};  //!< by the wall clock and the status; 0 if the status lacks it
    std::string fault;            //!< why the order can't be carried out; empty if it can

    bool operator==(const rollout_order&) const = default;
};

//! Identity of an order: a new order over an old one has another key.
inline std::string key_of(const rollout_order& order) {
    return order.name + '|' + order.created + '|' + order.target.value + '|' +
           std::to_string(order.duration.count());
}

using rollout_orders = std::map<std::string, rollout_order>;  //!< by name

}  // namespace cyclamenmount
