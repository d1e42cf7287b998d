#include "coordination/registry/registry.h"

namespace cyclamenmount {

registry_state make_registry() {
    return {};
}

void reduce_registry(registry_state& /*state*/, const environment& env, const roster_state& roster,
                     const event& happened, instant /*now*/, effects& out) {
    if (const auto* wanted = std::get_if<claim_wanted>(&happened)) {
        claim_reply reply{generation(roster), wanted->request.number,
                          claim_verdict::run, wanted->request.request,
                          env.self,           {}};
        out.emplace_back(claim_decided{std::move(reply)});
    }
}

}  // namespace cyclamenmount
