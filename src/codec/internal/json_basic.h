//! JSON conversions of names, times and the structs used in messages and events.
#pragma once

#include "types/effects.h"

#include <nlohmann/json.hpp>

//! Instants and durations are integers in milliseconds.
template <>
struct nlohmann::adl_serializer<cyclamenmount::milliseconds> {
    static void to_json(json& out, const cyclamenmount::milliseconds& value) {
        out = static_cast<std::int64_t>(value.count());
    }

    static void from_json(const json& in, cyclamenmount::milliseconds& value) {
        value = cyclamenmount::milliseconds(in.get<std::int64_t>());
    }
};

template <>
struct nlohmann::adl_serializer<cyclamenmount::instant> {
    static void to_json(json& out, const cyclamenmount::instant& value) {
        out = static_cast<std::int64_t>(value.time_since_epoch().count());
    }

    static void from_json(const json& in, cyclamenmount::instant& value) {
        value = cyclamenmount::instant(cyclamenmount::milliseconds(in.get<std::int64_t>()));
    }
};

namespace cyclamenmount {

template <typename Tag>
void to_json(nlohmann::json& out, const basic_name<Tag>& name) {
    out = name.value;
}

template <typename Tag>
void from_json(const nlohmann::json& in, basic_name<Tag>& name) {
    name.value = in.get<std::string>();
}

NLOHMANN_JSON_SERIALIZE_ENUM(upstream_condition, {{upstream_condition::cold, "cold"},
                                                  {upstream_condition::warm, "warm"},
                                                  {upstream_condition::leaving, "leaving"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member, id, address, zone, millicores)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(roster, generation, settled, members, proposal)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_instance, id, address, zone, role, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(upstream_report, upstream, incarnation, condition, in_flight,
                                   capacity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_record, operation, who, reason, what, at_ms, base)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(document, name, version, text, changes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(emergency_order, operation, zone, upstream, who, reason, at_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(known_versions, generation, settled, plans, allowances,
                                   availability, emergency_digest, quarantine_digest)

}  // namespace cyclamenmount
