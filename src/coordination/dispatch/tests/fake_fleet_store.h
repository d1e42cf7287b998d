//! The fake fleet's store: objects with versions, watches, and answers that come late or not at
//! all.
#pragma once

#include "coordination/dispatch/tests/fake_fleet.h"

namespace cyclamenmount::testing {

//! False if the store is down or the instance is cut off from it.
bool store_answers(const fleet& all, std::size_t index);

void start_watch(fleet& all, std::size_t index, const watch_prefix& wanted);
void read_object(fleet& all, std::size_t index, const store_read& wanted);
void handle_write(fleet& all, std::size_t index, const store_write& wanted);

}  // namespace cyclamenmount::testing
