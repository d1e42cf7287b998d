//! Log lines for what upstreams ask of their callers.
#pragma once

#include "decision_log/decision_log.h"
#include "types/ids.h"
#include "upstream_directives/upstream_directives.h"

namespace cyclamenmount {

//! Writes a log line for directives that keep requests from the upstream.
void log_directives(decision_log& log, const upstream_id& from,
                    const upstream_directives& directives);

}  // namespace cyclamenmount
