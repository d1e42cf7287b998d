#include "coordination/shares/internal/share_owner.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! A live member reports at least once within this many periods.
constexpr int periods_until_report = 3;

//! Sets the times by which the shares granted by an earlier owner have expired, and by which the
//! members that held them have reported.
void set_recovery_times(share_ledger& ledger, const environment& env, instant since) {
    ledger.ready_at = since + env.timing.share_lifetime;
    ledger.complete_at = ledger.ready_at + env.timing.share_period * periods_until_report;
}

//! Returns the ledger of a workspace, creating it at the first report.
share_ledger& find_or_create_ledger(const shares_context& context,
                                    const workspace_name& workspace) {
    auto [entry, inserted] = context.state.ledgers.try_emplace(workspace);
    if (inserted) {
        renew_tenure(entry->second.ownership, context.roster, share_owner_key(workspace),
                     context.now);
        set_recovery_times(entry->second, context.env, context.state.roster_since);
    }
    return entry->second;
}

//! Erases the grants that the member can't be using any more.
void erase_superseded_grants(member_demand& recorded, std::uint64_t applied, instant now) {
    const auto confirmed = std::find_if(recorded.grants.begin(), recorded.grants.end(),
                                        [applied](const outstanding_grant& grant) {
                                            return applied != 0 && grant.sequence == applied;
                                        });
    if (confirmed != recorded.grants.end()) {
        recorded.grants.erase(recorded.grants.begin(), confirmed);
    }
    while (recorded.grants.size() > 1 && recorded.grants.front().ends_at <= now) {
        recorded.grants.erase(recorded.grants.begin());
    }
}

//! Records a reported demand. A member whose first report arrives soon after the tenure began may
//! still use an expired share of an earlier owner, which is at most the equal share, until it
//! confirms a share of this owner.
void record_demand(const shares_context& context, share_ledger& ledger, const instance_id& from,
                   const workspace_demand& demand, const allowance& limits, std::uint64_t applied) {
    const auto [entry, inserted] = ledger.members.try_emplace(from);
    member_demand& recorded = entry->second;
    if (inserted && context.now < ledger.complete_at) {
        const workspace_share equal =
            equal_share(demand.workspace, limits, members(context.roster).size());
        recorded.grants.push_back({0, equal, instant::max(), instant::max()});
    }
    recorded.demand = demand;
    recorded.received_at = context.now;
    erase_superseded_grants(recorded, applied, context.now);
}

//! Returns the highest share that a member may be using.
workspace_share max_possible_use(const shares_context& context, const share_ledger& ledger,
                                 const instance_id& id, const allowance& limits) {
    const std::size_t count = members(context.roster).size();
    workspace_share max_use = floor_share({}, limits, count);
    const workspace_share equal = equal_share({}, limits, count);
    const auto found = ledger.members.find(id);
    if (found == ledger.members.end()) {
        return context.now < ledger.complete_at ? higher_of(max_use, equal) : max_use;
    }
    const member_demand& recorded = found->second;
    for (const outstanding_grant& grant : recorded.grants) {
        workspace_share used = grant.share;
        if (grant.expires_at <= context.now) {
            used = lower_of(grant.share, equal);
            used.concurrent =
                grant.ends_at > context.now ? grant.share.concurrent : used.concurrent;
        }
        max_use = higher_of(max_use, used);
    }
    max_use.concurrent = std::max(max_use.concurrent, recorded.demand.running);
    return max_use;
}

//! Returns the limits less the floor share reserved for a member that may join.
workspace_share divisible_limits(const shares_context& context, const allowance& limits) {
    const workspace_share reserved = floor_share({}, limits, members(context.roster).size());
    return {{},
            limits.requests_per_second - reserved.requests_per_second,
            limits.concurrent - reserved.concurrent,
            limits.tokens_per_minute - reserved.tokens_per_minute};
}

//! Returns the part of the limits that no other member can be using.
workspace_share remaining_for(const shares_context& context, const share_ledger& ledger,
                              const instance_id& id, const allowance& limits) {
    workspace_share remaining = divisible_limits(context, limits);
    const auto subtract_use_of = [&](const instance_id& other) {
        const workspace_share used = max_possible_use(context, ledger, other, limits);
        remaining.requests_per_second -= used.requests_per_second;
        remaining.concurrent -= used.concurrent;
        remaining.tokens_per_minute -= used.tokens_per_minute;
    };
    for (const member& other : members(context.roster)) {
        if (other.id != id) {
            subtract_use_of(other.id);
        }
    }
    for (const auto& entry : ledger.members) {
        const auto all = members(context.roster);
        const bool is_member =
            std::any_of(all.begin(), all.end(),
                        [&entry](const member& candidate) { return candidate.id == entry.first; });
        if (!is_member && entry.first != id) {
            subtract_use_of(entry.first);
        }
    }
    return remaining;
}

