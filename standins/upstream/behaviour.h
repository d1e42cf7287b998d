//! Times and faults of an upstream that tests change while it runs.
#pragma once

#include "standins/upstream/settings.h"

#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

//! Each fault shows for inputs that hold the text; empty: never. All but `crash_on` show only for
//! the first attempt of a request, so that a repeat succeeds.
struct text_faults {
    std::string crash_on;
    std::string silent_on;
    std::string fail_on;
    std::string late_on;
    std::string duplicate_on;
    std::string misdirect_on;
    std::string truncate_on;
};

struct upstream_behaviour {
    milliseconds warm_after{3000};
    milliseconds stage_time{20};
    milliseconds token_time{5};
    milliseconds restart_after{500};
    text_faults faults;
};

//! Which faults one attempt shows.
struct shown_faults {
    bool crash{false};
    bool silent{false};
    bool fail{false};
    bool late{false};
    bool duplicate{false};
    bool misdirect{false};
    bool truncate{false};
};

upstream_behaviour make_behaviour(const upstream_settings& settings);

//! Sets the fields that are named.
void apply_behaviour(upstream_behaviour& behaviour, const nlohmann::json& wanted);

//! `first_attempt`: no earlier attempt of this request arrived here.
shown_faults choose_faults(const text_faults& faults, std::string_view input, bool first_attempt);

}  // namespace cyclamenmount::standins
