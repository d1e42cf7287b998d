#include "coordination/shares/tests/share_fleet.h"

#include <algorithm>
#include <utility>

namespace cyclamenmount::testing {

void share_fleet::post(std::size_t index, const event& happened) {
    share_instance& value = instances[index];
    if (value.dead) {
        return;
    }
    effects out;
    reduce_shares(value.shares, value.env, value.roster, value.documents, happened, now, out);
    for (effect& made : out) {
        if (!value.cut_off) {
            messages.emplace_back(value.env.self.id, std::get<send_to_peer>(std::move(made)));
        }
    }
}

//! Everybody that isn't cut off has just heard the others.
void share_fleet::refresh() {
    std::vector<member> all;
    for (const std::size_t index : listed) {
        all.push_back(instances[index].env.self);
    }
    for (const std::size_t index : listed) {
        share_instance& value = instances[index];
        if (!value.cut_off) {
            value.roster = make_settled_roster(value.env, all, generation, now);
        }
    }
}

void share_fleet::set_roster(std::vector<std::size_t> seen, generation_number value) {
    listed = std::move(seen);
    generation = value;
    refresh();
}

void share_fleet::step() {
    now += milliseconds(50);
    refresh();
    for (const auto& [from, sent] : std::exchange(messages, {})) {
        for (std::size_t index = 0; index < instances.size(); ++index) {
            const share_instance& value = instances[index];
            if (value.env.self.id == sent.to.id && !value.cut_off) {
                post(index, peer_message_received{from, sent.message});
            }
        }
    }
    for (std::size_t index = 0; index < instances.size(); ++index) {
        post(index, tick{});
    }
}

void share_fleet::pass(milliseconds time) {
    for (const instant end = now + time; now < end;) {
        step();
    }
}

bool share_fleet::is_admitting(std::size_t index) const {
    return std::find(listed.begin(), listed.end(), index) != listed.end();
}

bool share_fleet::take(std::size_t index) {
    share_instance& value = instances[index];
    return !value.dead &&
           take_share(value.shares, value.env, value.roster, shared_workspace, limits, now)
               .has_value();
}

void share_fleet::end(std::size_t index, int tokens) {
    post(index, request_ended{1, shared_workspace, tokens});
}

workspace_share share_fleet::in_force() const {
    workspace_share sum;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const share_instance& value = instances[index];
        if (value.dead || !is_admitting(index)) {
            continue;
        }
        const auto found = value.shares.held.find(shared_workspace);
        const held_share held = found == value.shares.held.end() ? held_share{} : found->second;
        const workspace_share share =
            detail::share_in_force(held, value.env, value.roster, shared_workspace, limits, now);
        sum.requests_per_second += share.requests_per_second;
        sum.concurrent += std::max(share.concurrent, held.running);
        sum.tokens_per_minute += share.tokens_per_minute;
    }
    return sum;
}

std::size_t share_fleet::home() const {
    const auto found =
        home_of(instances[listed.front()].roster, "workspace/" + shared_workspace.value);
    for (std::size_t index = 0;; ++index) {
        if (instances[index].env.self.id == found->id) {
            return index;
        }
    }
}

share_fleet make_share_fleet(std::size_t size, const allowance& limits) {
    share_fleet all;
    all.limits = limits;
    plan_list plans;
    plans.workspaces.push_back({shared_workspace, limits.plan, {}});
    allowance_list allowances;
    allowances.plans[limits.plan] = limits;
    std::vector<std::size_t> everybody;
    for (std::size_t index = 0; index < size; ++index) {
        share_instance value;
        value.env.self = {{"instance-" + std::to_string(index)}, {}, {"zone"}};
        value.documents = make_documents_with(value.env, plans, allowances, all.now);
        all.instances.push_back(std::move(value));
        everybody.push_back(index);
    }
    all.set_roster(everybody, 1);
    all.pass(milliseconds(4000));
    return all;
}

}  // namespace cyclamenmount::testing
