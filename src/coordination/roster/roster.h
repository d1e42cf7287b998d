//! Membership of the cell and the homes that follow from it.
//!
//! The home of a key is the highest rendezvous hash over the members of the active generation. A
//! home acts only while it has heard a majority of that generation's members within the fence.
#pragma once

#include "coordination/environment.h"
#include "types/effects.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace cyclamenmount {

//! What is known from one peer's last answer.
struct heard_peer {
    member who;
    instant asked_at;         //!< when the answered ping was sent
    known_versions versions;  //!< as the answer told
    bool leaving{false};
};

struct sent_ping {
    std::uint64_t sequence{0};
    instant at;
};

//! Owned by the roster reducer; others use the functions below.
struct roster_state {
    member self;
    roster newest;  //!< highest generation known, settled or not
    object_version newest_version{0};
    roster previous;  //!< the generation before `newest`; empty if not known
    std::map<instance_id, heard_peer> heard;
    std::map<instance_id, std::vector<sent_ping>> pings_in_flight;
    std::vector<listed_instance> listed;     //!< entry instances as the platform's list shows them
    std::map<std::string, instant> dropped;  //!< ids that the list showed and has dropped since
    std::optional<instant> majority_acknowledged_at;
    std::uint64_t sequence{0};
    bool leaving{false};
    instant next_heartbeat;
    instant next_list;
    bool list_in_flight{false};
    std::optional<store_ticket> call_in_flight;
    std::string own_proposal;  //!< id of the write in flight
    std::uint64_t next_ticket{1};
    instant started_at;
};

//! State of an instance that has heard of nobody yet.
roster_state make_roster(const environment& env, instant now);

//! State with a settled roster whose members were all heard at `now`. For embedders and tests.
roster_state make_settled_roster(const environment& env, std::span<const member> members,
                                 generation_number generation, instant now);

void reduce_roster(roster_state& state, const environment& env, const event& happened, instant now,
                   effects& out);

//! Members of the newest known generation.
std::span<const member> members(const roster_state& state);

generation_number generation(const roster_state& state);

//! The member with this id, in the newest or the previous generation, or as heard.
std::optional<member> find_member(const roster_state& state, const instance_id& id);

//! Home of a key under the newest known generation; none before a roster is known.
std::optional<member> home_of(const roster_state& state, std::string_view key);

//! Member of rank `rank` for a key (0: the home), for work that a few instances share.
std::optional<member> ranked_home(const roster_state& state, std::string_view key,
                                  std::size_t rank);

//! True while this instance may act as the home of `key`. To be asked at every act.
bool may_act(const roster_state& state, const environment& env, std::string_view key, instant now);

//! True if a majority of the newest generation answered pings sent within `within`.
bool hears_majority(const roster_state& state, milliseconds within, instant now);

//! True once this instance is in a settled generation.
bool is_member(const roster_state& state);

//! How long this instance has been the home of a key without a break that another could have used.
struct tenure {
    generation_number through{0};  //!< last generation seen as its home; 0: not home
    instant since;
};

//! To be called on every event that a part handles for a key it may be home of.
void renew_tenure(tenure& held, const roster_state& state, std::string_view key, instant now);

namespace detail {

//! Weight of a member for a key; the highest wins. XXH3-64 over id and key.
std::uint64_t rendezvous_weight(const instance_id& id, std::string_view key);

}  // namespace detail

}  // namespace cyclamenmount
