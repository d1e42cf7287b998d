//! Upstreams as this instance knows them, and the cold ones' slots at their homes.
//!
//! An upstream is presumed cold until its own report, read by its home, says warm. While it is cold
//! only slots given by its home admit work, each bound to one attempt and its deadline, counted
//! over all instances.
#pragma once

#include "coordination/documents/documents.h"

#include <deque>
#include <set>

namespace cyclamenmount {

//! One upstream as known here.
struct known_upstream {
    upstream_id id;
    pool_name pool;
    std::string address;
    zone_name zone;
    bool listed_leaving{false};
    upstream_report report;  //!< newest, from its home, a response or a poll
    bool warm{false};        //!< declared warm by its home, for this incarnation
    instant warm_heard_at;   //!< when its home last said so
    generation_number verdict_generation{0};
};

//! A slot given out, at the home.
struct slot {
    attempt_id attempt;
    instance_id holder;
    instant ends_at;
    bool restartable{false};
    bool cancelling{false};
};

struct waiting_slot_request {
    instance_id from;
    slot_request request;
    instant asked_at;
};

//! The home's book for one upstream.
struct slot_book {
    tenure held;
    bool ready{false};  //!< holdings are known; slots may be given
    instant ready_not_before;
    std::set<instance_id> not_yet_reported;  //!< members whose holdings aren't known
    std::map<attempt_id, slot> slots;
    std::deque<waiting_slot_request> waiting;
    instant next_poll;
    bool poll_in_flight{false};
};

//! An attempt that runs here, whatever the condition of its upstream.
struct running_attempt {
    upstream_id upstream;
    instant ends_at;
    bool restartable{false};
};

//! Owned by the slots reducer; others use the functions below.
struct slots_state {
    std::map<upstream_id, known_upstream> known;
    std::map<upstream_id, slot_book> books;
    std::map<attempt_id, running_attempt> running;
};

slots_state make_slots();

void reduce_slots(slots_state& state, const environment& env, const roster_state& roster,
                  const documents_state& documents, const event& happened, instant now,
                  effects& out);

//! True if work may go there now only with a slot of its home.
bool needs_slot(const known_upstream& upstream, const environment& env, instant now);

//! Asks the home for a slot; the reply comes as a `slot_reply`. False if there is no home.
bool ask_slot(const slots_state& state, const environment& env, const roster_state& roster,
              slot_request request, effects& out);

//! Notes an attempt that was granted here, with or without a slot.
void note_attempt(slots_state& state, attempt_id attempt, running_attempt value);

//! Key of an upstream for `home_of`.
std::string home_key(const upstream_id& upstream);

}  // namespace cyclamenmount
