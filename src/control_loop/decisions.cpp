#include "control_loop/internal/decisions.h"

#include "types/overloaded.h"

namespace cyclamenmount::detail {

ticket pending_decisions::next() {
    const std::scoped_lock lock(mutex_);
    return next_++;
}

void pending_decisions::add(ticket number, return_event_factory make_return_event) {
    const std::scoped_lock lock(mutex_);
    requests_[number].make_return_event = std::move(make_return_event);
}

std::optional<decision> pending_decisions::wait(ticket number, milliseconds limit) {
    std::unique_lock lock(mutex_);
    auto& request = requests_.at(number);
    decision_arrived_.wait_for(lock, limit,
                               [&] { return closed_ || request.received.has_value(); });
    if (!request.received.has_value()) {
        request.abandoned = true;
        return std::nullopt;
    }
    auto received = std::move(request.received);
    requests_.erase(number);
    return received;
}

std::optional<event> pending_decisions::deliver(decision value) {
    const std::scoped_lock lock(mutex_);
    const auto found = requests_.find(ticket_of(value));
    if (found == requests_.end()) {
        return std::nullopt;
    }
    if (found->second.abandoned) {
        const auto make_return_event = std::move(found->second.make_return_event);
        requests_.erase(found);
        return make_return_event ? make_return_event(value) : std::nullopt;
    }
    found->second.received = std::move(value);
    decision_arrived_.notify_all();
    return std::nullopt;
}

void pending_decisions::close() {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    decision_arrived_.notify_all();
}

ticket ticket_of(const decision& value) {
    return std::visit(
        overloaded{
            [](const permit_decided& alternative) { return alternative.reply.number; },
            [](const claim_decided& alternative) { return alternative.reply.number; },
            [](const auto& alternative) { return alternative.number; },
        },
        value);
}

}  // namespace cyclamenmount::detail
