#include "serving/admission.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

fleet_view make_view(bool store_reached) {
    auto lists = std::make_shared<catalogue>();
    route plain;
    plain.host = "h";
    plain.path_prefix = "/p/";
    plain.priority = 2;
    route open = plain;
    open.path_prefix = "/open/";
    open.is_public = true;
    lists->routes = {plain, open};
    lists->has_workspaces = true;
    lists->workspaces_by_key["k"] = {{"w"}, 1};
    fleet_view view;
    view.lists = lists;
    view.is_store_reached = store_reached;
    return view;
}

refusal_reason reason_of(const decided<admitted_request>& decision) {
    return decision.error().reason;
}

}  // namespace

TEST_GROUP(admission){};

TEST(admission, a_known_key_on_a_known_route_is_admitted) {
    // GIVEN a view with a workspace that has a priority of its own
    const fleet_view view = make_view(true);
    // WHEN its key comes
    const auto decision = admit(view, {"h", "/p/1", "k"});
    // THEN the workspace and its priority go with the request
    CHECK_TRUE(decision.has_value());
    STRCMP_EQUAL("w", decision.value().workspace.value.c_str());
    LONGS_EQUAL(1, decision.value().priority);
}

TEST(admission, unknown_keys_and_routes_are_refused_for_good_only_with_the_store_reached) {
    // GIVEN views with and without the store
    const fleet_view sure = make_view(true);
    const fleet_view unsure = make_view(false);
    // WHEN an unknown key or route comes
    // THEN the first refuses for good, the second for now and with a time to come back
    CHECK_TRUE(reason_of(admit(sure, {"h", "/p/1", "x"})) == refusal_reason::unauthenticated);
    CHECK_TRUE(reason_of(admit(sure, {"h", "/q/1", "k"})) == refusal_reason::unknown_target);
    const auto decision = admit(unsure, {"h", "/p/1", "x"});
    CHECK_TRUE(reason_of(decision) == refusal_reason::not_ready);
    CHECK_TRUE(decision.error().retry_after > 0ms);
    CHECK_TRUE(decision.error().state == execution::not_run);
    CHECK_TRUE(reason_of(admit(unsure, {"h", "/q/1", "k"})) == refusal_reason::not_ready);
}

TEST(admission, an_instance_without_a_configuration_refuses_for_now) {
    // GIVEN a view with nothing in it
    const fleet_view view;
    // WHEN a request comes
    // THEN it is told to come back
    CHECK_TRUE(reason_of(admit(view, {"h", "/p/1", "k"})) == refusal_reason::not_ready);
}

TEST(admission, a_public_route_needs_no_key) {
    // GIVEN a public route
    const fleet_view view = make_view(true);
    // WHEN a request comes without a key
    const auto decision = admit(view, {"h", "/open/1", ""});
    // THEN it is admitted without a workspace
    CHECK_TRUE(decision.has_value());
    CHECK_TRUE(decision.value().workspace.empty());
}
