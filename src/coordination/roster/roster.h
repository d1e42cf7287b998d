//! The membership roster of the cell and the ownership of keys that follows from it.
//!
//! The owner of a key is the member with the highest rendezvous hash for it in the active (settled)
//! generation. An owner acts only while its lease is valid: a majority of that generation's members
//! has answered pings that it sent within the lease time.
#pragma once

#include "coordination/environment.h"
#include "types/effects.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenmount {

//! Liveness of one peer, from the pings it sent and the pongs it returned.
struct peer_record {
    member identity;                //!< address is empty if only pongs arrived from it
    bool has_answered{false};       //!< a pong arrived, so the next two members are valid
    instant last_answered_ping_at;  //!< send time of the newest ping that the peer answered
    known_versions versions;        //!< versions in the newest pong; the generation never decreases
    instant last_ping_at;           //!< arrival time of its latest ping, or of its first pong
    bool leaving{false};            //!< the peer's latest ping said that it is draining
};

//! One heartbeat. All peers receive the same sequence number.
struct sent_ping {
    std::uint64_t sequence{0};
    instant at;  //!< send time
};

//! Whether the platform's instance list contains one member of the roster.
struct listing {
    bool was_listed{false};               //!< at least one read of the list contained the member
    std::optional<instant> absent_since;  //!< first read without the member; empty if listed
    instant checked_at;                   //!< latest successful read of the list
};

//! Purpose of a store call: a read, or a write that proposes or settles a generation.
enum class roster_call { read, propose, settle };

//! The store call in flight; there is at most one.
struct pending_store_call {
    store_ticket number;
    roster_call kind{roster_call::read};
    instant started_at;
    roster value;  //!< roster to be written; empty for a read
};

//! Safety rules of the roster. Only tests disable them, one at a time, to show that the state
//! search then finds a violation.
struct roster_rules {
    bool wait_for_lease{true};           //!< settle a generation only after the lease time
    bool date_by_send_time{true};        //!< a pong counts from the send time of its ping
    bool settle_before_proposing{true};  //!< propose only if the newest generation has settled
};

//! Modified only by the roster reducer; other components use the functions below.
struct roster_state {
    member self;
    roster newest;                     //!< highest generation received, settled or not
    object_version newest_version{0};  //!< store version of the object that holds `newest`
    roster previous;     //!< generation directly before `newest`; empty if not received
    instant adopted_at;  //!< time at which `newest` was received
    std::map<instance_id, peer_record> peers;  //!< peers that sent a ping or a pong
    std::vector<sent_ping> pings_in_flight;    //!< recent pings that pongs may still refer to
    std::vector<listed_instance> listed;       //!< entry instances in the latest instance list
    bool has_instance_list{false};             //!< the list was read successfully at least once

    //! Listings of the members of `newest` and `previous`.
    std::map<instance_id, listing> listings;

    //! Time since which a majority of the previous members has acknowledged `newest` or ended.
    std::optional<instant> majority_acknowledged_at;

    std::optional<instant> change_pending_since;  //!< first time at which the members should change
    std::uint64_t sequence{0};                    //!< sequence number of the last heartbeat sent
    bool leaving{false};                          //!< this instance is draining
    instant leaving_since;
    instant next_heartbeat;
    instant next_list_read;  //!< earliest time of the next read of the instance list
    std::optional<instant> list_requested_at;  //!< start of the list read in flight
    std::optional<pending_store_call> call_in_flight;
    bool object_missing{false};  //!< the last read found no roster object in the store
    //! Time of the first failed store call of an outage; empty while calls succeed.
    std::optional<instant> store_failing_since;
    bool read_requested{false};  //!< a store call conflicted or got no reply
    instant next_read;           //!< earliest time of the next read of the roster object
    instant next_write;          //!< earliest time of the next write of the roster object
    std::uint64_t next_ticket{1};
    instant started_at;
    instant last_tick;
    instant resumed_at;  //!< end of the last pause of this process
    roster_rules rules;
};

//! State of an instance that has just started: no roster and no peers.
roster_state make_roster(const environment& env, instant now);

//! State with a settled roster whose members all answered a ping sent at `now`. Used by tests and
//! by programs that embed single components.
roster_state make_settled_roster(const environment& env, std::span<const member> members,
                                 generation_number generation, instant now);

//! Applies one event to the state and appends the resulting effects to `out`.
void reduce_roster(roster_state& state, const environment& env, const event& happened, instant now,
                   effects& out);

//! Members of the newest generation received.
std::span<const member> members(const roster_state& state);

//! Number of the newest generation received; 0 if none.
generation_number generation(const roster_state& state);

//! The instance with this id among the members of the newest or the previous generation or the
//! peers that sent a ping; empty if there is none.
std::optional<member> find_member(const roster_state& state, const instance_id& id);

//! Owner of a key in the newest generation received; empty before the first roster is received.
std::optional<member> owner_of(const roster_state& state, std::string_view key);

//! Member at position `rank` in the key's rendezvous order, for work that a few instances share.
//! Rank 0 is the owner; empty if there are not that many members.
std::optional<member> ranked_owner(const roster_state& state, std::string_view key,
                                   std::size_t rank);

//! True while this instance holds a valid owner lease for `key`. Must be checked before every
//! action.
bool may_act_as_owner(const roster_state& state, const environment& env, std::string_view key,
                      instant now);

//! True if this instance has a quorum: a majority of the newest generation's members answered pings
//! that it sent within the last `within`, and they reported no newer generation.
bool has_quorum(const roster_state& state, milliseconds within, instant now);

//! True while this instance is a member of the settled generation and, if a newer one has been
//! proposed, of that one too.
bool is_member(const roster_state& state);

//! True for this instance itself, and for a peer that answered a ping sent within the last
//! `within`.
bool is_reachable(const roster_state& state, const instance_id& id, milliseconds within,
                  instant now);

//! Ownership tenure: the uninterrupted time in which only this instance can have acted as the owner
//! of a key.
struct tenure {
    //! Last settled generation of the tenure; 0: not the owner.
    generation_number last_generation{0};
    instant since;  //!< start of the tenure
};

//! Updates the tenure for the current roster. Must be called on every event that a component
//! handles for a key that this instance may own.
void renew_tenure(tenure& ownership, const roster_state& state, std::string_view key, instant now);

//! True if the member's process is considered ended: another process answers at its address, or it
//! is no longer in the platform's instance list and doesn't answer pings. Exclusive ownership
//! relies on the assumption that an instance which disappeared from the list has ended.
bool has_ended(const roster_state& state, const environment& env, const member& peer, instant now);

//! True once a leaving instance may exit: it isn't in the settled roster, no other instance remains
//! to take over, the store has been unreachable for a few seconds, or the time limit is over.
bool may_exit(const roster_state& state, const environment& env, instant now);

//! Rendezvous weight of a member for a key: XXH3-64 of the key, seeded with the hash of the id. The
//! member with the highest weight is the owner.
std::uint64_t rendezvous_weight(const instance_id& id, std::string_view key);

}  // namespace cyclamenmount
