//! Simulated instance list of the platform; changes become visible after a delay.
#pragma once

#include "types/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

struct instance_record {
    std::string id;
    std::string address;
    std::string zone;
    std::string role;
    std::string state;  //!< `live`, `leaving` or `gone`
};

struct pending_instance {
    instant visible_at;
    instance_record instance;
};

struct instance_registry {
    std::uint64_t revision{0};
    std::map<std::string, instance_record> visible;
    std::deque<pending_instance> pending;
};

void set_instance(instance_registry& registry, instance_record instance, instant now,
                  milliseconds lag);

//! Publishes the pending changes that are due; returns true if there were any.
bool publish_due(instance_registry& registry, instant now);

nlohmann::json list_instances(const instance_registry& registry);

}  // namespace cyclamenmount::standins
