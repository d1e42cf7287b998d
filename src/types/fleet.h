//! What instances know of each other and of the upstreams, as plain data.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <optional>
#include <string>
#include <vector>

namespace cyclamenmount {

//! One entry instance of the system.
struct member {
    instance_id id;
    std::string address;  //!< IP:PORT of its peer listener
    zone_name zone;
    int millicores{0};  //!< what its machine gives it; 0 if unknown

    bool operator==(const member&) const = default;
};

//! The agreed members of one cell. Held in the object `roster/CELL`.
struct roster {
    generation_number generation{0};  //!< 0: none known
    bool settled{false};              //!< the generation is active; the next may be proposed
    std::vector<member> members;      //!< sorted by id
    std::string proposal;  //!< unique id of the write, to recognise it after a lost answer

    bool operator==(const roster&) const = default;
};

//! One line of the platform's instance list, which lags.
struct listed_instance {
    std::string id;
    std::string address;  //!< IP:PORT
    zone_name zone;
    std::string role;  //!< `entry` for our own instances, else the pool
    bool leaving{false};

    bool operator==(const listed_instance&) const = default;
};

enum class upstream_condition { cold, warm, leaving };

//! An upstream's own report, from its status or carried on a response.
struct upstream_report {
    upstream_id upstream;
    std::string incarnation;  //!< drawn anew at each start of the upstream
    upstream_condition condition{upstream_condition::cold};
    int in_flight{0};
    int capacity{0};

    bool operator==(const upstream_report&) const = default;
};

//! Names of the replicated documents, which are also their object keys.
namespace document_names {
inline constexpr const char* plans = "config/plans";
inline constexpr const char* allowances = "config/allowances";
inline constexpr const char* availability = "config/availability";
}  // namespace document_names

//! One change in a document's history; the last ones ride in the object.
struct change_record {
    std::string operation;  //!< unique id of the edit
    std::string who;
    std::string reason;
    std::string what;        //!< one short sentence
    std::int64_t at_ms{0};   //!< wall clock of the accepting instance, ms since the epoch
    object_version base{0};  //!< the version that the operator had read

    bool operator==(const change_record&) const = default;
};

//! A versioned document that is in force everywhere. The highest version wins.
struct document {
    std::string name;
    object_version version{0};
    std::string text;
    std::vector<change_record> changes;  //!< newest first

    bool operator==(const document&) const = default;
};

//! A restrictive order that is in force before the store has recorded it.
struct emergency_order {
    std::string operation;  //!< unique id
    zone_name zone;         //!< either zone
    upstream_id upstream;   //!< or upstream
    std::string who;
    std::string reason;
    std::int64_t at_ms{0};

    auto operator<=>(const emergency_order&) const = default;
};

//! What an instance has, as told in every heartbeat.
struct known_versions {
    generation_number generation{0};
    bool settled{false};
    object_version plans{0};
    object_version allowances{0};
    object_version availability{0};
    std::uint64_t emergency_digest{0};   //!< of the set of emergency orders held
    std::uint64_t quarantine_digest{0};  //!< of the set of suspects held

    bool operator==(const known_versions&) const = default;
};

}  // namespace cyclamenmount
