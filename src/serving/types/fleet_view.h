//! One consistent picture of the fleet, shared by all threads and never changed.
#pragma once

#include "serving/types/catalogue.h"
#include "types/fleet.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace cyclamenmount {

//! One back end instance, as it last told the platform.
struct serving_upstream {
    upstream_id id;
    pool_name pool;
    std::string address;  //!< IP:PORT
    zone_name zone;
    int slots{1};
    bool is_leaving{false};
    std::uint64_t started_at_ms{0};  //!< Unix time; differs between incarnations with one id
    instant cold_until{};            //!< tolerates little work before

    bool operator==(const serving_upstream&) const = default;
};

struct fleet_view {
    std::shared_ptr<const catalogue> lists;                    //!< none before the first is known
    std::map<pool_name, std::vector<serving_upstream>> pools;  //!< upstreams that may get work
    std::vector<member> members;                               //!< instances, this one included
    bool upstreams_known{false};
    bool is_store_reached{false};  //!< the last call to the platform's store was answered
    std::uint64_t number{0};       //!< counts the views of this process
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

}  // namespace cyclamenmount
