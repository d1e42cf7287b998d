#include "coordination/shares/tests/share_fleet.h"

#include <algorithm>
#include <utility>

namespace cyclamenmount::testing {

void share_fleet::post(std::size_t index, const event& happened) {
    share_instance& instance = instances[index];
    if (instance.dead) {
        return;
    }
    effects out;
    reduce_shares(instance.shares, instance.env, instance.roster, instance.documents, happened, now,
                  out);
    for (effect& sent : out) {
        if (!instance.cut_off) {
            messages.emplace_back(instance.env.self.id, std::get<send_to_peer>(std::move(sent)));
        }
    }
}

//! Renews the roster's state of all members that aren't cut off, as if every peer had just replied.
void share_fleet::refresh() {
    std::vector<member> all;
    for (const std::size_t index : roster_members) {
        all.push_back(instances[index].env.self);
    }
    for (const std::size_t index : roster_members) {
        share_instance& instance = instances[index];
        if (!instance.cut_off) {
            instance.roster = make_settled_roster(instance.env, all, generation, now);
        }
    }
}

void share_fleet::set_roster(std::vector<std::size_t> member_indexes, generation_number value) {
    roster_members = std::move(member_indexes);
    generation = value;
    refresh();
}

void share_fleet::step() {
    now += milliseconds(50);
    refresh();
    for (const auto& [from, sent] : std::exchange(messages, {})) {
        for (std::size_t index = 0; index < instances.size(); ++index) {
            const share_instance& instance = instances[index];
            if (instance.env.self.id == sent.to.id && !instance.cut_off) {
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
    return std::find(roster_members.begin(), roster_members.end(), index) != roster_members.end();
}

bool share_fleet::take(std::size_t index) {
    share_instance& instance = instances[index];
    return !instance.dead &&
           take_share(instance.shares, instance.env, instance.roster, shared_workspace, limits, now)
               .has_value();
}

void share_fleet::end(std::size_t index, int tokens) {
    post(index, request_ended{1, shared_workspace, tokens});
}

workspace_share share_fleet::in_force() const {
    workspace_share sum;
    for (std::size_t index = 0; index < instances.size(); ++index) {
        const share_instance& instance = instances[index];
        if (instance.dead || !is_admitting(index)) {
            continue;
        }
        const auto found = instance.shares.held.find(shared_workspace);
        const held_share held = found == instance.shares.held.end() ? held_share{} : found->second;
        const workspace_share share = detail::share_in_force(held, instance.env, instance.roster,
                                                             shared_workspace, limits, now);
        sum.requests_per_second += share.requests_per_second;
        sum.concurrent += std::max(share.concurrent, held.running);
        sum.tokens_per_minute += share.tokens_per_minute;
    }
    return sum;
}

std::size_t share_fleet::owner() const {
    const auto found =
        owner_of(instances[roster_members.front()].roster, "workspace/" + shared_workspace.value);
    for (std::size_t index = 0;; ++index) {
        if (instances[index].env.self.id == found->id) {
            return index;
        }
    }
}

share_fleet make_share_fleet(std::size_t size, const allowance& limits) {
    share_fleet fleet;
    fleet.limits = limits;
    plan_list plans;
    plans.workspaces.push_back({shared_workspace, limits.plan, {}});
    allowance_list allowances;
    allowances.plans[limits.plan] = limits;
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < size; ++index) {
        share_instance instance;
        instance.env.self = {{"instance-" + std::to_string(index)}, {}, {"zone"}};
        instance.documents = make_documents_in_force(instance.env, plans, allowances, fleet.now);
        fleet.instances.push_back(std::move(instance));
        indexes.push_back(index);
    }
    fleet.set_roster(indexes, 1);
    fleet.pass(milliseconds(4000));
    return fleet;
}

}  // namespace cyclamenmount::testing
