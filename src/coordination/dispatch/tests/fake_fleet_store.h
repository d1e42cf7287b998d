//! The simulated fleet's store: versioned objects, watches, and replies that are delayed or lost.
#pragma once

#include "coordination/dispatch/tests/fake_fleet.h"

namespace cyclamenmount::testing {

//! True if the store is up and the instance can reach it.
bool store_answers(const fleet& simulation, std::size_t index);

void start_watch(fleet& simulation, std::size_t index, const watch_prefix& wanted);
void read_object(fleet& simulation, std::size_t index, const store_read& wanted);
void handle_write(fleet& simulation, std::size_t index, const store_write& wanted);

}  // namespace cyclamenmount::testing
