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
constexpr int ring_points_per_member = 128;  // virtual nodes per member

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
        for (int point = 0; point < ring_points_per_member; ++point) {
            points[hash(ids[i].value + "#" + std::to_string(point))] = i;
        }
    }
    return [points](const std::string& key) {
        const auto next = points.lower_bound(hash(key));
        return next == points.end() ? points.begin()->second : next->second;
    };
}

struct placement_method {
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

double moved_fraction(const placement_method& method, const std::vector<instance_id>& before,
                      const std::vector<instance_id>& after, const std::vector<std::string>& keys) {
    const auto from = method.make(before);
    const auto to = method.make(after);
    const auto moved = std::ranges::count_if(
        keys, [&](const auto& key) { return before[from(key)] != after[to(key)]; });
    return static_cast<double>(moved) / key_count;
}

double balance(const placement_method& method, const std::vector<instance_id>& ids,
               const std::vector<std::string>& keys) {
    std::vector<int> counts(ids.size());
    const auto find = method.make(ids);
    for (const auto& key : keys) {
        ++counts[find(key)];
    }
    return *std::ranges::max_element(counts) * static_cast<double>(ids.size()) / key_count;
}

double lookup_ns(const placement_method& method, const std::vector<instance_id>& ids,
                 const std::vector<std::string>& keys) {
    const auto find = method.make(ids);
    std::size_t sum = 0;
    const auto start = std::chrono::steady_clock::now();
    for (const auto& key : keys) {
        sum += find(key);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return sum == 0 ? 0 : took.count() / key_count;
}

void print_row(const placement_method& method, int count, const std::vector<std::string>& keys) {
    const auto ids = make_ids(count);
    const auto one_more = make_ids(count + 1);
    auto one_fewer = ids;
    one_fewer.erase(one_fewer.begin() + count / 2);
    std::printf("%-12s %7d %11.3f %13.3f %9.3f %10.0f\n", method.name, count,
                moved_fraction(method, ids, one_more, keys),
                moved_fraction(method, ids, one_fewer, keys), balance(method, ids, keys),
                lookup_ns(method, ids, keys));
}

}  // namespace

void print_placement() {
    const placement_method methods[] = {
        {"rendezvous", rendezvous}, {"modulo", modulo}, {"ring", ring}};
    const auto keys = make_keys();
    std::printf("Placement of %d keys (share moved; 1/members is the least; balance = max/mean)\n",
                key_count);
    std::printf("%-12s %7s %11s %13s %9s %10s\n", "way", "members", "moved join", "moved leaving",
                "balance", "lookup ns");
    for (const int count : {3, 8, 16, 32}) {
        for (const auto& method : methods) {
            print_row(method, count, keys);
        }
    }
}

}  // namespace cyclamenmount::bench
