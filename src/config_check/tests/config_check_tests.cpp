#include "config_check/config_check.h"

#include <algorithm>
#include <functional>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

route make_route(const std::string& path, request_kind kind) {
    route made;
    made.name = path;
    made.host = "h";
    made.path_prefix = path;
    made.kind = kind;
    made.timeout = 3000ms;
    made.objective = 500ms;
    made.max_attempts = kind == request_kind::idempotent ? 2 : 1;
    made.pools = {{{"s"}, 1}};
    return made;
}

pool_limits make_stage_pool(const std::string& name) {
    pool_limits pool;
    pool.name = {name};
    pool.stage = stage_limits{8, 100.0, 10.0, 36.0, 4000ms};
    return pool;
}

//! A configuration without findings: a plain route, and a stream with two stages.
checked_config make_sound() {
    checked_config made;
    made.config.version = 2;
    made.config.has_workspaces = true;
    made.config.routes = {make_route("/plain/", request_kind::idempotent),
                          make_route("/stream/", request_kind::stream)};
    made.config.routes[1].stages = {{{"p"}, {}, 1'000'000}, {{"q"}, {0}, 1'000'000}};
    pool_limits service;
    service.name = {"s"};
    made.config.pools = {
        {{"s"}, service}, {{"p"}, make_stage_pool("p")}, {{"q"}, make_stage_pool("q")}};
    made.listed_pools = {{"s"}, {"p"}, {"q"}};
    made.workspaces = {{{{"w"}, std::nullopt}, {"secret-1"}}, {{{"v"}, 1}, {"secret-2"}}};
    return made;
}

std::string text_of(const std::vector<config_finding>& findings) {
    std::string text;
    for (const config_finding& one : findings) {
        text += std::string(enum_name(one.severity)) + ": " + one.place + ": " + one.text + "\n";
    }
    return text;
}

struct check_case {
    const char* name;
    std::function<void(checked_config&)> change;
    std::string expected;  //!< all findings
};

const check_case check_cases[] = {
    {"an unreadable part", [](checked_config& c) { c.config.unreadable = {"route h/x/: no type"}; },
     "error: route h/x/: no type: can't be read\n"},
    {"a route with an earlier one's host and path",
     [](checked_config& c) { c.config.routes.push_back(c.config.routes[0]); },
     "warning: route h/plain/: never matches: an earlier route has its host and path\n"},
    {"a longer path is no shadow",
     [](checked_config& c) {
         c.config.routes.push_back(make_route("/plain/more/", request_kind::idempotent));
     },
     ""},
    {"a path without slashes", [](checked_config& c) { c.config.routes[0].path_prefix = "plain"; },
     "error: route hplain: the path prefix has to begin and end with a slash\n"},
    {"a pool that isn't listed",
     [](checked_config& c) { c.config.routes[0].pools[0].pool = {"x"}; },
     "error: route h/plain/: leads to the pool x, which isn't listed\n"},
    {"a pool with the weight 0",
     [](checked_config& c) {
         c.config.routes[0].pools = {{{"s"}, 1}, {{"s"}, 0}};
     },
     "warning: route h/plain/: the pool s gets no requests: its weight is 0\n"},
    {"a stage at a pool without limits of a stage",
     [](checked_config& c) { c.config.pools.at({"q"}).stage.reset(); },
     "error: route h/stream/: has a stage at the pool q, which has no limits of a stage\n"},
    {"stages that depend on each other",
     [](checked_config& c) { c.config.routes[1].stages[0].after = {1}; },
     "error: route h/stream/: a stage depends on itself or on one that doesn't exist\n"},
    {"a stage that doesn't exist",
     [](checked_config& c) { c.config.routes[1].stages[1].after = {7}; },
     "error: route h/stream/: a stage depends on itself or on one that doesn't exist\n"},
    {"no timeout", [](checked_config& c) { c.config.routes[0].timeout = 0ms; },
     "error: route h/plain/: the timeout isn't positive\n"},
    {"an objective above the timeout",
     [](checked_config& c) { c.config.routes[0].timeout = 400ms; },
     "warning: route h/plain/: the objective (500 ms) is above the timeout (400 ms)\n"},
    {"a timeout below the time of two stages in a row",
     [](checked_config& c) {
         c.config.routes[1].timeout = 219ms;
         c.config.routes[1].objective = 200ms;
     },
     "error: route h/stream/: the timeout (219 ms) is shorter than the shortest time of the stages "
     "(220 ms)\n"},
    {"a timeout that stages at the same time fit into",
     [](checked_config& c) {
         c.config.routes[1].stages[1].after = {};
         c.config.routes[1].timeout = 219ms;
         c.config.routes[1].objective = 200ms;
     },
     ""},
    {"attempts of a stream that can't be resumed",
     [](checked_config& c) { c.config.routes[1].max_attempts = 2; },
     "warning: route h/stream/: max_attempts is 2, but its requests run at most once\n"},
    {"attempts of a stream that can be resumed",
     [](checked_config& c) {
         c.config.routes[1].max_attempts = 2;
         c.config.routes[1].is_resumable = true;
     },
     ""},
    {"a plain route that can be resumed",
     [](checked_config& c) { c.config.routes[0].is_resumable = true; },
     "warning: route h/plain/: only streams can be resumed\n"},
    {"a pool that nothing uses", [](checked_config& c) { c.config.routes[1].stages.pop_back(); },
     "warning: pool q: no route and no stage uses it\n"},
    {"a pool that is listed twice", [](checked_config& c) { c.listed_pools.push_back({"s"}); },
     "error: pool s: is listed more than once\n"},
    {"a batch larger than the result memory",
     [](checked_config& c) { c.config.routes[1].stages[0].result_bytes = 5'000'000; },
     "warning: pool p: the results of a whole batch (40 MB) exceed the memory for results\n"},
    {"results that expire within a batch",
     [](checked_config& c) { c.config.pools.at({"p"}).stage->result_lifetime = 100ms; },
     "warning: pool p: results expire (after 100 ms) within the time of a whole batch\n"},
    {"a workspace without keys", [](checked_config& c) { c.workspaces[0].keys.clear(); },
     "warning: workspace w: has no keys, so that no request can belong to it\n"},
    {"a key of two workspaces",
     [](checked_config& c) {
         c.workspaces[1].keys = {"x", "secret-1"};
     },
     "error: workspace v: its key 1 is also a key of the workspace w\n"},
    {"a key that is listed twice",
     [](checked_config& c) {
         c.workspaces[0].keys = {"secret-1", "secret-1"};
     },
     "warning: workspace w: its key 1 is listed twice\n"},
    {"a workspace that is listed twice",
     [](checked_config& c) { c.workspaces[1].workspace.name = {"w"}; },
     "error: workspace w: is listed more than once\n"},
    {"no time for headers", [](checked_config& c) { c.config.limits.header_timeout = 0ms; },
     "error: limits: a limit on headers or idle connections isn't positive\n"},
};

