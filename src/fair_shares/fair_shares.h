//! Equal shares of a scarce resource among workspaces, by the work recently served to each.
//!
//! Pure functions over plain data. Shares are max-min fair: a workspace that wants less than an
//! equal share leaves the rest to the others, so no capacity is kept back for anybody.
#pragma once

#include "types/ids.h"
#include "types/time.h"

#include <limits>
#include <map>
#include <vector>

namespace cyclamenmount {

//! Work of one workspace, in any unit that is the same for all.
struct share_account {
    double served{0};      //!< served work, decaying exponentially
    instant updated_at{};  //!< time to which `served` has decayed
    double waiting{0};     //!< work that wants to be served now
};

struct share_ledger {
    std::map<workspace_name, share_account> accounts;
    //! Work up to which a workspace is within its share; infinite while there is room for all.
    double level{std::numeric_limits<double>::infinity()};
};

//! Adds work that was served to the workspace. An empty workspace isn't accounted.
void record_served(share_ledger& ledger, const workspace_name& workspace, double work, instant now);

//! Sets what waits, derives the level, and drops the accounts of workspaces without work. `room` is
//! the work that can be served at once.
void update_shares(share_ledger& ledger, const std::map<workspace_name, double>& waiting,
                   double room, instant now);

//! Served work of a workspace, decayed to `now`.
double served_work(const share_ledger& ledger, const workspace_name& workspace, instant now);

//! True if the share of the workspace is used up by its served work and the work that is to be
//! served to it before. Never true of an empty workspace.
bool is_beyond_share(const share_ledger& ledger, const workspace_name& workspace,
                     double work_before, instant now);

//! Workspaces further work of which would be beyond their share, the largest account first.
std::vector<workspace_name> workspaces_beyond_share(const share_ledger& ledger,
                                                    std::size_t max_count, instant now);

}  // namespace cyclamenmount
