//! What an instance asks the packer of a pool for.
#pragma once

#include "serving/types/catalogue.h"
#include "types/peer_messages.h"

#include <compare>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenmount {

//! Unique over the fleet.
struct order_id {
    instance_id asker;
    std::uint64_t number{0};

    auto operator<=>(const order_id&) const = default;
};

using call_number = std::uint64_t;

//! All pieces of one stage of one request.
struct piece_order {
    order_id id;
    std::string request;
    std::size_t stage{0};
    int pieces{0};
    std::string key;                                         //!< for stages without inputs
    std::shared_ptr<const std::vector<std::string>> inputs;  //!< null if there are none
    std::uint64_t result_bytes{0};                           //!< of one piece
    instant aim{};                   //!< made by then, the request can still meet its objective
    instant needed_by{};             //!< made later, the request can't be answered any more
    int priority{0};                 //!< 0 is the most urgent
    int depth{0};                    //!< stages of the request that are done already
    zone_name zone;                  //!< where it is best made; empty if that doesn't matter
    std::uint64_t bytes_to_zone{0};  //!< that cross zones if it is made elsewhere
};

//! One upstream of the pool.
struct pool_upstream {
    upstream_id id;
    std::string address;
    zone_name zone;

    bool operator==(const pool_upstream&) const = default;
};

}  // namespace cyclamenmount
