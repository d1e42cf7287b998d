//! Fake of the control loop's client; grants, refuses and records as configured by the test.
#pragma once

#include "control/client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace cyclamenmount::testing {

//! Grants attempts round-robin to the upstreams of the pool that aren't excluded.
struct fake_control {
    struct upstream {
        std::string id;
        std::string address;
        std::string zone{"z1"};
    };

    std::mutex mutex;
    std::map<std::string, std::vector<upstream>> pools;
    std::map<std::string, std::size_t> next_of_pool;
    std::atomic<ticket> tickets{0};
    milliseconds start_window{5000};
    milliseconds expected_first_byte{0};
    //! Start windows of the next grants; later grants use `start_window`.
    std::deque<milliseconds> windows;
    std::vector<attempt_wanted> acquire_calls;
    int granted{0};
    std::vector<event> posted;
    std::vector<std::string> cancelled;  //!< upstreams whose attempts report `is_cancelled`
    std::map<attempt_id, std::string> upstream_of;
    std::optional<refusal> admit_refusal;
    std::function<permit_reply(const permit_request&)> on_permit;
    std::function<claim_reply(const claim_request&)> on_claim;
    bool ready{true};

    decided<attempt_grant> acquire(const attempt_wanted& wanted) {
        const std::lock_guard lock(mutex);
        acquire_calls.push_back(wanted);
        const std::vector<upstream>& all = pools[wanted.pool.value];
        for (std::size_t tried = 0; tried < all.size(); ++tried) {
            const upstream& candidate = all[next_of_pool[wanted.pool.value]++ % all.size()];
            if (std::ranges::count(wanted.excluded, upstream_id{candidate.id}) > 0) {
                continue;
            }
            milliseconds window = start_window;
            if (!windows.empty()) {
                window = windows.front();
                windows.pop_front();
            }
            granted += 1;
            upstream_of[wanted.attempt] = candidate.id;
            return attempt_grant{{candidate.id},
                                 candidate.address,
                                 {candidate.zone},
                                 boot_clock::now() + window,
                                 expected_first_byte};
        }
        return refusal{refusal_reason::no_upstream, execution::not_run, "none", {}, {}};
    }

    control_client client() {
        control_client functions;
        functions.next_ticket = [this] { return ++tickets; };
        functions.post = [this](event posted_event) {
            const std::lock_guard lock(mutex);
            posted.push_back(std::move(posted_event));
        };
        functions.admit = [this](const admission_wanted& wanted,
                                 milliseconds) -> decided<admission> {
            if (admit_refusal) {
                return *admit_refusal;
            }
            return admission{
                {"w-" + wanted.key_sha256.substr(0, 4)}, {"gold"}, 1, wanted.time_left};
        };
        functions.acquire = [this](const attempt_wanted& wanted, milliseconds) {
            return acquire(wanted);
        };
        functions.is_cancelled = [this](const attempt_id& attempt) {
            const std::lock_guard lock(mutex);
            return std::ranges::count(cancelled, upstream_of[attempt]) > 0;
        };
        functions.permit = [this](const permit_request& request, milliseconds) {
            return on_permit ? on_permit(request) : permit_reply{};
        };
        functions.claim = [this](const claim_request& request, milliseconds) {
            return on_claim ? on_claim(request) : claim_reply{};
        };
        functions.ready = [this] { return ready; };
        return functions;
    }

    template <typename Event>
    std::vector<Event> all_posted() {
        const std::lock_guard lock(mutex);
        std::vector<Event> found;
        for (const event& posted_event : posted) {
            if (const auto* candidate = std::get_if<Event>(&posted_event)) {
                found.push_back(*candidate);
            }
        }
        return found;
    }
};

}  // namespace cyclamenmount::testing
