//! Data about instances, upstreams and replicated documents.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <optional>
#include <string>
#include <vector>

namespace cyclamenmount {

//! One instance of this system, as its peers address it.
struct member {
    instance_id id;
    std::string address;  //!< IP:PORT of its peer listener
    zone_name zone;
    int millicores{0};  //!< available CPU in thousandths of a core; 0 if unknown

    bool operator==(const member&) const = default;
};

//! Membership roster: the agreed members of one cell. Stored in the object `roster/CELL`.
struct roster {
    generation_number generation{0};  //!< 0 if no roster has been read
    bool settled{false};              //!< true if active: the next generation may be proposed
    std::vector<member> members;      //!< sorted by id
    std::string proposal;             //!< unique id of the write that stored this value

    bool operator==(const roster&) const = default;
};

//! One entry of the platform's instance list. The list lags behind the actual instances.
struct listed_instance {
    std::string id;
    std::string address;  //!< IP:PORT
    zone_name zone;
    std::string role;  //!< `entry` for instances of this system, else the pool
    bool leaving{false};

    bool operator==(const listed_instance&) const = default;
};

enum class upstream_condition { cold, warm, leaving };

//! State of an upstream, as reported in its status or a response, or as declared by its owner.
struct upstream_report {
    upstream_id upstream;
    std::string incarnation;  //!< id of one start of the upstream process
    upstream_condition condition{upstream_condition::cold};
    //! Attempts in progress. For a cold upstream its owner's declaration includes queued attempts.
    int in_flight{0};
    int capacity{0};  //!< maximum number of concurrent attempts

    bool operator==(const upstream_report&) const = default;
};

//! Names of the replicated documents, also their object keys in the store.
namespace document_names {
inline constexpr const char* plans = "config/plans";
inline constexpr const char* allowances = "config/allowances";
inline constexpr const char* availability = "config/availability";
}  // namespace document_names

//! One change in a document's history. The latest changes are stored with the document.
struct change_record {
    std::string operation;   //!< unique id of the edit
    std::string who;         //!< operator's name
    std::string reason;      //!< the operator's reason
    std::string what;        //!< one short sentence
    std::int64_t at_ms{0};   //!< wall clock of the accepting instance, ms since the epoch
    object_version base{0};  //!< version that was edited

    bool operator==(const change_record&) const = default;
};

//! A versioned document that is replicated to all instances. The highest version wins.
struct document {
    std::string name;
    object_version version{0};
    std::string text;
    std::vector<change_record> changes;  //!< newest first

    bool operator==(const document&) const = default;
};

//! Takes a zone or an upstream out of service before the store has recorded it.
struct emergency_order {
    std::string operation;  //!< unique id of the edit that the order carries out
    zone_name zone;         //!< affected zone; empty for an upstream
    upstream_id upstream;   //!< affected upstream; empty for a zone
    std::string who;        //!< operator's name
    std::string reason;     //!< the operator's reason
    std::int64_t at_ms{0};  //!< wall clock of the accepting instance, ms since the epoch

    auto operator<=>(const emergency_order&) const = default;
};

//! Versions of the replicated state that an instance holds, sent in each ping and its reply.
struct known_versions {
    generation_number generation{0};  //!< generation of the newest roster
    bool settled{false};              //!< the newest roster's generation is active
    object_version plans{0};
    object_version allowances{0};
    object_version availability{0};
    std::uint64_t emergency_digest{0};   //!< digest of the emergency orders; 0 if none
    std::uint64_t quarantine_digest{0};  //!< digest of the quarantine's suspects; 0 if none

    bool operator==(const known_versions&) const = default;
};

}  // namespace cyclamenmount
