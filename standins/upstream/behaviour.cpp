#include "standins/upstream/behaviour.h"

namespace cyclamenmount::standins {

namespace {

void set_time(milliseconds& field, const nlohmann::json& wanted, const char* name) {
    field = milliseconds(wanted.value(name, field.count()));
}

bool matches(const std::string& text, std::string_view input) {
    return !text.empty() && input.find(text) != std::string_view::npos;
}

}  // namespace

upstream_behaviour make_behaviour(const upstream_settings& settings) {
    upstream_behaviour behaviour;
    behaviour.warm_after = settings.warm_after;
    behaviour.stage_time = settings.stage_time;
    behaviour.token_time = settings.token_time;
    return behaviour;
}

void apply_behaviour(upstream_behaviour& behaviour, const nlohmann::json& wanted) {
    set_time(behaviour.warm_after, wanted, "warm_after_ms");
    set_time(behaviour.stage_time, wanted, "stage_ms");
    set_time(behaviour.token_time, wanted, "token_ms");
    set_time(behaviour.restart_after, wanted, "restart_after_ms");
    text_faults& faults = behaviour.faults;
    faults.crash_on = wanted.value("crash_on", faults.crash_on);
    faults.silent_on = wanted.value("silent_on", faults.silent_on);
    faults.fail_on = wanted.value("fail_on", faults.fail_on);
    faults.late_on = wanted.value("late_on", faults.late_on);
    faults.duplicate_on = wanted.value("duplicate_on", faults.duplicate_on);
    faults.misdirect_on = wanted.value("misdirect_on", faults.misdirect_on);
    faults.truncate_on = wanted.value("truncate_on", faults.truncate_on);
}

active_faults choose_faults(const text_faults& faults, std::string_view input, bool first_attempt) {
    active_faults active;
    active.crash = matches(faults.crash_on, input);
    active.silent = first_attempt && matches(faults.silent_on, input);
    active.fail = first_attempt && matches(faults.fail_on, input);
    active.late = first_attempt && matches(faults.late_on, input);
    active.duplicate = first_attempt && matches(faults.duplicate_on, input);
    active.misdirect = first_attempt && matches(faults.misdirect_on, input);
    active.truncate = first_attempt && matches(faults.truncate_on, input);
    return active;
}

}  // namespace cyclamenmount::standins
