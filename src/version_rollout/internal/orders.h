//! What the parts of the module share.
#pragma once

#include "version_rollout/types/rollout_state.h"

namespace cyclamenmount::detail {

//! True if the orders are as new as new requests to a target need them.
bool is_fresh(const rollout_state& state, instant now);

//! True if the order restricts the traffic now. A completed one does until its deadline, as old
//! upstreams stop meanwhile; a rolled-back one for as long as it is stored.
bool is_in_force(const order_progress& progress, instant now);

//! Applies the orders and the upstreams of the view.
void apply_view(rollout_state& state, const fleet_view_ptr& view, instant now,
                std::vector<rollout_effect>& out);

//! Rolls back orders that can't be carried out, once a configuration that was written with them
//! must have been read. The first members by rank write, each once; the writer repeats failed
//! calls.
void answer_faulty_orders(rollout_state& state, instant now, std::vector<rollout_effect>& out);

//! Reports, decides and notifies, as far as it is time to.
void advance_order(rollout_state& state, order_progress& progress, instant now,
                   std::vector<rollout_effect>& out);

//! Moves the order to the step unless that would go back. Returns true if it did.
bool enter_step(order_progress& progress, rollout_step step, std::string reason, instant now);

//! A log entry of a decision, with the identity, step and age of its order.
rollout_decision make_decision(std::string what, const order_progress& progress, std::string why,
                               instant now);

}  // namespace cyclamenmount::detail
