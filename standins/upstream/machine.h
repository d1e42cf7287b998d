//! State machine of one simulated upstream (cold, warm, crashed) and its counters.
#pragma once

#include "standins/upstream/behaviour.h"
#include "standins/upstream/prefix_cache.h"
#include "standins/upstream/truth.h"

#include <optional>

namespace cyclamenmount::standins {

//! For this long after turning cold without notice or crashing, starts above the cold capacity
//! don't crash the upstream and are counted separately.
inline constexpr milliseconds cold_grace{1000};
//! Attempts that arrive later than this after the upstream was marked out of service or leaving
//! count as violations.
inline constexpr milliseconds marked_grace{3000};

struct attempt_key {
    std::string request;
    std::string attempt;

    auto operator<=>(const attempt_key&) const = default;
};

//! Identifiers received with an attempt.
struct arriving_work {
    attempt_key key;
    std::string idempotency_key;
    std::string from_zone;
    int socket{-1};
    std::string mark;  //!< the word `mark=...` of the input; identifies a caller's attempts
};

struct running_work {
    std::uint64_t number{0};
    attempt_key key;
    int socket{-1};  //!< descriptor, to detect that the client has disconnected
};

enum class start_decision {
    run,
    wait,   //!< at capacity; an engine may queue the attempt
    crash,  //!< above the cold capacity: the upstream crashes
    down,
};

struct upstream_machine {
    upstream_settings settings;
    upstream_behaviour behaviour;
    std::string incarnation;
    std::uint64_t epoch{0};  //!< number of crashes so far; attempts of an earlier epoch are lost
    bool down{false};
    bool warm{false};
    instant cold_since;
    instant grace_ends;
    std::optional<instant> out_of_service_since;
    std::optional<instant> leaving_since;
    std::map<std::uint64_t, running_work> running;
    std::uint64_t next_number{1};
    std::uint64_t highest_fencing_token{0};
    std::set<std::string> models;
    std::string role;
    prefix_cache cache;
    upstream_truth truth;
    int reported_in_flight{0};
    instant reported_at;
    attempt_key last_seen;  //!< ids of the latest attempt, for misdirected responses
};

upstream_machine make_machine(const upstream_settings& settings, instant now);

//! Turns the upstream warm when its warm-up time has passed, and updates the reported load, which
//! lags by 200 ms.
void refresh(upstream_machine& machine, instant now);

int in_flight(const upstream_machine& machine);

//! Removes running attempts whose client has disconnected, as reported by `closed(socket)`.
template <typename Closed>
void drop_disconnected(upstream_machine& machine, Closed closed) {
    for (auto it = machine.running.begin(); it != machine.running.end();) {
        if (closed(it->second.socket)) {
            ++machine.truth.abandoned;
            it = machine.running.erase(it);
        } else {
            ++it;
        }
    }
}

//! Decides whether an attempt may start now; counts starts above the cold capacity.
start_decision decide_start(upstream_machine& machine, instant now);

//! Counts attempts that arrive while the upstream is marked out of service or leaving.
void record_arrival(upstream_machine& machine, instant now);

//! Adds an attempt to `running` and returns its key there.
std::uint64_t start_work(upstream_machine& machine, const arriving_work& work, instant now);

//! Crashes the upstream: running attempts and the cache are lost.
void crash_upstream(upstream_machine& machine, instant now);

//! Restarts a crashed upstream, cold and with a new incarnation.
void restart(upstream_machine& machine, instant now);

void turn_cold(upstream_machine& machine, instant now);

//! Cancels a running attempt; returns false if it isn't running.
bool cancel_work(upstream_machine& machine, const attempt_key& key);

//! Applies an operator's command; returns false if it was rejected because its fencing token is
//! older than one already seen.
bool apply_order(upstream_machine& machine, std::uint64_t fencing_token, const std::string& order,
                 const std::string& name);

std::string state_name(const upstream_machine& machine);
std::string load_header(const upstream_machine& machine);
nlohmann::json status_to_json(const upstream_machine& machine);

}  // namespace cyclamenmount::standins
