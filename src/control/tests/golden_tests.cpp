//! Replays recorded events of one instance and compares the effects with the recorded ones, line by
//! line.
//!
//! A session file has lines `AT_MS > EVENT` and, below each, the effects as `< EFFECT`. With
//! CYCLAMENMOUNT_REWRITE_SESSIONS set, the effects in the files are replaced
//! (tools/rewrite-sessions).
#include "codec/codec.h"
#include "control/control.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const std::string folder = CYCLAMENMOUNT_SOURCE_DIR "/src/control/tests/sessions/";

environment session_environment() {
    environment env;
    env.self = {instance_id{"a"}, "127.0.0.1:7101", zone_name{"z1"}};
    env.seed = 1;
    auto& engines = env.pools.pools[pool_name{"engines"}];
    engines.name = pool_name{"engines"};
    engines.kind = pool_kind::engine;
    auto& ordering = env.pools.pools[pool_name{"ordering"}];
    ordering.name = pool_name{"ordering"};
    ordering.kind = pool_kind::service;
    auto& menu = env.pools.pipelines[pipeline_name{"menu"}];
    menu.name = pipeline_name{"menu"};
    menu.stages.push_back({stage_name{"generate"}, pool_name{"engines"}});
    return env;
}

std::string read_text(const std::string& path) {
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

//! Replays the event lines of a session and returns the whole session with the new effects.
std::string replay(const std::string& session) {
    std::istringstream lines(session);
    std::ostringstream replayed;
    control_state state = make_control(session_environment(), instant(milliseconds(0)));
    std::string line;
    while (std::getline(lines, line)) {
        const auto separator = line.find(" > ");
        if (line.starts_with("<") || separator == std::string::npos) {
            continue;
        }
        const instant now(milliseconds(std::stol(line.substr(0, separator))));
        const auto parsed = nlohmann::json::parse(line.substr(separator + 3), nullptr, false);
        const auto happened = event_from_json(parsed);
        CHECK_TEXT(happened.has_value(), line.c_str());
        replayed << line << '\n';
        for (const auto& emitted : reduce(state, happened.value(), now)) {
            replayed << "< " << effect_to_json(emitted).dump() << '\n';
        }
    }
    return replayed.str();
}

}  // namespace

TEST_GROUP(golden_sessions){};

TEST(golden_sessions, every_session_produces_the_effects_on_file) {
    for (const std::string name : {"start_and_serve", "once_with_lost_answer"}) {
        // GIVEN a session on file
        const std::string path = folder + name + ".session";
        const std::string session = read_text(path);
        CHECK_TEXT(!session.empty(), name.c_str());

        // WHEN its events are replayed
        const std::string replayed = replay(session);

        // THEN the effects are those on file
        if (std::getenv("CYCLAMENMOUNT_REWRITE_SESSIONS") != nullptr) {
            std::ofstream(path) << replayed;
            continue;
        }
        STRCMP_EQUAL_TEXT(session.c_str(), replayed.c_str(), name.c_str());
    }
}
