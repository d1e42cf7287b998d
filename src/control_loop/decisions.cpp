#include "control_loop/internal/decisions.h"

#include "types/overloaded.h"

namespace cyclamenmount::detail {

ticket decision_board::next() {
    const std::scoped_lock lock(mutex_);
    return next_++;
}

void decision_board::open(ticket number, give_back late) {
    const std::scoped_lock lock(mutex_);
    open_[number].late = std::move(late);
}

std::optional<decision> decision_board::wait(ticket number, milliseconds limit) {
    std::unique_lock lock(mutex_);
    auto& asked = open_.at(number);
    arrived_.wait_for(lock, limit, [&] { return closed_ || asked.answer.has_value(); });
    if (!asked.answer.has_value()) {
        asked.given_up = true;
        return std::nullopt;
    }
    auto answer = std::move(asked.answer);
    open_.erase(number);
    return answer;
}

std::optional<event> decision_board::deliver(decision value) {
    const std::scoped_lock lock(mutex_);
    const auto at = open_.find(number_of(value));
    if (at == open_.end()) {
        return std::nullopt;
    }
    if (at->second.given_up) {
        const auto late = std::move(at->second.late);
        open_.erase(at);
        return late ? late(value) : std::nullopt;
    }
    at->second.answer = std::move(value);
    arrived_.notify_all();
    return std::nullopt;
}

void decision_board::close() {
    const std::scoped_lock lock(mutex_);
    closed_ = true;
    arrived_.notify_all();
}

ticket number_of(const decision& value) {
    return std::visit(overloaded{
                          [](const permit_decided& answer) { return answer.reply.number; },
                          [](const claim_decided& answer) { return answer.reply.number; },
                          [](const auto& answer) { return answer.number; },
                      },
                      value);
}

}  // namespace cyclamenmount::detail
