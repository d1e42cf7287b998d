#include "standins/object_api/call_faults.h"

namespace cyclamenmount::standins {

namespace {

void count(call_counters& counters, call_kind kind) {
    switch (kind) {
    case call_kind::read:
        ++counters.reads;
        return;
    case call_kind::write:
        ++counters.writes;
        return;
    case call_kind::watch:
        ++counters.watches;
        return;
    }
}

nlohmann::json to_json(const call_counters& counters) {
    return {{"reads", counters.reads},
            {"writes", counters.writes},
            {"watches", counters.watches},
            {"refused", counters.refused}};
}

}  // namespace

void apply_fault(call_faults& faults, const nlohmann::json& wanted) {
    faults.down = wanted.value("down", faults.down);
    faults.delay = milliseconds(wanted.value("delay_ms", faults.delay.count()));
    faults.lose_answers = wanted.value("lose_answers", faults.lose_answers);
    faults.silent_watches = wanted.value("silent_watches", faults.silent_watches);
    faults.list_lag = milliseconds(wanted.value("list_lag_ms", faults.list_lag.count()));
    faults.writes_per_second = wanted.value("writes_per_second", faults.writes_per_second);
    faults.reads_per_second = wanted.value("reads_per_second", faults.reads_per_second);
}

bool admit_call(rate_window& window, int per_second, instant now) {
    if (now - window.starts >= 1s) {
        window = {now, 0};
    }
    if (per_second > 0 && window.used >= per_second) {
        return false;
    }
    ++window.used;
    return true;
}

void count_call(call_statistics& statistics, const std::string& client, call_kind kind) {
    count(statistics.all, kind);
    count(statistics.per_client[client], kind);
}

void count_refused(call_statistics& statistics, const std::string& client) {
    ++statistics.all.refused;
    ++statistics.per_client[client].refused;
}

nlohmann::json statistics_to_json(const call_statistics& statistics) {
    nlohmann::json value = to_json(statistics.all);
    value["per_client"] = nlohmann::json::object();
    for (const auto& [client, counters] : statistics.per_client) {
        value["per_client"][client] = to_json(counters);
    }
    return value;
}

}  // namespace cyclamenmount::standins
