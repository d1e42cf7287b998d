#include "coordination/admission/admission.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const std::string key(64, 'a');

//! A ready instance. The plan allows the pipeline `menu`, with two engine stages, and the service
//! `booking`.
struct test_instance {
    environment env;
    instant now{std::chrono::hours(1)};
    roster_state roster;
    documents_state documents;
    shares_state shares = make_shares();
    quarantine_state quarantine = make_quarantine();
    dispatch_state dispatch;
    admission_state state = make_admission();

    test_instance() {
        env.self = {{"self"}, {}, {"zone"}};
        env.pools.pools[{"engine"}] = {{"engine"}, pool_kind::engine, 8, 1, false, {}};
        env.pools.pools[{"booking"}] = {{"booking"}, pool_kind::service, 8, 1, false, {}};
        env.pools.pools[{"billing"}] = {{"billing"}, pool_kind::service, 8, 1, false, {}};
        for (const char* name : {"menu", "report"}) {
            env.pools.pipelines[{name}] = {
                {name}, {{{"s1"}, {"engine"}}, {{"s2"}, {"engine"}}}, milliseconds(5000)};
        }
        roster = make_settled_roster(env, std::vector<member>{env.self}, 1, now);
        allowance gold{{"gold"}, {{"menu"}}, {{"booking"}}, 1000, 100, 100000, 3};
        documents = make_documents_in_force(env, {{{{"gwledd"}, {"gold"}, key}}},
                                            {{{{"gold"}, gold}}}, now);
        dispatch = make_dispatch(env);
    }

    effects post(const event& happened) {
        effects out;
        reduce_admission(state, env, roster, documents, shares, quarantine, dispatch, happened, now,
                         out);
        return out;
    }

    decided<admission> request_admission(const std::string& pipeline,
                                         const std::string& service = {},
                                         const std::string& caller_key = key,
                                         milliseconds remaining = milliseconds(1000)) {
        admission_wanted wanted{1, caller_key, {pipeline}, {service}, {"body"}, remaining, 0};
        return std::get<admission_decided>(post(wanted).front()).decision;
    }
};

}  // namespace

TEST_GROUP(admission){};

TEST(admission, admits_by_plan_and_target) {
    const struct {
        const char* pipeline;
        const char* service;
        bool known_key;
        refusal_reason reason;
    } cases[] = {{"report", "", true, refusal_reason::not_allowed},
                 {"none", "", true, refusal_reason::unknown_target},
                 {"", "billing", true, refusal_reason::not_allowed},
                 {"", "engine", true, refusal_reason::unknown_target},
                 {"", "none", true, refusal_reason::unknown_target},
                 {"menu", "", false, refusal_reason::unauthenticated}};

    test_instance instance;
    for (const auto& row : cases) {
        const auto decision =
            instance.request_admission(row.pipeline, row.service, row.known_key ? key : "no");
        CHECK_FALSE(decision.has_value());
        CHECK_TRUE(decision.error().reason == row.reason);
        CHECK_TRUE(decision.error().state == execution::not_run);
    }
    const auto decision = instance.request_admission("menu");
    CHECK_TRUE(decision.has_value());
    LONGS_EQUAL(3, decision.value().priority);
    STRCMP_EQUAL("gwledd", decision.value().workspace.value.c_str());
    CHECK_TRUE(instance.request_admission("", "booking").has_value());
}

TEST(admission, refuses_requests_that_cant_meet_their_deadline) {
    // GIVEN a pool whose attempts take about 400 ms, and a pipeline of two such stages
    test_instance instance;
    for (int count = 0; count < 50; ++count) {
        record_time(instance.dispatch.times[{"engine"}], milliseconds(400), milliseconds(100));
    }
    // THEN a deadline of 0.5 s is too short and one of 2 s is long enough
    const auto refused = instance.request_admission("menu", {}, key, milliseconds(500));
    CHECK_TRUE(refused.error().reason == refusal_reason::deadline_too_short);
    CHECK_TRUE(refused.error().state == execution::not_run);
    CHECK_TRUE(instance.request_admission("menu", {}, key, milliseconds(2000)).has_value());
}

TEST(admission, a_quarantined_request_is_refused_with_state_ran) {
    test_instance instance;
    suspect crash{pool_fingerprint({"body"}, {"engine"}), {"u1@", "u2@"}, false};
    effects out;
    reduce_quarantine(instance.quarantine, instance.env, instance.roster,
                      peer_message_received{{"peer"}, suspects_notice{{crash}}}, instance.now, out);
    const auto decision = instance.request_admission("menu");
    CHECK_TRUE(decision.error().reason == refusal_reason::quarantined);
    CHECK_TRUE(decision.error().state == execution::ran);
}

TEST(admission, refuses_while_not_ready_or_with_stale_availability) {
    test_instance instance;
    const std::vector<member> three_members{instance.env.self, {{"b"}, {}, {}}, {{"c"}, {}, {}}};
    instance.roster = make_settled_roster(instance.env, three_members, 2, instance.now);
    instance.now += std::chrono::minutes(1);
    CHECK_TRUE(instance.request_admission("menu").error().reason == refusal_reason::not_ready);
    instance.roster = roster_state{};
    CHECK_FALSE(is_ready(instance.state, instance.roster, instance.documents));
    CHECK_TRUE(instance.request_admission("menu").error().reason == refusal_reason::not_ready);
}

TEST(admission, drains_before_it_exits) {
    // GIVEN a running request
    test_instance instance;
    CHECK_TRUE(instance.request_admission("menu").has_value());
    // WHEN a stop of the instance is requested
    effects out;
    reduce_roster(instance.roster, instance.env, stop_wanted{}, instance.now, out);
    CHECK_TRUE(instance.post(stop_wanted{}).empty());
    CHECK_TRUE(instance.request_admission("menu").error().reason == refusal_reason::stopping);
    // THEN it reports that it is drained, once, after the request has ended
    instance.now += std::chrono::minutes(5);
    CHECK_TRUE(instance.post(tick{}).empty());
    const effects last = instance.post(request_ended{1, {"gwledd"}, 10});
    LONGS_EQUAL(1, last.size());
    CHECK_TRUE(std::holds_alternative<drained>(last.front()));
    CHECK_TRUE(instance.post(tick{}).empty());
}
