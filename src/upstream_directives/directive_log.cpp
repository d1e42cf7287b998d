#include "upstream_directives/directive_log.h"

namespace cyclamenmount {

void log_directives(decision_log& log, const upstream_id& from,
                    const upstream_directives& directives) {
    if (directives.is_leaving) {
        log.write(log_entry("upstream_says_leaving").add("upstream", from.value));
    }
    if (directives.no_requests_for) {
        log.write(log_entry("upstream_wants_no_requests")
                      .add("upstream", from.value)
                      .add("for_ms", *directives.no_requests_for));
    }
}

}  // namespace cyclamenmount
