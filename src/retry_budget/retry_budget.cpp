#include "retry_budget/retry_budget.h"

#include <algorithm>

namespace cyclamenmount {

retry_budget::retry_budget(retry_budget_settings settings)
    : settings_(settings), tokens_(settings.capacity) {}

void retry_budget::refill(instant now) {
    if (refilled_at_ != instant{} && now > refilled_at_) {
        const std::chrono::duration<double> passed = now - refilled_at_;
        tokens_ =
            std::min(settings_.capacity, tokens_ + passed.count() * settings_.refill_per_second);
    }
    refilled_at_ = std::max(refilled_at_, now);
}

void retry_budget::earn(instant now) {
    const std::lock_guard lock(mutex_);
    refill(now);
    tokens_ = std::min(settings_.capacity, tokens_ + settings_.per_request);
}

bool retry_budget::spend(instant now) {
    const std::lock_guard lock(mutex_);
    refill(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

void retry_budget::set_capacity(double capacity) {
    const std::lock_guard lock(mutex_);
    settings_.capacity = capacity;
    tokens_ = std::min(capacity, tokens_);
}

void retry_budget::refund() {
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(settings_.capacity, tokens_ + 1);
}

}  // namespace cyclamenmount
