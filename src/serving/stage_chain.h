//! The stages of one request: which can start, which inputs they take, what is left to do.
#pragma once

#include "serving/types/catalogue.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace cyclamenmount {

enum class stage_state { waiting, ordered, made };

struct chain_stage {
    pool_name pool;
    std::vector<std::size_t> after;
    int pieces{0};  //!< 0: the stage is left out
    std::uint64_t result_bytes{0};
    stage_state state{stage_state::waiting};
    std::vector<std::string> results;  //!< one handle a piece, in order
    zone_name zone;                    //!< where the results lie; empty if unknown
    instant ordered_at{};
    instant made_at{};
};

struct stage_chain {
    std::vector<chain_stage> stages;
    int restarts{0};
};

//! `pieces` gives the number of pieces of each stage of the route.
stage_chain make_stage_chain(const route& from, std::span<const int> pieces);

//! Stages that wait and whose inputs are all made.
std::vector<std::size_t> startable_stages(const stage_chain& chain);

//! Results of all stages that `stage` comes after, in their order.
std::vector<std::string> inputs_of(const stage_chain& chain, std::size_t stage);

bool is_complete(const stage_chain& chain);

//! True if no other stage follows; the request itself takes the results.
bool is_final(const stage_chain& chain, std::size_t stage);

//! Results of the stages that no other stage follows; the request itself takes them.
std::vector<std::string> final_results(const stage_chain& chain);

//! Made, or left out.
bool is_done(const chain_stage& stage);

using stage_cost_function = std::function<double(const chain_stage&)>;

//! Sum of `cost` over the costliest way from `stage` to the end, without `stage` itself.
double longest_way_after(const stage_chain& chain, std::size_t stage,
                         const stage_cost_function& cost);

//! The same over the whole chain.
double longest_way(const stage_chain& chain, const stage_cost_function& cost);

//! True if `later` takes the results of the stage with this index.
bool follows(const chain_stage& later, std::size_t earlier);

//! Results that their makers can forget.
struct unneeded_results {
    pool_name pool;
    std::vector<std::string> results;
};

//! Takes out the results that were only inputs of `made` and of other stages that are made too.
std::vector<unneeded_results> take_inputs_used(stage_chain& chain, std::size_t made);

//! Takes out all results.
std::vector<unneeded_results> take_all_results(stage_chain& chain);

//! Begins anew after a result was lost with its maker.
void restart(stage_chain& chain);

//! Whether a chain with a lost result is made once more.
bool may_restart(const stage_chain& chain);

//! Shortest time that the stages still to be made take one after the other, without any waiting.
milliseconds time_ahead(const stage_chain& chain, const catalogue& lists);

//! The same for what comes after `stage`, without `stage` itself.
milliseconds time_after(const stage_chain& chain, std::size_t stage, const catalogue& lists);

//! When `stage` must be made at the latest, so that the results made so far live until they are
//! used: its inputs until its call begins, the others until the request itself takes them.
instant results_allow(const stage_chain& chain, std::size_t stage, const catalogue& lists);

//! How many stages the longest way to `stage` has behind it.
int depth_of(const stage_chain& chain, std::size_t stage);

}  // namespace cyclamenmount
