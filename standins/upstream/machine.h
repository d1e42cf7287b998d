//! The state machine of one upstream: cold, warm, fallen over; and its own counts.
#pragma once

#include "standins/upstream/behaviour.h"
#include "standins/upstream/prefix_cache.h"
#include "standins/upstream/truth.h"

#include <optional>

namespace cyclamenmount::standins {

//! After turning cold without warning, excess starts are counted apart for this long.
inline constexpr milliseconds cold_grace{1000};
//! Work that arrives later than this after an upstream was marked counts as a violation.
inline constexpr milliseconds marked_bound{3000};

struct attempt_key {
    std::string request;
    std::string attempt;

    auto operator<=>(const attempt_key&) const = default;
};

//! What arrived with a piece of work.
struct arriving_work {
    attempt_key key;
    std::string idempotency_key;
    std::string from_zone;
    int socket{-1};
    std::string mark;  //!< the word `mark=...` of the input, by which callers find their work
};

struct running_work {
    std::uint64_t number{0};
    attempt_key key;
    int socket{-1};  //!< to notice a client that has closed
};

enum class start_verdict {
    run,
    wait,       //!< full; an engine may queue it
    fall_over,  //!< more than a cold upstream can bear
    down,
};

struct upstream_machine {
    upstream_settings settings;
    upstream_behaviour behaviour;
    std::string incarnation;
    std::uint64_t epoch{0};  //!< number of falls
    bool down{false};
    bool warm{false};
    instant cold_since;
    instant grace_ends;
    std::optional<instant> out_since;
    std::optional<instant> leaving_since;
    std::map<std::uint64_t, running_work> running;
    std::uint64_t next_number{1};
    std::uint64_t fence_seen{0};
    std::set<std::string> models;
    std::string role;
    prefix_cache cache;
    upstream_truth truth;
    int reported_in_flight{0};
    instant reported_at;
    attempt_key last_seen;  //!< of other work, for misdirected answers
};

upstream_machine make_machine(const upstream_settings& settings, instant now);

//! Turns warm when it is time, and refreshes the load that is reported with a lag.
void refresh(upstream_machine& machine, instant now);

int in_flight(const upstream_machine& machine);

//! Forgets work whose client has closed; `closed` tells whether a socket is.
template <typename Closed>
void drop_gone(upstream_machine& machine, Closed closed) {
    for (auto it = machine.running.begin(); it != machine.running.end();) {
        if (closed(it->second.socket)) {
            ++machine.truth.abandoned;
            it = machine.running.erase(it);
        } else {
            ++it;
        }
    }
}

//! Judges a piece of work that wants to start now, and counts violations.
start_verdict judge_start(upstream_machine& machine, instant now);

//! Counts work that arrived while the upstream was marked out or leaving.
void judge_arrival(upstream_machine& machine, instant now);

//! Starts it after `start_verdict::run`; the number names it in `running`.
std::uint64_t start_work(upstream_machine& machine, const arriving_work& work, instant now);

//! Everything that runs is lost; `restart` brings the upstream back.
void fall_over(upstream_machine& machine, instant now);
void restart(upstream_machine& machine, instant now);

void turn_cold(upstream_machine& machine, instant now);

//! Ends the work of this attempt; true if there was some.
bool cancel_work(upstream_machine& machine, const attempt_key& key);

//! False if refused for its older fence.
bool apply_order(upstream_machine& machine, std::uint64_t fence, const std::string& order,
                 const std::string& name);

std::string state_name(const upstream_machine& machine);
std::string load_header(const upstream_machine& machine);
nlohmann::json status_to_json(const upstream_machine& machine);

}  // namespace cyclamenmount::standins
