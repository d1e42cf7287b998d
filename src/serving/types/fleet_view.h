//! Immutable snapshot of the serving configuration and the fleet, shared by all threads.
#pragma once

#include "crash_quarantine/crash_quarantine.h"
#include "serving/types/serving_config.h"
#include "types/fleet.h"
#include "types/rollout.h"
#include "types/stream_origin.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! Registration of one upstream, as last reported to the store.
struct serving_upstream {
    upstream_id id;
    pool_name pool;
    std::string address;  //!< IP:PORT
    zone_name zone;
    software_version version;        //!< unlike all others if the entry names none
    int slots{1};                    //!< requests that the upstream runs at the same time
    bool is_leaving{false};          //!< draining: it gets no new work
    std::uint64_t started_at_ms{0};  //!< Unix time in ms; tells apart incarnations with one id
    instant cold_until{};            //!< the upstream is cold and takes limited load until then

    bool operator==(const serving_upstream&) const = default;
};

//! One version of the view; a new one is published for every change.
struct fleet_view {
    //! Null until one was read.
    std::shared_ptr<const serving_config> config;
    std::map<pool_name, std::vector<serving_upstream>> pools;  //!< usable upstreams by pool
    std::vector<member> members;  //!< instances of the fleet, including this one
    //! Keys of requests that were in progress when upstreams crashed; never null.
    std::shared_ptr<const crash_suspects> suspects{std::make_shared<const crash_suspects>()};
    //! Software versions that may begin resumable streams, by pool.
    pool_versions stream_versions;
    rollout_orders rollouts;      //!< orders to move traffic between software versions
    bool upstreams_known{false};  //!< the list of upstreams was read at least once
    bool members_known{false};    //!< the list of instances was read at least once
    std::uint64_t number{0};      //!< sequence number of the view within this process
};

using fleet_view_ptr = std::shared_ptr<const fleet_view>;

//! True if the instance has a part of what the members divide among them. One that isn't listed has
//! none, as the others don't count it. Without a list, it acts alone.
inline bool has_share(const fleet_view& view, std::string_view address) {
    return !view.members_known ||
           std::ranges::find(view.members, address, &member::address) != view.members.end();
}

}  // namespace cyclamenmount