const check_case difference_cases[] = {
    {"a version that isn't higher", [](checked_config& c) { c.config.version = 2; },
     "error: version: 2 isn't above the one in force, 2\n"},
    {"nothing but the version", [](checked_config&) {}, ""},
    {"a route that is removed",
     [](checked_config& c) { c.config.routes.erase(c.config.routes.begin()); },
     "difference: route h/plain/: removed\n"},
    {"a route that is added",
     [](checked_config& c) {
         c.config.routes.push_back(make_route("/new/", request_kind::idempotent));
     },
     "difference: route h/new/: added\n"},
    {"a route that is changed",
     [](checked_config& c) {
         c.config.routes[0].timeout = 1000ms;
         c.config.routes[0].pools = {{{"s"}, 1}, {{"t"}, 3}};
     },
     "difference: route h/plain/: pools changed from s x 1 to s x 1, t x 3\n"
     "difference: route h/plain/: timeout changed from 3000 ms to 1000 ms\n"},
    {"a pool that is changed",
     [](checked_config& c) { c.config.pools.at({"p"}).stage->call_ms = 100.5; },
     "difference: pool p: time of a call changed from 100 ms to 100.5 ms\n"},
    {"a pool without stages now",
     [](checked_config& c) {
         c.config.pools.at({"s"}).engine = {{4, 9}};
     },
     "difference: pool s: cache changed from none to 9 tokens\n"
     "difference: pool s: slots changed from none to 4\n"},
    {"workspaces and keys",
     [](checked_config& c) {
         c.workspaces[0].keys = {"secret-3", "secret-4"};
         c.workspaces[1].workspace.priority = 2;
     },
     "difference: workspace v: priority changed from 1 to 2\n"
     "difference: workspace w: keys added: 2, removed: 1\n"},
    {"limits", [](checked_config& c) { c.config.limits.body_bytes = 7; },
     "difference: limits: bytes of a body changed from 4194304 to 7\n"},
};

}  // namespace

TEST_GROUP(config_check){};

TEST(config_check, a_sound_configuration_has_no_findings) {
    // GIVEN a sound configuration
    // WHEN it is checked
    // THEN there is nothing to report
    STRCMP_EQUAL("", text_of(check_config(make_sound())).c_str());
}

// Guards against entries that are put in force although requests would fail, and against warnings
// about sound ones.
TEST(config_check, each_fault_is_found_alone) {
    for (const check_case& one : check_cases) {
        // GIVEN a configuration that is sound but for one entry
        checked_config changed = make_sound();
        one.change(changed);
        // WHEN it is checked
        const auto findings = check_config(changed);
        // THEN just this fault is found, with its place
        STRCMP_EQUAL_TEXT(one.expected.c_str(), text_of(findings).c_str(), one.name);
        CHECK_EQUAL_TEXT(one.expected.starts_with("error"), has_errors(findings), one.name);
    }
}

// Guards against a check that ends at the first fault.
TEST(config_check, several_faults_are_reported_together) {
    // GIVEN a configuration with three faults
    checked_config changed = make_sound();
    changed.config.routes[0].timeout = 0ms;
    changed.workspaces[0].keys.clear();
    changed.listed_pools.push_back({"p"});
    // WHEN it is checked
    // THEN all three are reported
    LONGS_EQUAL(3, check_config(changed).size());
}

// Guards against a field that isn't decoded, e.g. of an unreadable route, that counts as a fault.
TEST(config_check, a_route_that_cannot_be_read_has_no_further_findings) {
    // GIVEN a route of which only host and path could be read
    checked_config changed = make_sound();
    route unreadable;
    unreadable.host = "h";
    unreadable.path_prefix = "/x/";
    unreadable.is_usable = false;
    changed.config.routes.push_back(unreadable);
    // WHEN the configuration is checked
    // THEN nothing is said of its other fields
    STRCMP_EQUAL("", text_of(check_config(changed)).c_str());
}

// Guards against a change that goes unnoticed, and against keys in the output.
TEST(config_check, each_difference_to_the_version_in_force_is_found) {
    for (const check_case& one : difference_cases) {
        // GIVEN a version in force and a changed one
        const checked_config in_force = make_sound();
        checked_config next = make_sound();
        next.config.version = 3;
        one.change(next);
        // WHEN they are compared
        const std::string text = text_of(compare_configs(in_force, next));
        // THEN just the change is found, and no key is shown
        STRCMP_EQUAL_TEXT(one.expected.c_str(), text.c_str(), one.name);
        CHECK_TEXT(text.find("secret") == std::string::npos, one.name);
    }
}
