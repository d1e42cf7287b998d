#include "fair_shares/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cyclamenmount {

namespace {

//! Time constant of the served work: longer than the objective of a request, so that a burst is
//! told from a few requests, and as long as a usual burst, so that it is forgotten soon after.
constexpr double decay_ms = 5000;
//! Served work below which an account without waiting work is dropped.
constexpr double min_served = 0.01;

double decayed(const share_account& account, instant now) {
    const auto age = std::max(now - account.updated_at, milliseconds(0));
    return account.served * std::exp(-static_cast<double>(age.count()) / decay_ms);
}

//! Level at which the wants, each cut off at the level, sum up to `capacity`; infinite if all fit.
double fair_level(std::vector<double> wants, double capacity) {
    std::ranges::sort(wants);
    double left = capacity;
    for (std::size_t i = 0; i < wants.size(); ++i) {
        const double equal_share = left / static_cast<double>(wants.size() - i);
        if (wants[i] > equal_share) {
            return equal_share;
        }
        left -= wants[i];
    }
    return std::numeric_limits<double>::infinity();
}

}  // namespace

void record_served(share_ledger& ledger, const workspace_name& workspace, double work,
                   instant now) {
    if (workspace.empty()) {
        return;
    }
    share_account& account = ledger.accounts[workspace];
    account.served = decayed(account, now) + work;
    account.updated_at = now;
}

void update_shares(share_ledger& ledger, const std::map<workspace_name, double>& waiting,
                   double room, instant now) {
    for (auto& [workspace, account] : ledger.accounts) {
        account.waiting = 0;
    }
    for (const auto& [workspace, work] : waiting) {
        if (!workspace.empty()) {
            ledger.accounts[workspace].waiting = work;
        }
    }
    std::erase_if(ledger.accounts, [&](const auto& entry) {
        return entry.second.waiting <= 0 && decayed(entry.second, now) < min_served;
    });
    double capacity = room;
    std::vector<double> wants;
    for (auto& [workspace, account] : ledger.accounts) {
        account.served = decayed(account, now);
        account.updated_at = now;
        capacity += account.served;
        wants.push_back(account.served + account.waiting);
    }
    ledger.level = wants.size() > 1 ? fair_level(std::move(wants), capacity)
                                    : std::numeric_limits<double>::infinity();
}

double served_work(const share_ledger& ledger, const workspace_name& workspace, instant now) {
    const auto found = ledger.accounts.find(workspace);
    return found == ledger.accounts.end() ? 0 : decayed(found->second, now);
}

bool is_beyond_share(const share_ledger& ledger, const workspace_name& workspace,
                     double work_before, instant now) {
    return std::isfinite(ledger.level) && !workspace.empty() &&
           served_work(ledger, workspace, now) + work_before >= ledger.level;
}

std::vector<workspace_name> workspaces_beyond_share(const share_ledger& ledger,
                                                    std::size_t max_count, instant now) {
    std::vector<std::pair<double, workspace_name>> found;
    for (const auto& [workspace, account] : ledger.accounts) {
        if (is_beyond_share(ledger, workspace, account.waiting, now)) {
            found.emplace_back(decayed(account, now) + account.waiting, workspace);
        }
    }
    std::ranges::sort(found, [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    std::vector<workspace_name> names;
    for (auto& [work, workspace] : found) {
        if (names.size() == max_count) {
            break;
        }
        names.push_back(std::move(workspace));
    }
    return names;
}

}  // namespace cyclamenmount
