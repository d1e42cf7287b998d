//! The home's side: which attempts of a fingerprint may start.
#pragma once

#include "coordination/quarantine/internal/suspects.h"

namespace cyclamenmount::detail {

struct trial_context {
    quarantine_state& state;
    const environment& env;
    const roster_state& roster;
    instant now;
    effects& out;
};

std::string trial_home_key(const fingerprint& body);

void handle_trial_request(const trial_context& context, const instance_id& from,
                          const trial_request& request);

void handle_trial_end(const trial_context& context, const trial_end& value);

//! Notes a death at the home's book, if there is one.
void note_death(quarantine_state& state, const fingerprint& body);

//! Renews the tenures after a change of the roster.
void renew_books(const trial_context& context);

}  // namespace cyclamenmount::detail
