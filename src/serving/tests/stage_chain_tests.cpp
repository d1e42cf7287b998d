#include "serving/stage_chain.h"
#include "serving/tests/chain_lists.h"

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

//! Stage 0 stands alone; 1, 2 and 3 follow each other.
route make_route() {
    route one;
    one.stages = {
        {{"a"}, {}, 3'000'000}, {{"a"}, {}, 8'000}, {{"b"}, {1}, 60'000}, {{"c"}, {2}, 6'000}};
    return one;
}

void make(stage_chain& chain, std::size_t stage, std::vector<std::string> results) {
    chain.stages[stage].state = stage_state::made;
    chain.stages[stage].results = std::move(results);
}

}  // namespace

TEST_GROUP(stage_chain){};

TEST(stage_chain, stages_start_when_their_inputs_are_made) {
    // GIVEN a chain of four stages
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{2, 1, 8, 16});
    // WHEN nothing is made
    // THEN the two first stages can start
    CHECK_TRUE(startable_stages(chain) == (std::vector<std::size_t>{0, 1}));
    // WHEN the first of the chain is made
    chain.stages[0].state = stage_state::ordered;
    make(chain, 1, {"h1"});
    // THEN the next can start, with its result
    CHECK_TRUE(startable_stages(chain) == std::vector<std::size_t>{2});
    CHECK_TRUE(inputs_of(chain, 2) == std::vector<std::string>{"h1"});
    LONGS_EQUAL(1, depth_of(chain, 2));
    LONGS_EQUAL(2, depth_of(chain, 3));
}

TEST(stage_chain, the_request_takes_the_results_that_no_stage_follows) {
    // GIVEN all stages made
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{2, 1, 1, 1});
    make(chain, 0, {"x", "y"});
    make(chain, 1, {"h1"});
    make(chain, 2, {"h2"});
    make(chain, 3, {"h3"});
    // WHEN its results are asked for
    // THEN they are those of the last stages, in order
    CHECK_TRUE(is_complete(chain));
    CHECK_TRUE(final_results(chain) == (std::vector<std::string>{"x", "y", "h3"}));
}

TEST(stage_chain, a_stage_without_pieces_is_left_out) {
    // GIVEN a chain whose first stage has no pieces
    const stage_chain chain = make_stage_chain(make_route(), std::vector<int>{0, 1, 8, 16});
    // WHEN the startable stages are asked for
    // THEN it isn't among them
    CHECK_TRUE(startable_stages(chain) == std::vector<std::size_t>{1});
    // AND a request without any pieces is complete at once
    CHECK_TRUE(is_complete(make_stage_chain(make_route(), std::vector<int>{0, 0, 0, 0})));
    CHECK_TRUE(is_complete(make_stage_chain(make_route(), {})));
}

TEST(stage_chain, the_time_ahead_is_that_of_the_longest_way) {
    // GIVEN calls of 150 ms and 10 ms a piece, at most 8 pieces a call
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{2, 1, 8, 16});
    const catalogue lists = testing::make_chain_lists();
    // WHEN nothing is made
    // THEN the way through stages 1, 2 and 3 counts: 160 + 230 + 230
    LONGS_EQUAL(620, time_ahead(chain, lists).count());
    LONGS_EQUAL(460, time_after(chain, 1, lists).count());
    LONGS_EQUAL(0, time_after(chain, 3, lists).count());
    // WHEN stage 1 is made
    make(chain, 1, {"h"});
    // THEN its time is no longer ahead
    LONGS_EQUAL(460, time_ahead(chain, lists).count());
}

TEST(stage_chain, a_restart_forgets_all_results) {
    // GIVEN a chain with a result
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{1, 1, 1, 1});
    make(chain, 1, {"h1"});
    // WHEN it restarts
    restart(chain);
    // THEN it begins anew and counts the restart
    CHECK_TRUE(startable_stages(chain) == (std::vector<std::size_t>{0, 1}));
    // AND may not do so again
    CHECK_FALSE(may_restart(chain));
}

TEST(stage_chain, results_are_given_back_once_every_stage_that_follows_is_made) {
    // GIVEN two stages made, one after the other
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{1, 1, 1, 1});
    make(chain, 1, {"h1"});
    LONGS_EQUAL(0, take_inputs_used(chain, 1).size());
    make(chain, 2, {"h2"});
    // WHEN the second is made
    const auto unneeded = take_inputs_used(chain, 2);
    // THEN the results of the first are taken out, and its own are kept for the third
    LONGS_EQUAL(1, unneeded.size());
    CHECK_TRUE(unneeded[0].results == std::vector<std::string>{"h1"});
    CHECK_TRUE(chain.stages[1].results.empty());
    CHECK_TRUE(chain.stages[2].results == std::vector<std::string>{"h2"});
}

TEST(stage_chain, results_of_a_stage_that_two_others_follow_stay_until_both_are_made) {
    // GIVEN a stage that two others follow, one of which is made
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{1, 1, 1, 1});
    chain.stages[3].after = {1};
    make(chain, 1, {"h1"});
    make(chain, 2, {"h2"});
    // WHEN that one is made
    // THEN nothing is taken out
    LONGS_EQUAL(0, take_inputs_used(chain, 2).size());
    // WHEN the other is made too
    make(chain, 3, {"h3"});
    // THEN the shared inputs are
    LONGS_EQUAL(1, take_inputs_used(chain, 3).size());
}

TEST(stage_chain, a_stage_must_be_made_while_the_results_before_it_live) {
    // GIVEN results that live for 4 s: an input made at 10 s, and one for the request made at 9 s
    stage_chain chain = make_stage_chain(make_route(), std::vector<int>{2, 1, 8, 16});
    const catalogue lists = testing::make_chain_lists();
    make(chain, 0, {"x", "y"});
    chain.stages[0].made_at = instant(9s);
    make(chain, 1, {"h1"});
    chain.stages[1].made_at = instant(10s);
    // WHEN the next stage is to be ordered, after which one of 230 ms comes
    // THEN the request's own input decides, less what is left after the stage
    LONGS_EQUAL(13'000 - 230, results_allow(chain, 2, lists).time_since_epoch().count());
    // AND without any results nothing does
    CHECK_TRUE(results_allow(make_stage_chain(make_route(), std::vector<int>{1, 1, 1, 1}), 0,
                             lists) == instant::max());
}
