//! The set of suspects: grows by deaths and absolutions, and merges in any order.
#pragma once

#include "coordination/quarantine/quarantine.h"

namespace cyclamenmount::detail {

//! Upstreams that have fallen to it, those that it was absolved of not counted.
std::size_t counted_deaths(const suspect& value);

//! Adds a death. False if it was known.
bool add_death(quarantine_state& state, const fingerprint& body, const std::string& upstream);

//! Absolves a fingerprint of the deaths that it is held for. False if there were none.
bool absolve(quarantine_state& state, const fingerprint& body);

//! Takes over what a peer knows. False if nothing was new.
bool merge_suspect(quarantine_state& state, const suspect& heard);

}  // namespace cyclamenmount::detail
