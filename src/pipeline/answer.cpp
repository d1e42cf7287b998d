#include "pipeline/answer.h"

#include "pipeline/problem.h"

#include <array>
#include <cstdio>
#include <limits>

#include <xxhash.h>

namespace cyclamenmount {

namespace {

using nlohmann::json;

json cost_json(const stage_cost& cost) {
    return {{"stage", cost.stage.value},    {"pool", cost.pool.value},
            {"attempts", cost.attempts},    {"busy_ms", cost.busy.count()},
            {"tokens", cost.tokens},        {"wasted_ms", cost.wasted.count()},
            {"hedges", cost.hedges},        {"repeats", cost.repeats},
            {"other_zone", cost.other_zone}};
}

}  // namespace

std::string digest_of(std::string_view text) {
    std::array<char, 17> hex{};
    const auto hash = static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size()));
    std::snprintf(hex.data(), hex.size(), "%016llx", hash);
    return hex.data();
}

answer::answer(request_id request, fingerprint body)
    : request_(std::move(request)), body_(std::move(body)) {}

void answer::add_frame(std::string frame) {
    bytes_ += frame.size();
    frames_.push_back(std::move(frame));
    changed_.notify_all();
}

void answer::add_token(std::string_view text) {
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    if (first_at_ == instant{}) {
        first_at_ = boot_clock::now();
    }
    texts_.append(text);
    bytes_ += text.size();
    add_frame(json{{"frame", frames_.size()}, {"token", text}}.dump());
}

void answer::finish(std::span<const stage_cost> costs) {
    json told = json::array();
    for (const stage_cost& cost : costs) {
        told.push_back(cost_json(cost));
    }
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    const std::size_t count = frames_.size();
    ended_at_ = boot_clock::now();
    add_frame(json{{"frame", count},
                   {"final", true},
                   {"count", count},
                   {"digest", digest_of(texts_)},
                   {"costs", std::move(told)}}
                  .dump());
}

void answer::fail(const refusal& refused) {
    const std::lock_guard lock(mutex_);
    if (ended_at_ != instant{}) {
        return;
    }
    refused_ = refused;
    ended_at_ = boot_clock::now();
    add_frame(json{{"frame", frames_.size()}, {"error", problem_json(refused)}}.dump());
}

answer_part answer::part(std::size_t from, std::size_t max_bytes) const {
    answer_part found;
    std::size_t bytes = 0;
    std::size_t next = from;
    while (next < frames_.size() && bytes < max_bytes) {
        bytes += frames_[next].size();
        found.frames.push_back(frames_[next]);
        next += 1;
    }
    found.total = frames_.size();
    found.ended = ended_at_ != instant{} && next >= frames_.size();
    if (found.ended) {
        found.refused = refused_;
    }
    return found;
}

answer_part answer::read(std::size_t from, std::size_t max_bytes) const {
    const std::lock_guard lock(mutex_);
    return part(from, max_bytes);
}

answer_part answer::wait(std::size_t from, milliseconds limit) const {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit,
                      [this, from] { return frames_.size() > from || ended_at_ != instant{}; });
    return part(from, std::numeric_limits<std::size_t>::max());
}

void answer::abandon() {
    const std::lock_guard lock(mutex_);
    abandoned_ = true;
}

bool answer::abandoned() const {
    const std::lock_guard lock(mutex_);
    return abandoned_;
}

std::size_t answer::bytes() const {
    const std::lock_guard lock(mutex_);
    return bytes_;
}

instant answer::first_at() const {
    const std::lock_guard lock(mutex_);
    return first_at_;
}

instant answer::ended_at() const {
    const std::lock_guard lock(mutex_);
    return ended_at_;
}

std::optional<refusal> answer::refused() const {
    const std::lock_guard lock(mutex_);
    return refused_;
}

}  // namespace cyclamenmount
