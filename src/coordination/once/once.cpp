#include "coordination/once/once.h"

namespace cyclamenmount {

once_state make_once() {
    return {};
}

//! Gives no permit until the journal is in place: every call is refused as not run, which is true.
void reduce_once(once_state& /*state*/, const environment& /*env*/, const roster_state& roster,
                 const event& happened, instant /*now*/, effects& out) {
    if (const auto* wanted = std::get_if<permit_wanted>(&happened)) {
        out.emplace_back(permit_decided{permit_reply{
            generation(roster), wanted->request.number, permit_verdict::no_home, {}, {}}});
    }
}

}  // namespace cyclamenmount
