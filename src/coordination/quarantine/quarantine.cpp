#include "coordination/quarantine/quarantine.h"

namespace cyclamenmount {

namespace {

constexpr std::size_t deaths_until_quarantined = 2;

std::string home_key(const fingerprint& body) {
    return "fingerprint/" + body.value;
}

void handle(quarantine_state& /*state*/, const environment& /*env*/, const roster_state& roster,
            const instance_id& from, const trial_request& request, effects& out) {
    const auto asker = find_member(roster, from);
    if (!asker) {
        return;
    }
    out.emplace_back(send_to_peer{
        *asker, trial_reply{generation(roster), request.number, request.attempt, true, false}});
}

}  // namespace

quarantine_state make_quarantine() {
    return {};
}

void reduce_quarantine(quarantine_state& state, const environment& env, const roster_state& roster,
                       const event& happened, instant /*now*/, effects& out) {
    const auto* received = std::get_if<peer_message_received>(&happened);
    if (received == nullptr) {
        return;
    }
    if (const auto* request = std::get_if<trial_request>(&received->message)) {
        handle(state, env, roster, received->from, *request, out);
    }
}

bool is_suspect(const quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    return found != state.suspects.end() && !found->second.cleared;
}

bool is_quarantined(const quarantine_state& state, const fingerprint& body) {
    const auto found = state.suspects.find(body);
    return found != state.suspects.end() && found->second.died.size() >= deaths_until_quarantined;
}

bool ask_trial(const roster_state& roster, trial_request request, effects& out) {
    const auto home = home_of(roster, home_key(request.body));
    if (!home) {
        return false;
    }
    out.emplace_back(send_to_peer{*home, std::move(request)});
    return true;
}

std::uint64_t quarantine_digest(const quarantine_state& /*state*/) {
    return 0;
}

}  // namespace cyclamenmount