//! Returns the max-min fair share of one member, by the demands of all members.
workspace_share fair_share(const shares_context& context, const share_ledger& ledger,
                           const instance_id& id, const allowance& limits) {
    const auto all = members(context.roster);
    const workspace_share lowest = floor_share({}, limits, all.size());
    const workspace_share total = divisible_limits(context, limits);
    std::vector<double> rates;
    std::vector<int> units;
    std::vector<double> tokens;
    std::size_t own_index = 0;
    for (std::size_t index = 0; index < all.size(); ++index) {
        const auto found = ledger.members.find(all[index].id);
        const workspace_demand demand =
            found == ledger.members.end() ? workspace_demand{} : found->second.demand;
        rates.push_back(std::max(lowest.requests_per_second, demand.requests_per_second));
        units.push_back(std::max(lowest.concurrent, demand.concurrent));
        tokens.push_back(std::max(lowest.tokens_per_minute, demand.tokens_per_minute));
        own_index = all[index].id == id ? index : own_index;
    }
    return {{},
            divide(total.requests_per_second, rates)[own_index],
            divide_units(total.concurrent, units)[own_index],
            divide(total.tokens_per_minute, tokens)[own_index]};
}

//! Grants a member its fair share, less what other members may still be using, but at least the
//! floor share.
workspace_share grant_share(const shares_context& context, share_ledger& ledger,
                            const instance_id& id, const workspace_name& workspace,
                            const allowance& limits, std::uint64_t sequence) {
    const workspace_share fair = fair_share(context, ledger, id, limits);
    workspace_share share = lower_of(fair, remaining_for(context, ledger, id, limits));
    share = higher_of(share, floor_share({}, limits, members(context.roster).size()));
    share.workspace = workspace;
    const instant expires_at = context.now + context.env.timing.share_lifetime;
    ledger.members[id].grants.push_back(
        {sequence, share, expires_at, expires_at + context.env.timing.longest_attempt});
    return share;
}

//! Removes members that have left the roster and whose requests have all ended.
void erase_departed_members(const shares_context& context, share_ledger& ledger) {
    std::erase_if(ledger.members, [&context](const auto& entry) {
        const bool is_member = find_member(context.roster, entry.first).has_value();
        const auto& grants = entry.second.grants;
        return !is_member && (grants.empty() || grants.back().ends_at <= context.now);
    });
}

//! Removes a member that has released its share.
void erase_member(shares_state& state, const workspace_name& workspace, const instance_id& id) {
    const auto found = state.ledgers.find(workspace);
    if (found == state.ledgers.end()) {
        return;
    }
    found->second.members.erase(id);
    if (found->second.members.empty()) {
        state.ledgers.erase(found);
    }
}

}  // namespace

std::string share_owner_key(const workspace_name& workspace) {
    return "workspace/" + workspace.value;
}

const allowance* limits_of(const documents_state& documents, const workspace_name& workspace) {
    const auto found = std::find_if(
        documents.plans.workspaces.begin(), documents.plans.workspaces.end(),
        [&workspace](const workspace_entry& entry) { return entry.name == workspace; });
    return found == documents.plans.workspaces.end() ? nullptr
                                                     : find_allowance(documents, found->plan);
}

void handle_report(const shares_context& context, const instance_id& from,
                   const share_report& report) {
    renew_ledgers(context);
    const auto requester =
        from == context.env.self.id ? context.env.self : find_member(context.roster, from);
    if (!requester) {
        return;
    }
    share_grant grant{generation(context.roster), {}, report.sequence};
    for (const workspace_demand& demand : report.demands) {
        const allowance* limits = limits_of(context.documents, demand.workspace);
        const bool is_owner = may_act_as_owner(context.roster, context.env,
                                               share_owner_key(demand.workspace), context.now);
        if (limits == nullptr || !is_owner) {
            continue;
        }
        if (is_zero(demand)) {
            erase_member(context.state, demand.workspace, from);
            continue;
        }
        share_ledger& ledger = find_or_create_ledger(context, demand.workspace);
        record_demand(context, ledger, from, demand, *limits, report.applied);
        erase_departed_members(context, ledger);
        if (context.now >= ledger.ready_at) {
            grant.shares.push_back(
                grant_share(context, ledger, from, demand.workspace, *limits, report.sequence));
        }
    }
    if (!grant.shares.empty()) {
        context.out.emplace_back(send_to_peer{*requester, std::move(grant)});
    }
}

void renew_ledgers(const shares_context& context) {
    if (generation(context.roster) == context.state.generation) {
        return;
    }
    context.state.generation = generation(context.roster);
    context.state.roster_since = context.now;
    for (auto& [workspace, ledger] : context.state.ledgers) {
        const instant since = ledger.ownership.since;
        renew_tenure(ledger.ownership, context.roster, share_owner_key(workspace), context.now);
        if (ledger.ownership.last_generation == 0 || ledger.ownership.since != since) {
            ledger.members.clear();
            set_recovery_times(ledger, context.env, context.now);
        }
    }
}

}  // namespace cyclamenmount::detail
