//! What one instance believes of the fleet: news from the platform's store in, views out.
//!
//! A reducer without I/O. Versions only rise within a process. An upstream that the store no longer
//! lists after an outage is kept for a while, since live upstreams register again.
#pragma once

#include "serving/types/fleet_view.h"

#include <span>
#include <string>
#include <variant>

namespace cyclamenmount {

struct catalogue_read {
    catalogue lists;
};

//! All entries, as of one revision of the store.
struct upstreams_listed {
    std::vector<serving_upstream> upstreams;
    std::uint64_t revision{0};
};

struct upstream_written {
    serving_upstream upstream;
    std::uint64_t revision{0};
};

//! The entry is gone, or no longer names an upstream that can be used.
struct upstream_removed {
    upstream_id id;
    std::uint64_t revision{0};
};

struct zones_out_listed {
    std::set<zone_name> zones;
};

struct zone_taken_out {
    zone_name zone;
};

struct zone_returned {
    zone_name zone;
};

struct members_listed {
    std::vector<member> members;
};

struct member_written {
    member value;
};

struct member_removed {
    std::string address;
};

struct store_lost {};

struct store_regained {};

//! Time has passed.
struct beliefs_tick {};

using store_news =
    std::variant<catalogue_read, upstreams_listed, upstream_written, upstream_removed,
                 zones_out_listed, zone_taken_out, zone_returned, members_listed, member_written,
                 member_removed, store_lost, store_regained, beliefs_tick>;

struct known_upstream {
    serving_upstream value;
    std::uint64_t revision{0};
    bool is_gone{false};
    instant dropped_at{};  //!< when an entry that is gone stops being used
};

struct beliefs {
    std::shared_ptr<const catalogue> lists;
    std::map<upstream_id, known_upstream> upstreams;
    std::set<zone_name> zones_out;
    std::map<std::string, member> members;  //!< by address
    bool upstreams_known{false};
    bool store_reached{false};
    instant store_regained_at{};
    std::uint64_t views{0};
};

//! One change of belief, for the log.
struct belief_change {
    std::string what;
    std::string subject;
    std::uint64_t version{0};
};

struct beliefs_outcome {
    fleet_view_ptr view;  //!< null if nothing changed
    std::vector<belief_change> changes;
};

//! How long after the store's return an entry that is missing may still come back.
inline constexpr milliseconds reregistration_time{2000};

//! Several pieces of news that came together make one view, as a view holds all upstreams.
beliefs_outcome reduce(beliefs& state, std::span<const store_news> news, instant now);

beliefs_outcome reduce(beliefs& state, const store_news& news, instant now);

}  // namespace cyclamenmount
