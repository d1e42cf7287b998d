#include "control_loop/control_loop.h"

#include "control_loop/internal/decisions.h"
#include "types/overloaded.h"

#include <atomic>
#include <deque>
#include <exception>
#include <mutex>
#include <set>
#include <thread>
#include <typeinfo>

#include <boost/core/demangle.hpp>
#include <glog/logging.h>

namespace cyclamenmount {

namespace {

using detail::decision;

//! Pause after an unexpected exception of the loop itself.
constexpr milliseconds failure_pause{100};

//! A callback that reads the control state on the control thread, between two events.
struct inspection {
    const std::function<void(const control_state&)>* callback{nullptr};
    std::exception_ptr failure;  //!< exception of the callback
    bool done{false};
};

//! Type name of the event or effect that `value` holds.
template <typename Variant>
std::string kind_of(const Variant& value) {
    return std::visit([](const auto& held) { return boost::core::demangle(typeid(held).name()); },
                      value);
}

void log_failure(const std::string& subject, const std::exception& failure) {
    LOG(ERROR) << "control loop: " << subject << ": unexpected exception: " << failure.what();
}

std::optional<event> return_admission(const decision& late_decision, ticket number) {
    const auto& received = std::get<admission_decided>(late_decision).decision;
    if (received.has_error()) {
        return std::nullopt;
    }
    return request_ended{number, received.value().workspace, 0};
}

std::optional<event> return_attempt(const decision& late_decision) {
    const auto& received = std::get<attempt_decided>(late_decision);
    if (received.decision.has_error()) {
        return std::nullopt;
    }
    attempt_ended ended;
    ended.attempt = received.attempt;
    ended.upstream = received.decision.value().upstream;
    ended.outcome = attempt_outcome::not_started;
    return ended;
}

std::optional<event> return_permit(const decision& late_decision, const permit_request& request) {
    const auto& reply = std::get<permit_decided>(late_decision).reply;
    if (reply.verdict != permit_verdict::granted) {
        return std::nullopt;
    }
    return permit_returned{{request.workspace, request.key, reply.permit}};
}

std::optional<event> return_claim(const decision& late_decision, const claim_request& request) {
    const auto& reply = std::get<claim_decided>(late_decision).reply;
    if (reply.verdict != claim_verdict::run) {
        return std::nullopt;
    }
    return claim_ended{{request.workspace, request.key, request.request}};
}

refusal no_decision(const char* detail) {
    return {refusal_reason::overloaded, execution::not_run, detail, "", milliseconds(0)};
}

}  // namespace

struct control_loop::impl {
    control_state state;
    effect_handlers handlers;
    detail::pending_decisions decisions;

    std::mutex mutex;
    std::condition_variable work_available;
    std::condition_variable inspection_done;
    std::deque<event> event_queue;        //!< guarded by `mutex`
    std::deque<inspection*> inspections;  //!< guarded by `mutex`
    bool stopping{false};                 //!< guarded by `mutex`

    std::mutex cancelled_mutex;
    //! Cancelled attempts that haven't ended; guarded by `cancelled_mutex`.
    std::set<attempt_id> cancelled;

    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_drained{false};
    std::thread thread;

