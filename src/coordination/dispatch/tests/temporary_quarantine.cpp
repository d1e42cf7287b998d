//! Grants every trial at its home, until the real part is in the tree.
#include "coordination/quarantine/quarantine.h"

namespace cyclamenmount {

quarantine_state make_quarantine() {
    return {};
}

void reduce_quarantine(quarantine_state&, const environment&, const roster_state& roster,
                       const event& happened, instant, effects& out) {
    const auto* received = std::get_if<peer_message_received>(&happened);
    const auto* request =
        received == nullptr ? nullptr : std::get_if<trial_request>(&received->message);
    if (request == nullptr) {
        return;
    }
    const auto asker = find_member(roster, received->from);
    if (asker) {
        out.emplace_back(send_to_peer{*asker, trial_reply{generation(roster), request->number,
                                                          request->attempt, true, false}});
    }
}

bool is_suspect(const quarantine_state& state, const fingerprint& body) {
    return state.suspects.contains(body);
}

bool is_quarantined(const quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    return found != state.suspects.end() && found->second.died.size() >= 2;
}

bool ask_trial(const roster_state& roster, trial_request request, effects& out) {
    const auto home = home_of(roster, "fingerprint/" + request.body.value);
    if (home) {
        out.emplace_back(send_to_peer{*home, std::move(request)});
    }
    return home.has_value();
}

std::uint64_t quarantine_digest(const quarantine_state&) {
    return 0;
}

}  // namespace cyclamenmount
