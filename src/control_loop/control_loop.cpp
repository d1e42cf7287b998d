#include "control_loop/control_loop.h"

#include "control_loop/internal/decisions.h"
#include "types/overloaded.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <thread>

namespace cyclamenmount {

namespace {

using detail::decision;

//! Something to run on the control thread between two events.
struct inspection {
    const std::function<void(const control_state&)>* look{nullptr};
    bool done{false};
};

std::optional<event> return_admission(const decision& late, ticket number) {
    const auto& answer = std::get<admission_decided>(late).decision;
    if (answer.has_error()) {
        return std::nullopt;
    }
    return request_ended{number, answer.value().workspace, 0};
}

std::optional<event> return_attempt(const decision& late) {
    const auto& answer = std::get<attempt_decided>(late);
    if (answer.decision.has_error()) {
        return std::nullopt;
    }
    attempt_ended ended;
    ended.attempt = answer.attempt;
    ended.upstream = answer.decision.value().upstream;
    ended.outcome = attempt_outcome::not_started;
    return ended;
}

std::optional<event> return_permit(const decision& late, const permit_request& asked) {
    const auto& reply = std::get<permit_decided>(late).reply;
    if (reply.verdict != permit_verdict::granted) {
        return std::nullopt;
    }
    return permit_returned{{asked.workspace, asked.key, reply.permit}};
}

std::optional<event> return_claim(const decision& late, const claim_request& asked) {
    const auto& reply = std::get<claim_decided>(late).reply;
    if (reply.verdict != claim_verdict::run) {
        return std::nullopt;
    }
    return claim_ended{{asked.workspace, asked.key, asked.request}};
}

refusal no_decision(const char* detail) {
    return {refusal_reason::overloaded, execution::not_run, detail, "", milliseconds(0)};
}

}  // namespace

struct control_loop::impl {
    control_state state;
    effect_handlers handlers;
    detail::decision_board board;

    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable inspected;
    std::deque<event> waiting;
    std::deque<inspection*> looks;
    bool stopping{false};

    std::mutex cancelled_mutex;
    std::set<attempt_id> cancelled;

    std::atomic<bool> is_ready{false};
    std::atomic<bool> is_drained{false};
    std::thread thread;

