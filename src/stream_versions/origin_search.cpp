#include "stream_versions/origin_search.h"

#include <algorithm>
#include <utility>

namespace cyclamenmount {

namespace {

//! Length of a pool's or a version's name.
constexpr std::size_t max_name_bytes = 1024;
//! Time in which late replies are taken, as streams may still wait for the store.
constexpr milliseconds late_reply_time{2000};

bool is_name(const std::string& text) {
    return text.size() <= max_name_bytes;
}

}  // namespace

std::vector<send_to_peer> begin_search(origin_searches& searches, const member& self,
                                       std::span<const member> peers, std::set<std::string> keys,
                                       instant now) {
    const std::uint64_t sequence = ++searches.last_sequence;
    keys.erase("");
    if (keys.empty()) {
        return {};
    }
    const origins_request request{self, sequence, {keys.begin(), keys.end()}};
    origin_search begun{std::move(keys), {}, now + origin_reply_time};
    std::vector<send_to_peer> wanted;
    for (const member& peer : peers) {
        if (peer.address != self.address && begun.awaited.insert(peer.id).second) {
            wanted.push_back({peer, request});
        }
    }
    searches.open.emplace(sequence, std::move(begun));
    return wanted;
}

bool is_over(const origin_searches& searches, std::uint64_t sequence, instant now) {
    const auto found = searches.open.find(sequence);
    return found == searches.open.end() || found->second.awaited.empty() ||
           now >= found->second.ends_at;
}

void expire_searches(origin_searches& searches, instant now) {
    std::erase_if(searches.open, [&](const auto& entry) {
        return entry.second.awaited.empty() || now >= entry.second.ends_at + late_reply_time;
    });
}

origins_reply make_origins_reply(const stream_records& records, const origins_request& request) {
    origins_reply reply{request.sequence, {}};
    const std::size_t count = std::min(request.streams.size(), max_searched_streams);
    for (const std::string& key : std::span(request.streams).first(count)) {
        if (const auto origin = find_origin(records, key)) {
            reply.streams.push_back({key, origin->pool, origin->version});
        }
    }
    return reply;
}

found_origins take_reply(origin_searches& searches, const instance_id& from,
                         const origins_reply& reply) {
    found_origins found;
    const auto search = searches.open.find(reply.sequence);
    if (search == searches.open.end() || search->second.awaited.erase(from) == 0) {
        return found;
    }
    for (const recorded_stream& one : reply.streams) {
        const bool is_answer = search->second.keys.contains(one.key) && !one.pool.empty() &&
                               is_name(one.pool.value) && is_name(one.version.value);
        if (!is_answer ||
            !found.origins.emplace(one.key, stream_origin{one.pool, one.version}).second) {
            ++found.dropped;
        }
    }
    return found;
}

}  // namespace cyclamenmount
