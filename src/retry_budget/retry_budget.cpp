#include "retry_budget/retry_budget.h"

#include <algorithm>

namespace cyclamenmount {

retry_budget::retry_budget(retry_budget_settings settings)
    : settings_(settings), saved_(settings.most) {}

void retry_budget::refill(instant now) {
    if (filled_at_ != instant{} && now > filled_at_) {
        const std::chrono::duration<double> passed = now - filled_at_;
        saved_ = std::min(settings_.most, saved_ + passed.count() * settings_.floor_per_second);
    }
    filled_at_ = std::max(filled_at_, now);
}

void retry_budget::earn(instant now) {
    const std::lock_guard lock(mutex_);
    refill(now);
    saved_ = std::min(settings_.most, saved_ + settings_.per_request);
}

bool retry_budget::spend(instant now) {
    const std::lock_guard lock(mutex_);
    refill(now);
    if (saved_ < 1) {
        return false;
    }
    saved_ -= 1;
    return true;
}

void retry_budget::refund() {
    const std::lock_guard lock(mutex_);
    saved_ = std::min(settings_.most, saved_ + 1);
}

}  // namespace cyclamenmount
