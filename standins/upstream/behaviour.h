//! Timing and simulated faults of an upstream; tests change them at run time.
#pragma once

#include "standins/upstream/settings.h"

#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace cyclamenmount::standins {

//! Faults triggered by input text: each applies to inputs that contain its text, never if the text
//! is empty. All but `crash_on` apply only to the first attempt of a request, so that a retry
//! succeeds.
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

//! Faults that apply to one attempt.
struct active_faults {
    bool crash{false};
    bool silent{false};
    bool fail{false};
    bool late{false};
    bool duplicate{false};
    bool misdirect{false};
    bool truncate{false};
};

upstream_behaviour make_behaviour(const upstream_settings& settings);

//! Sets the fields that the JSON object contains; the others keep their values.
void apply_behaviour(upstream_behaviour& behaviour, const nlohmann::json& wanted);

//! Selects the faults for an input; `first_attempt`: this upstream has run no attempt of the
//! request.
active_faults choose_faults(const text_faults& faults, std::string_view input, bool first_attempt);

}  // namespace cyclamenmount::standins
