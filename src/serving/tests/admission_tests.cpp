#include "serving/admission.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! A view with one route that needs a key and one public route.
fleet_view make_view() {
    auto config = std::make_shared<serving_config>();
    route private_route;
    private_route.host = "h";
    private_route.path_prefix = "/p/";
    private_route.priority = 2;
    route public_route = private_route;
    public_route.path_prefix = "/open/";
    public_route.is_public = true;
    config->routes = {private_route, public_route};
    config->has_workspaces = true;
    config->workspaces_by_key["k"] = {{"w"}, 1};
    fleet_view view;
    view.config = config;
    return view;
}

constexpr knowledge_age current{2999ms, 3000ms};
constexpr knowledge_age outdated{3000ms, 3000ms};

refusal_reason reason_of(const decided<admitted_request>& decision) {
    return decision.error().reason;
}

}  // namespace

TEST_GROUP(admission){};

TEST(admission, a_known_key_on_a_known_route_is_admitted) {
    // GIVEN a view with a workspace that has a priority of its own
    const fleet_view view = make_view();
    // WHEN a request carries the key of that workspace
    const auto decision = admit(view, {"h", "/p/1", "k"}, current);
    // THEN it is admitted with that workspace and its priority
    CHECK_TRUE(decision.has_value());
    STRCMP_EQUAL("w", decision.value().workspace.value.c_str());
    LONGS_EQUAL(1, decision.value().priority);
}

TEST(admission, unknown_keys_and_routes_are_refused_permanently_only_by_a_current_configuration) {
    // GIVEN a configuration that the store confirmed a moment too long ago, and one just within
    const fleet_view view = make_view();
    // WHEN a request has an unknown key or route
    // THEN the current one refuses permanently, the other as not ready and with a time to retry
    CHECK_TRUE(reason_of(admit(view, {"h", "/p/1", "x"}, current)) ==
               refusal_reason::unauthenticated);
    CHECK_TRUE(reason_of(admit(view, {"h", "/q/1", "k"}, current)) ==
               refusal_reason::unknown_target);
    const auto decision = admit(view, {"h", "/p/1", "x"}, outdated);
    CHECK_TRUE(reason_of(decision) == refusal_reason::not_ready);
    CHECK_TRUE(decision.error().retry_after > 0ms);
    CHECK_TRUE(decision.error().state == execution::not_run);
    CHECK_TRUE(reason_of(admit(view, {"h", "/q/1", "k"}, outdated)) == refusal_reason::not_ready);
    // AND what is known is admitted by both
    CHECK_TRUE(admit(view, {"h", "/p/1", "k"}, outdated).has_value());
}

TEST(admission, a_part_of_the_configuration_that_cant_be_read_refuses_nothing_for_good) {
    // GIVEN a configuration with a route and keys that couldn't be read
    fleet_view view = make_view();
    auto config = std::make_shared<serving_config>(*view.config);
    config->has_all_keys = false;
    route odd;
    odd.host = "h";
    odd.path_prefix = "/p/odd/";
    odd.is_usable = false;
    config->routes.push_back(odd);
    view.config = config;
    // WHEN a request of that route, or one with an unknown key arrives
    // THEN it is refused as not ready, with a time to retry
    const auto decision = admit(view, {"h", "/p/odd/1", "k"}, current);
    CHECK_TRUE(reason_of(decision) == refusal_reason::not_ready);
    CHECK_TRUE(decision.error().retry_after > 0ms);
    CHECK_TRUE(reason_of(admit(view, {"h", "/p/1", "x"}, current)) == refusal_reason::not_ready);
    // AND what is known is admitted, and what isn't there is unknown
    CHECK_TRUE(admit(view, {"h", "/p/1", "k"}, current).has_value());
    CHECK_TRUE(reason_of(admit(view, {"h", "/q/1", "k"}, current)) ==
               refusal_reason::unknown_target);
}

TEST(admission, a_configuration_that_was_never_confirmed_refuses_nothing_for_good) {
    // GIVEN a configuration that the store hasn't confirmed since the process started
    const fleet_view view = make_view();
    const knowledge_age unconfirmed{std::nullopt, 3000ms};
    // WHEN a request has an unknown key or route, THEN it is refused as not ready
    CHECK_TRUE(reason_of(admit(view, {"h", "/p/1", "x"}, unconfirmed)) ==
               refusal_reason::not_ready);
    CHECK_TRUE(reason_of(admit(view, {"h", "/q/1", "k"}, unconfirmed)) ==
               refusal_reason::not_ready);
}

TEST(admission, an_instance_without_a_configuration_refuses_as_not_ready) {
    // GIVEN an empty view
    const fleet_view view;
    // WHEN a request arrives
    // THEN it is refused as not ready
    CHECK_TRUE(reason_of(admit(view, {"h", "/p/1", "k"}, current)) == refusal_reason::not_ready);
}

TEST(admission, a_public_route_needs_no_key) {
    // GIVEN a public route
    const fleet_view view = make_view();
    // WHEN a request without a key arrives
    const auto decision = admit(view, {"h", "/open/1", ""}, current);
    // THEN it is admitted without a workspace
    CHECK_TRUE(decision.has_value());
    CHECK_TRUE(decision.value().workspace.empty());
}

TEST(admission, an_instance_without_configuration_names_later_retries_the_longer_it_waits) {
    // GIVEN an instance that has just started, and one that has waited 1.5 s for the store
    // WHEN a caller is refused
    // THEN the first names a short delay, the second one that outlasts the outage more likely
    LONGS_EQUAL(300, startup_retry_after(50ms).count());
    LONGS_EQUAL(3000, startup_retry_after(1500ms).count());
}
