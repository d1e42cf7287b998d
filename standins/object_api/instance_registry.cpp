#include "standins/object_api/instance_registry.h"

namespace cyclamenmount::standins {

namespace {

void publish(instance_registry& registry, const instance_record& instance) {
    ++registry.revision;
    if (instance.state == "gone") {
        registry.visible.erase(instance.id);
    } else {
        registry.visible[instance.id] = instance;
    }
}

}  // namespace

void set_instance(instance_registry& registry, instance_record instance, instant now,
                  milliseconds lag) {
    registry.pending.push_back({now + lag, std::move(instance)});
}

bool publish_due(instance_registry& registry, instant now) {
    bool changed = false;
    while (!registry.pending.empty() && registry.pending.front().visible_at <= now) {
        publish(registry, registry.pending.front().instance);
        registry.pending.pop_front();
        changed = true;
    }
    return changed;
}

nlohmann::json list_instances(const instance_registry& registry) {
    nlohmann::json instances = nlohmann::json::array();
    for (const auto& [id, instance] : registry.visible) {
        instances.push_back({{"id", id},
                             {"address", instance.address},
                             {"zone", instance.zone},
                             {"role", instance.role},
                             {"state", instance.state}});
    }
    return {{"revision", registry.revision}, {"instances", instances}};
}

}  // namespace cyclamenmount::standins
