#include "placement.h"

#include "coordination/roster/roster.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>

#include <xxhash.h>

namespace cyclamenmount::bench {

namespace {

constexpr int key_count = 20000;
constexpr int ring_points = 128;  // of one member

using lookup = std::function<std::size_t(const std::string& key)>;

std::vector<instance_id> make_ids(int count) {
    std::vector<instance_id> ids;
    for (int i = 0; i < count; ++i) {
        ids.push_back({"instance-" + std::to_string(i)});
    }
    return ids;
}

std::uint64_t hash(const std::string& text) {
    return XXH3_64bits(text.data(), text.size());
}

lookup rendezvous(const std::vector<instance_id>& ids) {
    return [ids](const std::string& key) {
        std::size_t best = 0;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < ids.size(); ++i) {
            const auto weight = rendezvous_weight(ids[i], key);
            if (weight >= highest) {
                highest = weight;
                best = i;
            }
        }
        return best;
    };
}

lookup modulo(const std::vector<instance_id>& ids) {
    return [count = ids.size()](const std::string& key) { return hash(key) % count; };
}

lookup ring(const std::vector<instance_id>& ids) {
    std::map<std::uint64_t, std::size_t> points;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        for (int point = 0; point < ring_points; ++point) {
            points[hash(ids[i].value + "#" + std::to_string(point))] = i;
        }
    }
    return [points](const std::string& key) {
        const auto next = points.lower_bound(hash(key));
        return next == points.end() ? points.begin()->second : next->second;
    };
}

struct way {
    const char* name;
    lookup (*make)(const std::vector<instance_id>& ids);
};

std::vector<std::string> make_keys() {
    std::vector<std::string> keys;
    for (int i = 0; i < key_count; ++i) {
        keys.push_back("upstream-" + std::to_string(i));
    }
    return keys;
}

double moved_share(const way& by, const std::vector<instance_id>& before,
                   const std::vector<instance_id>& after, const std::vector<std::string>& keys) {
    const auto from = by.make(before);
    const auto to = by.make(after);
    const auto moved = std::ranges::count_if(
        keys, [&](const auto& key) { return before[from(key)] != after[to(key)]; });
    return static_cast<double>(moved) / key_count;
}

double balance(const way& by, const std::vector<instance_id>& ids,
               const std::vector<std::string>& keys) {
    std::vector<int> counts(ids.size());
    const auto find = by.make(ids);
    for (const auto& key : keys) {
        ++counts[find(key)];
    }
    return *std::ranges::max_element(counts) * static_cast<double>(ids.size()) / key_count;
}

double lookup_ns(const way& by, const std::vector<instance_id>& ids,
                 const std::vector<std::string>& keys) {
    const auto find = by.make(ids);
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (const auto& key : keys) {
        sum += find(key);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return sum == 0 ? 0 : took.count() / key_count;
}

void print_row(const way& by, int count, const std::vector<std::string>& keys) {
    const auto ids = make_ids(count);
    const auto more = make_ids(count + 1);
    auto fewer = ids;
    fewer.erase(fewer.begin() + count / 2);
    std::printf("%-12s %7d %11.3f %13.3f %9.3f %10.0f\n", by.name, count,
                moved_share(by, ids, more, keys), moved_share(by, ids, fewer, keys),
                balance(by, ids, keys), lookup_ns(by, ids, keys));
}

}  // namespace

void print_placement() {
    const way ways[] = {{"rendezvous", rendezvous}, {"modulo", modulo}, {"ring", ring}};
    const auto keys = make_keys();
    std::printf("Placement of %d keys (share moved; 1/members is the least; balance = max/mean)\n",
                key_count);
    std::printf("%-12s %7s %11s %13s %9s %10s\n", "way", "members", "moved join", "moved leaving",
                "balance", "lookup ns");
    for (const int count : {3, 8, 16, 32}) {
        for (const auto& by : ways) {
            print_row(by, count, keys);
        }
    }
}

}  // namespace cyclamenmount::bench
