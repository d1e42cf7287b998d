#include "upstreams/upstream_client.h"

#include "upstreams/internal/canceller.h"
#include "upstreams/internal/transfer.h"

#include <algorithm>
#include <mutex>

namespace cyclamenmount {

using detail::canceller;
using detail::multi_handle;
using detail::transfer;

// --- upstream_client ----------------------------------------------------------------------------

struct upstream_client::impl {
    explicit impl(upstream_client_settings wanted)
        : settings(wanted), cancel_sender(wanted.cancel_timeout) {}

    multi_handle borrow_connections() {
        const std::lock_guard lock(mutex);
        if (!idle.empty()) {
            multi_handle taken = std::move(idle.back());
            idle.pop_back();
            return taken;
        }
        multi_handle created(curl_multi_init());
        curl_multi_setopt(created.get(), CURLMOPT_MAXCONNECTS,
                          static_cast<long>(settings.max_idle_connections));
        return created;
    }

    void return_connections(multi_handle value) {
        constexpr std::size_t max_idle = 64;
        const std::lock_guard lock(mutex);
        if (idle.size() < max_idle) {
            idle.push_back(std::move(value));
        }
    }

    void count(attempt_fault fault) {
        switch (fault) {
        case attempt_fault::window_passed:
            ++counters.not_started;
            break;
        case attempt_fault::misdirected:
            ++counters.misdirected;
            break;
        case attempt_fault::duplicate_token:
            ++counters.duplicate;
            break;
        case attempt_fault::out_of_order:
            ++counters.out_of_order;
            break;
        case attempt_fault::truncated:
            ++counters.truncated;
            break;
        case attempt_fault::malformed:
        case attempt_fault::too_large:
            ++counters.malformed;
            break;
        case attempt_fault::stalled:
            ++counters.stalled;
            break;
        case attempt_fault::connection_lost:
            ++counters.connections_lost;
            break;
        case attempt_fault::cancelled:
            ++counters.cancelled;
            break;
        default:
            break;
        }
    }

    upstream_client_settings settings;
    upstream_counters counters;
    std::mutex mutex;
    std::vector<multi_handle> idle;  //!< last in, first out
    canceller cancel_sender;
};

upstream_client::upstream_client(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

upstream_client::~upstream_client() = default;

result<std::unique_ptr<upstream_client>> upstream_client::start(upstream_client_settings settings) {
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    if (initialised != CURLE_OK) {
        return error{error_kind::system, "curl_global_init returned an error"};
    }
    return std::unique_ptr<upstream_client>(new upstream_client(std::make_unique<impl>(settings)));
}

upstream_counters& upstream_client::counters() {
    return impl_->counters;
}

// --- attempt_group ------------------------------------------------------------------------------

struct attempt_group::impl {
    explicit impl(upstream_client::impl& client_impl)
        : client(client_impl), multi(client_impl.borrow_connections()) {}

    using position = std::vector<std::unique_ptr<transfer>>::iterator;

    std::unique_ptr<transfer> detach(position found) {
        std::unique_ptr<transfer> taken = std::move(*found);
        curl_multi_remove_handle(multi.get(), taken->handle());
        running.erase(found);
        return taken;
    }

    //! Lets the guard post its event: at once, or after the cancel request if the upstream may
    //! still run the attempt. A non-idempotent call is never cancelled.
    void release(transfer& ended, const attempt_result& value, bool upstream_may_still_run) {
        grant_guard guard = ended.take_guard(value);
        client.count(value.fault);
        const attempt_call& call = ended.call();
        const bool repeatable = call.key.empty();
        if (!upstream_may_still_run || !ended.sent() || !repeatable) {
            return;
        }
        client.cancel_sender.enqueue(
            {call.address, call.request, call.attempt, call.deadline, std::move(guard)});
    }

    void collect_ended(std::vector<attempt_update>& updates) {
        int messages_left = 0;
        while (CURLMsg* message = curl_multi_info_read(multi.get(), &messages_left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            const CURL* handle = message->easy_handle;
            const auto found = std::ranges::find_if(
                running, [handle](const auto& value) { return value->handle() == handle; });
            const std::unique_ptr<transfer> ended = detach(found);
            attempt_update update{ended->call().attempt, ended->take_tokens(), ended->finish(code)};
            const bool response_rejected = code == CURLE_WRITE_ERROR;
            release(*ended, *update.end, response_rejected);
            updates.push_back(std::move(update));
        }
    }

    void collect_timed_out(std::vector<attempt_update>& updates) {
        const instant now = boot_clock::now();
        for (std::size_t index = 0; index < running.size();) {
            const attempt_fault fault = running[index]->check_timeouts(now);
            if (fault == attempt_fault::none) {
                index += 1;
                continue;
            }
            const auto found = running.begin() + static_cast<std::ptrdiff_t>(index);
            const std::unique_ptr<transfer> ended = detach(found);
            attempt_update update{ended->call().attempt, ended->take_tokens(),
                                  ended->finish(fault)};
            release(*ended, *update.end, true);
            updates.push_back(std::move(update));
        }
    }

    void collect_tokens(std::vector<attempt_update>& updates) {
        for (const auto& value : running) {
            std::vector<received_token> tokens = value->take_tokens();
            if (!tokens.empty()) {
                updates.push_back({value->call().attempt, std::move(tokens), std::nullopt});
            }
        }
    }

    std::vector<attempt_update> step() {
        int active = 0;
        curl_multi_perform(multi.get(), &active);
        std::vector<attempt_update> updates;
        collect_ended(updates);
        collect_timed_out(updates);
        collect_tokens(updates);
        return updates;
    }

    [[nodiscard]] milliseconds longest_wait(milliseconds limit) const {
        const instant now = boot_clock::now();
        for (const auto& value : running) {
            limit = std::min(limit, std::max(value->next_check() - now, milliseconds(0)));
        }
        return limit;
    }

    upstream_client::impl& client;
    multi_handle multi;
    std::vector<std::unique_ptr<transfer>> running;
};

attempt_group::attempt_group(upstream_client& client)
    : impl_(std::make_unique<impl>(*client.impl_)) {}

attempt_group::~attempt_group() {
    while (!impl_->running.empty()) {
        cancel(impl_->running.front()->call().attempt);
    }
    impl_->client.return_connections(std::move(impl_->multi));
}

void attempt_group::add(attempt_call call, grant_guard guard) {
    auto created =
        std::make_unique<transfer>(std::move(call), std::move(guard), impl_->client.settings);
    ++impl_->client.counters.attempts;
    curl_multi_add_handle(impl_->multi.get(), created->handle());
    impl_->running.push_back(std::move(created));
}

std::vector<attempt_update> attempt_group::wait(milliseconds limit) {
    std::vector<attempt_update> updates = impl_->step();
    if (!updates.empty()) {
        return updates;
    }
    const auto pause = impl_->longest_wait(limit);
    curl_multi_poll(impl_->multi.get(), nullptr, 0, static_cast<int>(pause.count()), nullptr);
    return impl_->step();
}

std::optional<attempt_result> attempt_group::cancel(const attempt_id& attempt) {
    const auto found = std::ranges::find_if(
        impl_->running, [&attempt](const auto& value) { return value->call().attempt == attempt; });
    if (found == impl_->running.end()) {
        return std::nullopt;
    }
    const std::unique_ptr<transfer> ended = impl_->detach(found);
    attempt_result value = ended->finish(attempt_fault::cancelled);
    impl_->release(*ended, value, true);
    return value;
}

std::size_t attempt_group::running() const {
    return impl_->running.size();
}

}  // namespace cyclamenmount
