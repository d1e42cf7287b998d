//! Replay of a load on engines of three speeds: the choice by cost beside the previous policy.
#include "placement/placement.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace cyclamenmount;

namespace {

constexpr instant start{milliseconds(1'000'000)};
const pool_name pool{"p"};
constexpr int instances = 24;
constexpr int engines = 60;
constexpr double streams_per_second = 225;
constexpr milliseconds replayed{30'000};
constexpr milliseconds measured_from{10'000};
constexpr milliseconds sync_period{400};
constexpr double tokens_per_ms = 50;
constexpr double fixed_ms = 30;
constexpr double gap_ms = 35;
constexpr int events = 16;
constexpr std::uint64_t system_tokens = 2500;
constexpr std::uint64_t subject_tokens = 3800;
constexpr std::uint64_t own_tokens = 900;

struct engine {
    double factor{1};
    instant busy_until{};
    std::map<std::string, instant> cached;  //!< parts
    int running{0};
};

struct figures {
    double first_p50{0};
    double first_p95{0};
    double total_p50{0};
    double total_p95{0};
};

double percentile(std::vector<double>& values, double part) {
    const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + at);
    return values[static_cast<std::size_t>(at)];
}

//! Instances, engines and the messages between them, on simulated time.
class replay {
public:
    explicit replay(bool by_cost) : by_cost_(by_cost) {
        auto config = std::make_shared<serving_config>();
        config->pools[pool].name = pool;
        config->pools[pool].engine = engine_limits{128, 200'000};
        view_.config = config;
        view_.number = 1;
        constexpr double factors[] = {0.6, 1.0, 1.6};
        for (int i = 0; i < engines; ++i) {
            serving_upstream upstream;
            upstream.id = {"e" + std::to_string(i)};
            upstream.pool = pool;
            upstream.slots = 128;
            view_.pools[pool].push_back(upstream);
            engines_[upstream.id].factor = factors[i % 3];
        }
        for (int i = 0; i < instances; ++i) {
            states_[static_cast<std::size_t>(i)].settings.under_pressure = by_cost;
            states_[static_cast<std::size_t>(i)].settings.chooses_by_cost = by_cost;
            states_[static_cast<std::size_t>(i)].settings.address = "i" + std::to_string(i);
        }
    }

    figures run() {
        at(start, [this] { arrive(); });
        if (by_cost_) {
            for (std::size_t i = 0; i < instances; ++i) {
                at(start + sync_period * i / instances, [this, i] { synchronise(i); });
            }
        }
        while (!queue_.empty() && queue_.top().at < start + replayed) {
            const entry next = queue_.top();
            queue_.pop();
            now_ = next.at;
            (*next.action)();
        }
        return {percentile(first_, 0.5), percentile(first_, 0.95), percentile(total_, 0.5),
                percentile(total_, 0.95)};
    }

private:
    struct entry {
        instant at;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> action;

        bool operator<(const entry& other) const {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    void at(instant when, std::function<void()> action) {
        queue_.push({when, ++number_, std::make_shared<std::function<void()>>(std::move(action))});
    }

    void synchronise(std::size_t instance) {
        // Instance 0 is the others' sync source; messages take the form that they have on the wire.
        placement_state& state = states_[instance];
        if (needs_sums(observed_, now_)) {
            record_report(observed_, states_[0].settings.address,
                          own_observations(states_[0], now_), now_);
        }
        if (instance != 0) {
            const std::string sent = encode_observations(own_observations(state, now_));
            record_report(observed_, state.settings.address, decode_observations(sent).observations,
                          now_);
        }
        const std::string reply =
            encode_observations(sums_for(observed_, state.settings.address, now_));
        apply_shared(state.costs, decode_observations(reply).observations, now_);
        at(now_ + sync_period, [this, instance] { synchronise(instance); });
    }

    void arrive() {
        std::exponential_distribution<double> pause(streams_per_second / 1000);
        to_next_ += pause(random_);
        at(start + milliseconds(static_cast<int>(to_next_)), [this] { arrive(); });
        const std::size_t instance = random_() % instances;
        placement_state& state = states_[instance];
        // One prefix has a fifth of the load.
        const bool is_hot = random_() % 5 == 0;
        const std::string subject = is_hot ? "hot" : "s" + std::to_string(random_() % 300);
        const std::vector<prompt_part> prompt{
            {"system", system_tokens}, {subject, subject_tokens}, {"own", own_tokens}};
        placement_request wanted;
        wanted.pool = pool;
        wanted.prompt = prompt;
        wanted.random = random_();
        wanted.expected_events = events;
        const auto chosen = place(state, view_, wanted, now_);
        if (chosen) {
            send(instance, *chosen, prompt);
        }
    }

    void send(std::size_t instance, const serving_upstream& to,
              const std::vector<prompt_part>& prompt) {
        placement_state& state = states_[instance];
        request_load load;
        if (by_cost_) {
            load = record_sent(state, to,
                               sent_request{prompt, events, &view_.config->pools.at(pool)}, now_);
        } else {
            load.unread_tokens = own_tokens;
            record_sent(state, to, own_tokens, now_);
        }
        engine& one = engines_[to.id];
        double unread = own_tokens;
        for (const prompt_part& part : std::span(prompt).first(prompt.size() - 1)) {
            unread += one.cached.contains(part.id) ? 0 : static_cast<double>(part.tokens);
            one.cached[part.id] = now_;
        }
        while (one.cached.size() > 40) {
            one.cached.erase(std::ranges::min_element(
                one.cached, {}, [](const auto& known) { return known.second; }));
        }
        ++one.running;
        one.busy_until = std::max(one.busy_until, now_) +
                         milliseconds(static_cast<int>(unread / tokens_per_ms * one.factor));
        const instant first =
            one.busy_until + milliseconds(static_cast<int>(fixed_ms * one.factor));
        const instant sent_at = now_;
        at(first, [this, instance, to, load, sent_at] { begin(instance, to, load, sent_at); });
    }

    void begin(std::size_t instance, const serving_upstream& from, const request_load& load,
               instant sent_at) {
        placement_state& state = states_[instance];
        const engine& one = engines_[from.id];
        const upstream_key key = make_upstream_key(from.id, from.started_at_ms);
        record_load(state, from.id, {one.running, 0, 128}, now_);
        record_first_event(state, from.id, load.unread_tokens);
        if (by_cost_) {
            reduce(state.costs,
                   first_event_observed{key, pool, load.tokens_to_first_event, now_ - sent_at,
                                        load.factor},
                   now_);
        }
        const auto rest = milliseconds(static_cast<int>((events - 1) * gap_ms * one.factor));
        const instant began_at = now_;
        if (now_ >= start + measured_from) {
            first_.push_back(static_cast<double>((now_ - sent_at).count()));
            total_.push_back(static_cast<double>((now_ + rest - sent_at).count()));
        }
        at(now_ + rest, [this, instance, from, load, key, began_at] {
            placement_state& ended = states_[instance];
            --engines_[from.id].running;
            record_released(ended, from.id, load);
            record_send_outcome(ended, from.id, send_outcome::answered, now_);
            if (by_cost_) {
                reduce(ended.costs, events_observed{key, "r", events, now_ - began_at, true, 0},
                       now_);
            }
        });
    }

    bool by_cost_;
    fleet_view view_;
    std::map<upstream_id, engine> engines_;
    std::array<placement_state, instances> states_;
    fleet_observations observed_;
    std::priority_queue<entry> queue_;
    std::mt19937_64 random_{7};
    instant now_{start};
    std::uint64_t number_{0};
    double to_next_{0};
    std::vector<double> first_;
    std::vector<double> total_;
};

void print(const char* policy, const figures& of) {
    std::printf("\n%-16s first event p50 %4.0f p95 %4.0f ms, response p50 %4.0f p95 %4.0f ms",
                policy, of.first_p50, of.first_p95, of.total_p50, of.total_p95);
}

}  // namespace

TEST_GROUP(uneven_engines){};

// Guards against a choice that leaves fast engines idle, or overloads the home of a hot prefix.
TEST(uneven_engines, the_choice_by_cost_answers_sooner_than_the_previous_policy) {
    // GIVEN one load on engines of three speeds, a fifth of it with one prefix
    // WHEN it is replayed with both policies
    const figures previous = replay(false).run();
    const figures by_cost = replay(true).run();
    print("previous policy:", previous);
    print("choice by cost:", by_cost);
    std::printf("\n");
    // THEN first events and whole responses come sooner by cost, also those that take long
    CHECK_TRUE(by_cost.first_p50 < previous.first_p50);
    CHECK_TRUE(by_cost.first_p95 < previous.first_p95);
    CHECK_TRUE(by_cost.total_p50 < previous.total_p50);
    CHECK_TRUE(by_cost.total_p95 < previous.total_p95);
}
