//! The replicated set of suspects. Crashes are only added or marked as cleared, so replicas
//! can be merged in any order.
#pragma once

#include "coordination/quarantine/quarantine.h"

namespace cyclamenmount::detail {

//! Number of crashes of a suspect that aren't cleared.
std::size_t count_crashes(const suspect& value);

//! Adds a crash of an upstream's incarnation. False if it was already recorded.
bool add_crash(quarantine_state& state, const fingerprint& body, const std::string& incarnation);

//! Marks all crashes of a fingerprint as cleared. False if nothing changed.
bool clear_suspect(quarantine_state& state, const fingerprint& body);

//! Merges a suspect received from a peer. False if nothing changed.
bool merge_suspect(quarantine_state& state, const suspect& received);

}  // namespace cyclamenmount::detail
