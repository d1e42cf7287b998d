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
#include <vector>

namespace cyclamenmount {

//! What is known from one peer's pings and answers.
struct heard_peer {
    member who;               //!< address empty if only its answers are known
    bool answered{false};     //!< `asked_at` and `versions` are valid
    instant asked_at;         //!< when the latest answered ping was sent
    known_versions versions;  //!< as the newest answer told; its generation never goes back
    instant pinged_at;        //!< arrival of its latest ping
    bool leaving{false};
};

//! One heartbeat: the same sequence goes to every peer.
struct sent_ping {
    std::uint64_t sequence{0};
    instant at;
};

//! What the platform's list said about one member of the roster.
struct listing {
    bool shown{false};                    //!< some read showed it
    std::optional<instant> absent_since;  //!< first of the latest reads that didn't show it
    instant checked_at;                   //!< latest read
};

enum class roster_call { read, propose, settle };

//! The one store call in flight.
struct pending_call {
    store_ticket number;
    roster_call kind{roster_call::read};
    instant since;
    roster value;  //!< of a write
};

//! Safety rules of the roster. Switched off only by checks, to show that they find the violation.
struct roster_rules {
    bool wait_for_fence{true};      //!< a generation settles only after the fence
    bool date_by_sending{true};     //!< an answer counts from the time its ping was sent
    bool settle_before_next{true};  //!< no proposal before the present generation has settled
};

//! Owned by the roster reducer; others use the functions below.
struct roster_state {
    member self;
    roster newest;  //!< highest generation known, settled or not
    object_version newest_version{0};
    roster previous;     //!< the generation before `newest`; empty if not known
    instant adopted_at;  //!< when `newest` became known
    std::map<instance_id, heard_peer> heard;
    std::vector<sent_ping> pings_in_flight;
    std::vector<listed_instance> listed;  //!< entry instances as the platform's list shows them
    bool listed_once{false};
    std::map<instance_id, listing> listings;  //!< of the members of `newest` and `previous`
    std::optional<instant> majority_acknowledged_at;
    std::optional<instant> change_wanted_at;  //!< since when the members should be others
    std::uint64_t sequence{0};
    bool leaving{false};
    instant leaving_since;
    instant next_heartbeat;
    instant next_list;
    std::optional<instant> list_in_flight;  //!< when it was asked for
    std::optional<pending_call> call_in_flight;
    bool object_missing{false};  //!< the store said that there is no roster yet
    std::optional<instant> store_failing_since;
    bool read_wanted{false};  //!< a write may have taken effect
    instant next_read;
    instant next_write;
    std::uint64_t next_ticket{1};
    instant started_at;
    instant last_tick;
    instant awake_since;  //!< end of the latest pause of this process
    roster_rules rules;
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

//! True while this instance is in a settled generation and not left out of the next one.
bool is_member(const roster_state& state);

//! True for this instance itself, and for one that answered a ping sent within `within`.
bool is_reachable(const roster_state& state, const instance_id& id, milliseconds within,
                  instant now);

//! How long this instance has been the home of a key without a break that another could have used.
struct tenure {
    generation_number through{0};  //!< last generation seen as its home; 0: not home
    instant since;
};

//! To be called on every event that a part handles for a key it may be home of.
void renew_tenure(tenure& held, const roster_state& state, std::string_view key, instant now);

//! True if the process of this member has ended, as far as can be known: another process has its
//! address, or the platform's list has dropped it and it doesn't answer. Exclusive homes rest on
//! the assumption that an instance which the list has dropped has ended.
bool has_ended(const roster_state& state, const environment& env, const member& who, instant now);

//! True once a leaving instance may go: it isn't in the settled roster, nobody is left to take
//! over, or the store couldn't be reached for a few seconds.
bool has_left(const roster_state& state, const environment& env, instant now);

//! Weight of a member for a key; the highest wins. XXH3-64 over id and key.
std::uint64_t rendezvous_weight(const instance_id& id, std::string_view key);

}  // namespace cyclamenmount
