#include "coordination/admission/admission.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

const std::string key(64, 'a');

//! One instance that is ready: a pipeline `menu` of two engine stages and a service `booking`.
struct instance {
    environment env;
    instant now{std::chrono::hours(1)};
    roster_state roster;
    documents_state documents;
    shares_state shares = make_shares();
    quarantine_state quarantine = make_quarantine();
    dispatch_state dispatch;
    admission_state state = make_admission();

    instance() {
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
        documents =
            make_documents_with(env, {{{{"gwledd"}, {"gold"}, key}}}, {{{{"gold"}, gold}}}, now);
        dispatch = make_dispatch(env);
    }

    effects post(const event& happened) {
        effects out;
        reduce_admission(state, env, roster, documents, shares, quarantine, dispatch, happened, now,
                         out);
        return out;
    }

    decided<admission> ask(const std::string& pipeline, const std::string& service = {},
                           const std::string& with = key, milliseconds left = milliseconds(1000)) {
        admission_wanted wanted{1, with, {pipeline}, {service}, {"body"}, left, 0};
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

    instance at;
    for (const auto& row : cases) {
        const auto decision = at.ask(row.pipeline, row.service, row.known_key ? key : "no");
        CHECK_FALSE(decision.has_value());
        CHECK_TRUE(decision.error().reason == row.reason);
        CHECK_TRUE(decision.error().state == execution::not_run);
    }
    const auto decision = at.ask("menu");
    CHECK_TRUE(decision.has_value());
    LONGS_EQUAL(3, decision.value().priority);
    STRCMP_EQUAL("gwledd", decision.value().workspace.value.c_str());
    CHECK_TRUE(at.ask("", "booking").has_value());
}

TEST(admission, refuses_what_cant_meet_its_deadline) {
    // GIVEN a pool whose attempts take about 400 ms, and a pipeline of two
    instance at;
    for (int count = 0; count < 50; ++count) {
        record_time(at.dispatch.times[{"engine"}], milliseconds(400), milliseconds(100));
    }
    // THEN half a second is too short and two are enough
    const auto refused = at.ask("menu", {}, key, milliseconds(500));
    CHECK_TRUE(refused.error().reason == refusal_reason::deadline_too_short);
    CHECK_TRUE(refused.error().state == execution::not_run);
    CHECK_TRUE(at.ask("menu", {}, key, milliseconds(2000)).has_value());
}

TEST(admission, a_quarantined_body_is_refused_as_run) {
    instance at;
    suspect crash{tried_in({"body"}, {"engine"}), {"u1@", "u2@"}, false};
    effects out;
    reduce_quarantine(at.quarantine, at.env, at.roster,
                      peer_message_received{{"peer"}, suspects_notice{{crash}}}, at.now, out);
    const auto decision = at.ask("menu");
    CHECK_TRUE(decision.error().reason == refusal_reason::quarantined);
    CHECK_TRUE(decision.error().state == execution::ran);
}

TEST(admission, refuses_while_not_ready_or_without_fresh_news) {
    instance at;
    const std::vector<member> three{at.env.self, {{"b"}, {}, {}}, {{"c"}, {}, {}}};
    at.roster = make_settled_roster(at.env, three, 2, at.now);
    at.now += std::chrono::minutes(1);
    CHECK_TRUE(at.ask("menu").error().reason == refusal_reason::not_ready);
    at.roster = roster_state{};
    CHECK_FALSE(is_ready(at.state, at.roster, at.documents));
    CHECK_TRUE(at.ask("menu").error().reason == refusal_reason::not_ready);
}

TEST(admission, drains_before_it_ends) {
    // GIVEN a running request
    instance at;
    CHECK_TRUE(at.ask("menu").has_value());
    // WHEN the instance is to stop
    effects out;
    reduce_roster(at.roster, at.env, stop_wanted{}, at.now, out);
    CHECK_TRUE(at.post(stop_wanted{}).empty());
    CHECK_TRUE(at.ask("menu").error().reason == refusal_reason::stopping);
    // THEN it ends once the request has, and says so once
    at.now += std::chrono::minutes(5);
    CHECK_TRUE(at.post(tick{}).empty());
    const effects last = at.post(request_ended{1, {"gwledd"}, 10});
    LONGS_EQUAL(1, last.size());
    CHECK_TRUE(std::holds_alternative<drained>(last.front()));
    CHECK_TRUE(at.post(tick{}).empty());
}