    void post(event new_event);
    void run();
    bool run_guarded(instant& next_tick);
    bool run_once(instant& next_tick);
    void inspect_state();
    void apply(const event& new_event);
    effects reduce_guarded(const event& new_event);
    void execute_guarded(const effect& wanted);
    void execute(const effect& wanted);
    void deliver(decision value);
    std::optional<decision> request_decision(ticket number, event request, milliseconds limit,
                                             detail::return_event_factory make_return_event);
    void assign_ticket(ticket& number);
    decided<admission> admit(admission_wanted wanted, milliseconds limit);
    decided<attempt_grant> acquire(attempt_wanted wanted, milliseconds limit);
    permit_reply permit(permit_request wanted, milliseconds limit);
    claim_reply claim(claim_request wanted, milliseconds limit);
    template <typename Edit>
    result<edit_decided> edit(Edit wanted, milliseconds limit);
};

void control_loop::impl::post(event new_event) {
    if (const auto* const ended = std::get_if<attempt_ended>(&new_event)) {
        const std::scoped_lock lock(cancelled_mutex);
        cancelled.erase(ended->attempt);
    }
    const std::scoped_lock lock(mutex);
    event_queue.push_back(std::move(new_event));
    work_available.notify_one();
}

void control_loop::impl::run() {
    instant next_tick = boot_clock::now();
    while (run_guarded(next_tick)) {}
    decisions.close();
    const std::scoped_lock lock(mutex);
    inspections.clear();
    inspection_done.notify_all();
}

//! Like `run_once`, and goes on after an exception.
bool control_loop::impl::run_guarded(instant& next_tick) {
    try {
        return run_once(next_tick);
    } catch (const std::exception& failure) {
        log_failure("thread", failure);
    }
    std::this_thread::sleep_for(failure_pause);
    return true;
}

//! Carries out the queued inspections; called with `mutex` locked.
void control_loop::impl::inspect_state() {
    while (!inspections.empty()) {
        auto* const next = inspections.front();
        inspections.pop_front();
        try {
            (*next->callback)(state);
        } catch (...) {
            next->failure = std::current_exception();
        }
        next->done = true;
        inspection_done.notify_all();
    }
}

//! Waits for events, inspections or the next tick and handles them; false once stopped.
bool control_loop::impl::run_once(instant& next_tick) {
    std::unique_lock lock(mutex);
    const auto has_work = [this] {
        return stopping || !event_queue.empty() || !inspections.empty();
    };
    work_available.wait_for(lock, std::max(milliseconds(0), next_tick - boot_clock::now()),
                            has_work);
    if (stopping) {
        return false;
    }
    inspect_state();
    std::deque<event> batch;
    batch.swap(event_queue);
    lock.unlock();
    for (const auto& new_event : batch) {
        apply(new_event);
    }
    if (boot_clock::now() >= next_tick) {
        apply(tick{});
        next_tick = boot_clock::now() + state.env.timing.tick;
    }
    return true;
}

void control_loop::impl::apply(const event& new_event) {
    for (const auto& wanted : reduce_guarded(new_event)) {
        execute_guarded(wanted);
    }
    is_ready.store(cyclamenmount::is_ready(state.admission, state.roster, state.documents));
}

//! Effects of the event; none if the reducer throws an exception.
effects control_loop::impl::reduce_guarded(const event& new_event) {
    try {
        return reduce(state, new_event, boot_clock::now());
    } catch (const std::exception& failure) {
        log_failure("event " + kind_of(new_event), failure);
    }
    return {};
}

void control_loop::impl::execute_guarded(const effect& wanted) {
    try {
        execute(wanted);
    } catch (const std::exception& failure) {
        log_failure("effect " + kind_of(wanted), failure);
    }
}

void control_loop::impl::execute(const effect& wanted) {
    std::visit(overloaded{
                   [this](const send_to_peer& message) { handlers.send(message); },
                   [this](const store_read& call) { handlers.read(call); },
                   [this](const store_write& call) { handlers.write(call); },
                   [this](const watch_prefix& call) { handlers.watch(call); },
                   [this](const list_instances& call) { handlers.list(call); },
                   [this](const poll_upstream& call) { handlers.poll(call); },
                   [this](const order_upstream& call) { handlers.order(call); },
                   [this](const log_line& line) { handlers.log(line); },
                   [this](const attempt_cancelled& cancellation) {
                       const std::scoped_lock lock(cancelled_mutex);
                       cancelled.insert(cancellation.attempt);
                   },
                   [this](const cyclamenmount::drained&) { is_drained.store(true); },
                   [this](const auto& value) { deliver(value); },
               },
               wanted);
}

void control_loop::impl::deliver(decision value) {
    if (auto return_event = decisions.deliver(std::move(value))) {
        post(std::move(*return_event));
    }
}

std::optional<decision>
control_loop::impl::request_decision(ticket number, event request, milliseconds limit,
                                     detail::return_event_factory make_return_event) {
    decisions.add(number, std::move(make_return_event));
    post(std::move(request));
    return decisions.wait(number, limit);
}

//! Assigns a ticket unless the caller has already taken one.
void control_loop::impl::assign_ticket(ticket& number) {
    if (number == 0) {
        number = decisions.next();
    }
}

decided<admission> control_loop::impl::admit(admission_wanted wanted, milliseconds limit) {
    assign_ticket(wanted.number);
    const auto make_return_event = [number = wanted.number](const decision& value) {
        return return_admission(value, number);
    };
    const auto received = request_decision(wanted.number, wanted, limit, make_return_event);
    if (!received.has_value()) {
        return no_decision("no admission decision from the control thread in the time allowed");
    }
    return std::get<admission_decided>(*received).decision;
}

decided<attempt_grant> control_loop::impl::acquire(attempt_wanted wanted, milliseconds limit) {
    assign_ticket(wanted.number);
    const auto received = request_decision(wanted.number, wanted, limit, &return_attempt);
    if (!received.has_value()) {
        return no_decision("no upstream was granted in the time allowed");
    }
    return std::get<attempt_decided>(*received).decision;
}

permit_reply control_loop::impl::permit(permit_request wanted, milliseconds limit) {
    assign_ticket(wanted.number);
    const auto make_return_event = [wanted](const decision& value) {
        return return_permit(value, wanted);
    };
    const auto received =
        request_decision(wanted.number, permit_wanted{wanted}, limit, make_return_event);
    return received.has_value() ? std::get<permit_decided>(*received).reply : permit_reply{};
}

claim_reply control_loop::impl::claim(claim_request wanted, milliseconds limit) {
    assign_ticket(wanted.number);
    const auto make_return_event = [wanted](const decision& value) {
        return return_claim(value, wanted);
    };
    const auto received =
        request_decision(wanted.number, claim_wanted{wanted}, limit, make_return_event);
    return received.has_value() ? std::get<claim_decided>(*received).reply : claim_reply{};
}

template <typename Edit>
result<edit_decided> control_loop::impl::edit(Edit wanted, milliseconds limit) {
    assign_ticket(wanted.number);
    const auto received = request_decision(wanted.number, wanted, limit, nullptr);
    if (!received.has_value()) {
        return error{error_kind::timeout,
                     "no decision on the edit from the control thread in the time allowed"};
    }
    return std::get<edit_decided>(*received);
}

result<std::unique_ptr<control_loop>> control_loop::start(environment env) {
    auto implementation = std::make_unique<impl>();
    implementation->state = make_control(std::move(env), boot_clock::now());
    return std::unique_ptr<control_loop>(new control_loop(std::move(implementation)));
}

control_loop::control_loop(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}

control_loop::~control_loop() {
    stop();
}

void control_loop::run(effect_handlers handlers) {
    impl_->handlers = std::move(handlers);
    impl_->thread = std::thread([this] { impl_->run(); });
}

void control_loop::stop() {
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->stopping = true;
        impl_->work_available.notify_one();
    }
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

void control_loop::post(event new_event) {
    impl_->post(std::move(new_event));
}

bool control_loop::inspect(const std::function<void(const control_state&)>& callback) {
    inspection request{&callback, nullptr, false};
    std::unique_lock lock(impl_->mutex);
    if (impl_->stopping) {
        return false;
    }
    impl_->inspections.push_back(&request);
    impl_->work_available.notify_one();
    impl_->inspection_done.wait(lock, [&] { return request.done || impl_->stopping; });
    if (request.failure) {
        std::rethrow_exception(request.failure);
    }
    return request.done;
}

control_client control_loop::client() {
    auto* const loop = impl_.get();
    control_client client;
    client.next_ticket = [loop] { return loop->decisions.next(); };
    client.post = [loop](event new_event) { loop->post(std::move(new_event)); };
    client.admit = [loop](admission_wanted wanted, milliseconds limit) {
        return loop->admit(std::move(wanted), limit);
    };
    client.acquire = [loop](attempt_wanted wanted, milliseconds limit) {
        return loop->acquire(std::move(wanted), limit);
    };
    client.is_cancelled = [loop](const attempt_id& attempt) {
        const std::scoped_lock lock(loop->cancelled_mutex);
        return loop->cancelled.contains(attempt);
    };
    client.permit = [loop](permit_request wanted, milliseconds limit) {
        return loop->permit(std::move(wanted), limit);
    };
    client.claim = [loop](claim_request wanted, milliseconds limit) {
        return loop->claim(std::move(wanted), limit);
    };
    client.edit_list = [loop](list_edit_wanted wanted, milliseconds limit) {
        return loop->edit(std::move(wanted), limit);
    };
    client.edit_availability = [loop](availability_wanted wanted, milliseconds limit) {
        return loop->edit(std::move(wanted), limit);
    };
    client.ready = [loop] { return loop->is_ready.load(); };
    return client;
}

bool control_loop::drained() const {
    return impl_->is_drained.load();
}

}  // namespace cyclamenmount
