//! Replay of an order over several processes with a fake store, in steps of 100 ms.
#pragma once

#include "version_rollout/version_rollout.h"

#include <functional>
#include <random>

namespace cyclamenmount::testing {

inline const pool_name the_pool{"p"};
inline const software_version old_version{"1"};
inline const software_version new_version{"2"};

//! How an upstream of a version answers a request.
struct version_answer {
    bool is_bad{false};
    milliseconds first_event{100};
    milliseconds longest_gap{30};
};

using answer_function =
    std::function<version_answer(const software_version& version, const std::string& route,
                                 milliseconds at, std::mt19937& random)>;

//! What a bad version got.
struct exposure {
    std::uint64_t pool{0};               //!< requests of the pool until the verdict
    std::uint64_t target{0};             //!< requests sent to the target
    std::uint64_t target_bad{0};         //!< bad responses of it
    milliseconds last_sent{0};           //!< last request to it
    milliseconds bad_limit_reached{-1};  //!< when its 50th bad response came; negative: never
};

class rollout_fleet {
public:
    rollout_fleet(std::size_t instances, answer_function answer);

    //! Writes the order; it stays as it is until the status changes.
    void write_order(const std::string& created = "1", milliseconds duration = milliseconds(60'000),
                     const software_version& target = new_version);
    void remove_order();
    //! Adds upstreams of the version.
    void add_upstreams(const software_version& version, int count);
    //! Runs the fleet with so many requests a second of all instances together.
    void run(milliseconds time, double requests_per_second);
    //! Runs until the status is final or the time has passed.
    void run_to_verdict(milliseconds time, double requests_per_second);

    [[nodiscard]] std::optional<rollout_phase> phase() const;

    [[nodiscard]] milliseconds now() const {
        return now_ - instant{};
    }

    void restart(std::size_t instance);
    [[nodiscard]] std::size_t decider() const;  //!< the instance of the first rank

    //! Instances that neither run nor receive anything.
    std::set<std::size_t> frozen;
    //! Instances without peer messages.
    std::set<std::size_t> cut_off;
    //! Instances that don't read the store.
    std::set<std::size_t> without_store;
    bool is_store_down{false};
    std::vector<std::string> routes{"/r"};
    exposure seen;
    std::vector<rollout_decision> decisions;
    rollout_order stored;
    bool has_order{false};
    std::vector<rollout_phase> written;  //!< phases in the order in which they were stored
    std::vector<rollout_state> states;
    fleet_view view;

private:
    struct open_request {
        std::size_t instance;
        ended_request ended;
        instant ends_at;
    };

    void publish(std::size_t instance);
    void step(double requests_per_second);
    void send(std::size_t instance);
    void carry_out(std::size_t instance, const std::vector<rollout_effect>& effects);
    void write(const write_rollout_status& wanted);

    answer_function answer_;
    instant now_{milliseconds(1'000'000)};
    instant ordered_at_{};
    std::mt19937 random_{7};
    double due_{0};
    std::vector<open_request> open_;
    std::vector<std::pair<std::size_t, peer_message>> messages_;
    std::uint64_t restarts_{0};
};

}  // namespace cyclamenmount::testing