    void post(event happened);
    void work();
    bool work_once(instant& next_tick);
    void apply(const event& happened);
    void carry_out(const effect& wanted);
    void deliver(decision value);
    std::optional<decision> ask(ticket number, event question, milliseconds limit,
                                detail::give_back late);
    void number_question(ticket& number);
    decided<admission> admit(admission_wanted wanted, milliseconds limit);
    decided<attempt_grant> acquire(attempt_wanted wanted, milliseconds limit);
    permit_reply permit(permit_request wanted, milliseconds limit);
    claim_reply claim(claim_request wanted, milliseconds limit);
    template <typename Edit>
    result<edit_decided> edit(Edit wanted, milliseconds limit);
};

void control_loop::impl::post(event happened) {
    if (const auto* const ended = std::get_if<attempt_ended>(&happened)) {
        const std::scoped_lock lock(cancelled_mutex);
        cancelled.erase(ended->attempt);
    }
    const std::scoped_lock lock(mutex);
    waiting.push_back(std::move(happened));
    wake.notify_one();
}

void control_loop::impl::work() {
    instant next_tick = boot_clock::now();
    while (work_once(next_tick)) {}
    board.close();
    const std::scoped_lock lock(mutex);
    looks.clear();
    inspected.notify_all();
}

//! Waits for the next event, inspection or tick and handles it. False once stopped.
bool control_loop::impl::work_once(instant& next_tick) {
    std::unique_lock lock(mutex);
    const auto has_work = [this] { return stopping || !waiting.empty() || !looks.empty(); };
    wake.wait_for(lock, std::max(milliseconds(0), next_tick - boot_clock::now()), has_work);
    if (stopping) {
        return false;
    }
    while (!looks.empty()) {
        auto* const next = looks.front();
        looks.pop_front();
        (*next->look)(state);
        next->done = true;
        inspected.notify_all();
    }
    std::deque<event> batch;
    batch.swap(waiting);
    lock.unlock();
    for (const auto& happened : batch) {
        apply(happened);
    }
    if (boot_clock::now() >= next_tick) {
        apply(tick{});
        next_tick = boot_clock::now() + state.env.timing.tick;
    }
    return true;
}

void control_loop::impl::apply(const event& happened) {
    for (const auto& wanted : reduce(state, happened, boot_clock::now())) {
        carry_out(wanted);
    }
    is_ready.store(cyclamenmount::is_ready(state.admission, state.roster, state.documents));
}

void control_loop::impl::carry_out(const effect& wanted) {
    std::visit(overloaded{
                   [this](const send_to_peer& message) { handlers.send(message); },
                   [this](const store_read& call) { handlers.read(call); },
                   [this](const store_write& call) { handlers.write(call); },
                   [this](const watch_prefix& call) { handlers.watch(call); },
                   [this](const list_instances& call) { handlers.list(call); },
                   [this](const poll_upstream& call) { handlers.poll(call); },
                   [this](const order_upstream& call) { handlers.order(call); },
                   [this](const log_line& line) { handlers.log(line); },
                   [this](const attempt_cancelled& order) {
                       const std::scoped_lock lock(cancelled_mutex);
                       cancelled.insert(order.attempt);
                   },
                   [this](const cyclamenmount::drained&) { is_drained.store(true); },
                   [this](const auto& answer) { deliver(answer); },
               },
               wanted);
}

void control_loop::impl::deliver(decision value) {
    if (auto unclaimed = board.deliver(std::move(value))) {
        post(std::move(*unclaimed));
    }
}

std::optional<decision> control_loop::impl::ask(ticket number, event question, milliseconds limit,
                                                detail::give_back late) {
    board.open(number, std::move(late));
    post(std::move(question));
    return board.wait(number, limit);
}

//! Gives the question a ticket unless the asker has drawn one.
void control_loop::impl::number_question(ticket& number) {
    if (number == 0) {
        number = board.next();
    }
}

decided<admission> control_loop::impl::admit(admission_wanted wanted, milliseconds limit) {
    number_question(wanted.number);
    const auto late = [number = wanted.number](const decision& value) {
        return return_admission(value, number);
    };
    const auto answer = ask(wanted.number, wanted, limit, late);
    if (!answer.has_value()) {
        return no_decision("the control thread gave no admission in time");
    }
    return std::get<admission_decided>(*answer).decision;
}

decided<attempt_grant> control_loop::impl::acquire(attempt_wanted wanted, milliseconds limit) {
    number_question(wanted.number);
    const auto answer = ask(wanted.number, wanted, limit, &return_attempt);
    if (!answer.has_value()) {
        return no_decision("no upstream was granted in time");
    }
    return std::get<attempt_decided>(*answer).decision;
}

permit_reply control_loop::impl::permit(permit_request wanted, milliseconds limit) {
    number_question(wanted.number);
    const auto late = [wanted](const decision& value) { return return_permit(value, wanted); };
    const auto answer = ask(wanted.number, permit_wanted{wanted}, limit, late);
    return answer.has_value() ? std::get<permit_decided>(*answer).reply : permit_reply{};
}

claim_reply control_loop::impl::claim(claim_request wanted, milliseconds limit) {
    number_question(wanted.number);
    const auto late = [wanted](const decision& value) { return return_claim(value, wanted); };
    const auto answer = ask(wanted.number, claim_wanted{wanted}, limit, late);
    return answer.has_value() ? std::get<claim_decided>(*answer).reply : claim_reply{};
}

template <typename Edit>
result<edit_decided> control_loop::impl::edit(Edit wanted, milliseconds limit) {
    number_question(wanted.number);
    const auto answer = ask(wanted.number, wanted, limit, nullptr);
    if (!answer.has_value()) {
        return error{error_kind::timeout, "the edit wasn't decided in time"};
    }
    return std::get<edit_decided>(*answer);
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
    impl_->thread = std::thread([this] { impl_->work(); });
}

void control_loop::stop() {
    {
        const std::scoped_lock lock(impl_->mutex);
        impl_->stopping = true;
        impl_->wake.notify_one();
    }
    if (impl_->thread.joinable()) {
        impl_->thread.join();
    }
}

void control_loop::post(event happened) {
    impl_->post(std::move(happened));
}

bool control_loop::inspect(const std::function<void(const control_state&)>& look) {
    inspection wanted{&look, false};
    std::unique_lock lock(impl_->mutex);
    if (impl_->stopping) {
        return false;
    }
    impl_->looks.push_back(&wanted);
    impl_->wake.notify_one();
    impl_->inspected.wait(lock, [&] { return wanted.done || impl_->stopping; });
    return wanted.done;
}

control_client control_loop::client() {
    auto* const loop = impl_.get();
    control_client client;
    client.next_ticket = [loop] { return loop->board.next(); };
    client.post = [loop](event happened) { loop->post(std::move(happened)); };
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
