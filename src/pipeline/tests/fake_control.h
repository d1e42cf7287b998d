//! A control side that grants, refuses and records as the test says.
#pragma once

#include "control/client.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>

namespace cyclamenmount::testing {

//! Grants attempts in turn over the upstreams of the pool that aren't excluded.
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
    std::deque<milliseconds> windows;  //!< start windows of the next grants; then `start_window`
    std::vector<attempt_wanted> asked;
    int granted{0};
    std::vector<event> posted;
    std::vector<std::string> cancelled;  //!< upstreams whose attempts are to be moved
    std::map<attempt_id, std::string> upstream_of;
    std::optional<refusal> admit_refusal;
    std::function<permit_reply(const permit_request&)> on_permit;
    std::function<claim_reply(const claim_request&)> on_claim;
    bool ready{true};

    decided<attempt_grant> acquire(const attempt_wanted& wanted) {
        const std::lock_guard lock(mutex);
        asked.push_back(wanted);
        const std::vector<upstream>& all = pools[wanted.pool.value];
        for (std::size_t tried = 0; tried < all.size(); ++tried) {
            const upstream& one = all[next_of_pool[wanted.pool.value]++ % all.size()];
            if (std::ranges::count(wanted.excluded, upstream_id{one.id}) > 0) {
                continue;
            }
            milliseconds window = start_window;
            if (!windows.empty()) {
                window = windows.front();
                windows.pop_front();
            }
            granted += 1;
            upstream_of[wanted.attempt] = one.id;
            return attempt_grant{
                {one.id}, one.address, {one.zone}, boot_clock::now() + window, expected_first_byte};
        }
        return refusal{refusal_reason::no_upstream, execution::not_run, "none", {}, {}};
    }

    control_client client() {
        control_client made;
        made.next_ticket = [this] { return ++tickets; };
        made.post = [this](event happened) {
            const std::lock_guard lock(mutex);
            posted.push_back(std::move(happened));
        };
        made.admit = [this](const admission_wanted& wanted, milliseconds) -> decided<admission> {
            if (admit_refusal) {
                return *admit_refusal;
            }
            return admission{
                {"w-" + wanted.key_sha256.substr(0, 4)}, {"gold"}, 1, wanted.time_left};
        };
        made.acquire = [this](const attempt_wanted& wanted, milliseconds) {
            return acquire(wanted);
        };
        made.is_cancelled = [this](const attempt_id& attempt) {
            const std::lock_guard lock(mutex);
            return std::ranges::count(cancelled, upstream_of[attempt]) > 0;
        };
        made.permit = [this](const permit_request& asked_for, milliseconds) {
            return on_permit ? on_permit(asked_for) : permit_reply{};
        };
        made.claim = [this](const claim_request& asked_for, milliseconds) {
            return on_claim ? on_claim(asked_for) : claim_reply{};
        };
        made.ready = [this] { return ready; };
        return made;
    }

    template <typename Event>
    std::vector<Event> all_posted() {
        const std::lock_guard lock(mutex);
        std::vector<Event> found;
        for (const event& happened : posted) {
            if (const auto* one = std::get_if<Event>(&happened)) {
                found.push_back(*one);
            }
        }
        return found;
    }
};

}  // namespace cyclamenmount::testing
