#include "standins/upstream/truth.h"

namespace cyclamenmount::standins {

nlohmann::json truth_to_json(const upstream_truth& truth) {
    return {{"runs", truth.runs},
            {"refused", truth.refused},
            {"crashes", truth.crashes},
            {"crashes_by_text", truth.crashes_by_text},
            {"cancelled", truth.cancelled},
            {"abandoned", truth.abandoned},
            {"tokens", truth.tokens},
            {"status_reads", truth.status_reads},
            {"max_in_flight_cold", truth.max_in_flight_cold},
            {"over_cold", truth.over_cold},
            {"over_cold_grace", truth.over_cold_grace},
            {"while_out", truth.while_out},
            {"while_leaving", truth.while_leaving},
            {"repeated_attempts", truth.repeated_attempts},
            {"orders", truth.orders},
            {"orders_refused", truth.orders_refused},
            {"orders_older_fence", truth.orders_older_fence},
            {"runs_by_key", truth.runs_by_key},
            {"runs_by_request", truth.runs_by_request},
            {"runs_by_zone", truth.runs_by_zone},
            {"runs_by_mark", truth.runs_by_mark}};
}

}  // namespace cyclamenmount::standins
