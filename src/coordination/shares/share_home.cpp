#include "coordination/shares/internal/share_home.h"

#include <algorithm>

namespace cyclamenmount::detail {

namespace {

//! Reports of living members come within this many periods.
constexpr int periods_until_heard = 3;

void set_ready(share_book& book, const environment& env, instant since) {
    book.ready_at = since + env.timing.share_lapse;
    book.complete_at = book.ready_at + env.timing.share_period * periods_until_heard;
}

share_book& open_book(const shares_context& context, const workspace_name& workspace) {
    auto [place, fresh] = context.state.books.try_emplace(workspace);
    if (fresh) {
        renew_tenure(place->second.held, context.roster, share_home_key(workspace), context.now);
        set_ready(place->second, context.env, context.state.roster_since);
    }
    return place->second;
}

//! Drops what the member can't be using any more.
void drop_superseded(member_demand& value, std::uint64_t applied, instant now) {
    const auto confirmed = std::find_if(value.grants.begin(), value.grants.end(),
                                        [applied](const outstanding_grant& grant) {
                                            return applied != 0 && grant.sequence == applied;
                                        });
    if (confirmed != value.grants.end()) {
        value.grants.erase(value.grants.begin(), confirmed);
    }
    while (value.grants.size() > 1 && value.grants.front().ends_at <= now) {
        value.grants.erase(value.grants.begin());
    }
}

//! A member first heard soon after the tenure began may go on with the lapsed share of an earlier
//! home, which is at most the even one, until it confirms a share of this home.
void note_demand(const shares_context& context, share_book& book, const instance_id& from,
                 const workspace_demand& demand, const allowance& limits, std::uint64_t applied) {
    const auto [place, fresh] = book.members.try_emplace(from);
    member_demand& value = place->second;
    if (fresh && context.now < book.complete_at) {
        const workspace_share even =
            even_share(demand.workspace, limits, members(context.roster).size());
        value.grants.push_back({0, even, instant::max(), instant::max()});
    }
    value.demand = demand;
    value.heard_at = context.now;
    drop_superseded(value, applied, context.now);
}

//! The most that a member may be using.
workspace_share possible_use(const shares_context& context, const share_book& book,
                             const instance_id& id, const allowance& limits) {
    const std::size_t count = members(context.roster).size();
    workspace_share most = floor_share({}, limits, count);
    const workspace_share even = even_share({}, limits, count);
    const auto found = book.members.find(id);
    if (found == book.members.end()) {
        return context.now < book.complete_at ? higher_of(most, even) : most;
    }
    const member_demand& value = found->second;
    for (const outstanding_grant& grant : value.grants) {
        workspace_share used = grant.share;
        if (grant.lapses_at <= context.now) {
            used = lower_of(grant.share, even);
            used.concurrent =
                grant.ends_at > context.now ? grant.share.concurrent : used.concurrent;
        }
        most = higher_of(most, used);
    }
    most.concurrent = std::max(most.concurrent, value.demand.running);
    return most;
}

//! What may be divided: the limits without the floor of a member that may join.
workspace_share divisible(const shares_context& context, const allowance& limits) {
    const workspace_share kept = floor_share({}, limits, members(context.roster).size());
    return {{},
            limits.requests_per_second - kept.requests_per_second,
            limits.concurrent - kept.concurrent,
            limits.tokens_per_minute - kept.tokens_per_minute};
}

//! What is left beside everybody else.
workspace_share left_for(const shares_context& context, const share_book& book,
                         const instance_id& id, const allowance& limits) {
    workspace_share left = divisible(context, limits);
    const auto take = [&](const instance_id& other) {
        const workspace_share used = possible_use(context, book, other, limits);
        left.requests_per_second -= used.requests_per_second;
        left.concurrent -= used.concurrent;
        left.tokens_per_minute -= used.tokens_per_minute;
    };
    for (const member& other : members(context.roster)) {
        if (other.id != id) {
            take(other.id);
        }
    }
    for (const auto& place : book.members) {
        const auto all = members(context.roster);
        const bool listed = std::any_of(all.begin(), all.end(), [&place](const member& value) {
            return value.id == place.first;
        });
        if (!listed && place.first != id) {
            take(place.first);
        }
    }
    return left;
}

//! The fair part of one member, by the demands of all.
workspace_share fair_share(const shares_context& context, const share_book& book,
                           const instance_id& id, const allowance& limits) {
    const auto all = members(context.roster);
    const workspace_share lowest = floor_share({}, limits, all.size());
    const workspace_share whole = divisible(context, limits);
    std::vector<double> rates;
    std::vector<int> units;
    std::vector<double> tokens;
    std::size_t place = 0;
    for (std::size_t index = 0; index < all.size(); ++index) {
        const auto found = book.members.find(all[index].id);
        const workspace_demand demand =
            found == book.members.end() ? workspace_demand{} : found->second.demand;
        rates.push_back(std::max(lowest.requests_per_second, demand.requests_per_second));
        units.push_back(std::max(lowest.concurrent, demand.concurrent));
        tokens.push_back(std::max(lowest.tokens_per_minute, demand.tokens_per_minute));
        place = all[index].id == id ? index : place;
    }
    return {{},
            divide(whole.requests_per_second, rates)[place],
            divide_units(whole.concurrent, units)[place],
            divide(whole.tokens_per_minute, tokens)[place]};
}

workspace_share grant_share(const shares_context& context, share_book& book, const instance_id& id,
                            const workspace_name& workspace, const allowance& limits,
                            std::uint64_t sequence) {
    const workspace_share fair = fair_share(context, book, id, limits);
    workspace_share share = lower_of(fair, left_for(context, book, id, limits));
    share = higher_of(share, floor_share({}, limits, members(context.roster).size()));
    share.workspace = workspace;
    const instant lapses_at = context.now + context.env.timing.share_lapse;
    book.members[id].grants.push_back(
        {sequence, share, lapses_at, lapses_at + context.env.timing.longest_attempt});
    return share;
}

void drop_gone_members(const shares_context& context, share_book& book) {
    std::erase_if(book.members, [&context](const auto& place) {
        const bool listed = find_member(context.roster, place.first).has_value();
        const auto& grants = place.second.grants;
        return !listed && (grants.empty() || grants.back().ends_at <= context.now);
    });
}

//! The member has given its share up.
void drop_member(shares_state& state, const workspace_name& workspace, const instance_id& id) {
    const auto found = state.books.find(workspace);
    if (found == state.books.end()) {
        return;
    }
    found->second.members.erase(id);
    if (found->second.members.empty()) {
        state.books.erase(found);
    }
}

}  // namespace

std::string share_home_key(const workspace_name& workspace) {
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
    renew_books(context);
    const auto asker =
        from == context.env.self.id ? context.env.self : find_member(context.roster, from);
    if (!asker) {
        return;
    }
    share_grant grant{generation(context.roster), {}, report.sequence};
    for (const workspace_demand& demand : report.demands) {
        const allowance* limits = limits_of(context.documents, demand.workspace);
        const bool acts =
            may_act(context.roster, context.env, share_home_key(demand.workspace), context.now);
        if (limits == nullptr || !acts) {
            continue;
        }
        if (is_zero(demand)) {
            drop_member(context.state, demand.workspace, from);
            continue;
        }
        share_book& book = open_book(context, demand.workspace);
        note_demand(context, book, from, demand, *limits, report.applied);
        drop_gone_members(context, book);
        if (context.now >= book.ready_at) {
            grant.shares.push_back(
                grant_share(context, book, from, demand.workspace, *limits, report.sequence));
        }
    }
    if (!grant.shares.empty()) {
        context.out.emplace_back(send_to_peer{*asker, std::move(grant)});
    }
}

void renew_books(const shares_context& context) {
    if (generation(context.roster) == context.state.generation) {
        return;
    }
    context.state.generation = generation(context.roster);
    context.state.roster_since = context.now;
    for (auto& [workspace, book] : context.state.books) {
        const instant since = book.held.since;
        renew_tenure(book.held, context.roster, share_home_key(workspace), context.now);
        if (book.held.through == 0 || book.held.since != since) {
            book.members.clear();
            set_ready(book, context.env, context.now);
        }
    }
}

}  // namespace cyclamenmount::detail
