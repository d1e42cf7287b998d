//! Upstreams as this instance knows them, and the cold ones' slots at their homes.
//!
//! An upstream is presumed cold until its own report, read by its home, says warm. While it is cold
//! only slots given by its home admit work, each bound to one attempt and its deadline, counted
//! over all instances.
//!
//! A home gives slots once its tenure is older than the fence and the start window, and it knows
//! what every member holds. A member that doesn't answer is taken to fill the upstream until no new
//! work of it can start any more; from then on the upstream's own count of running attempts bounds
//! what it holds, and after the longest attempt it holds nothing.
#pragma once

#include "coordination/documents/documents.h"

#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace cyclamenmount {

//! One upstream as known here.
struct known_upstream {
    upstream_id id;
    pool_name pool;
    std::string address;
    zone_name zone;
    std::uint64_t subset_weight{0};  //!< in this instance's subset of a large pool
    bool listed_leaving{false};
    upstream_report report;                      //!< newest, from its home, a response or a poll
    std::vector<std::string> past_incarnations;  //!< replaced ones, newest last, bounded
    bool warm{false};  //!< declared warm by its home, for this incarnation
    instant warm_since;
    instant warm_heard_at;                    //!< when its home last said so
    instant warm_response_at;                 //!< when a response last said so
    instant warm_not_before;                  //!< verdicts of warmth until then are too old
    generation_number verdict_generation{0};  //!< newest seen in a message of its home
    std::optional<member> home;               //!< under `home_generation`
    generation_number home_generation{0};
    int running{0};            //!< attempts granted here and not ended
    int running_at_report{0};  //!< those as `report` was made
};

//! A slot given out or found held, at the home.
struct slot {
    attempt_id attempt;
    instance_id holder;
    instant ends_at;
    std::optional<instant> granted_at;  //!< none if it was found held
    bool restartable{false};
    bool cancelling{false};
};

struct waiting_slot_request {
    instance_id from;
    slot_request request;
    instant asked_at;
};

//! What the home makes of its upstream.
enum class home_verdict {
    unknown,  //!< no poll since a sign of cold; nothing is admitted
    cold,
    warm,
};

//! The home's book for one upstream.
struct slot_book {
    tenure held;
    home_verdict verdict{home_verdict::unknown};
    instant cold_since;
    instant sign_at;                         //!< of the last sign of cold; older polls don't count
    std::set<instance_id> not_yet_reported;  //!< members whose holdings aren't known
    std::map<instance_id, instant> asked;    //!< oldest unanswered question for holdings
    std::map<attempt_id, slot> slots;
    std::deque<instant> released;  //!< lately, for comparison with the upstream's own count
    std::deque<waiting_slot_request> waiting;
    instant next_ask;
    instant next_poll;
    bool poll_in_flight{false};
    instant poll_asked_at;
    std::optional<instant> answered_poll_asked_at;
    int polls_unanswered{0};
    int unaccounted{0};  //!< running by the upstream's own count, held by nobody known
};

//! An attempt that was granted here and hasn't ended, whatever the condition of its upstream.
struct running_attempt {
    upstream_id upstream;
    instant ends_at;
    bool restartable{false};
    attempt_id slot;          //!< name of its slot; empty if it started without one
    std::string incarnation;  //!< of the upstream as it was granted; set by `note_attempt`
};

//! Owned by the slots reducer; others use the functions below.
struct slots_state {
    std::map<upstream_id, known_upstream> known;
    std::map<upstream_id, slot_book> books;
    std::map<attempt_id, running_attempt> running;
    instant next_notice;
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

//! Gives back a slot, or takes a request for one out of the home's queue.
void release_slot(const slots_state& state, const roster_state& roster, const upstream_id& upstream,
                  const attempt_id& slot, effects& out);

//! True if the upstream is about to go; nothing new may start there.
bool is_leaving(const known_upstream& upstream);

//! Notes an attempt that was granted here, with or without a slot.
void note_attempt(slots_state& state, attempt_id attempt, running_attempt value);

//! Key of an upstream for `home_of`.
std::string home_key(const upstream_id& upstream);

}  // namespace cyclamenmount
