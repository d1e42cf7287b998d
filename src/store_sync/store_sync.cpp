#include "store_sync/store_sync.h"

#include "store_sync/internal/sources.h"
#include "types/overloaded.h"
#include "types/store_version.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using sync_effects = std::vector<sync_effect>;

//! Time between requests to the source; updates reach this instance up to this much later.
constexpr milliseconds request_period{400};
//! While a source is stale, the next one is polled too, and both more often, as a source starts to
//! read the store only when it is first polled.
constexpr milliseconds stale_request_period{200};
//! A source that stays stale for longer doesn't read the store, or can't reach it, and is skipped.
constexpr milliseconds stale_limit{1000};
//! A source without a reply for this long is skipped; a round trip takes some milliseconds. A reply
//! that comes later, since it is long or its link is busy, still counts until the next request.
constexpr milliseconds reply_timeout{600};
//! Time between requests that detect the recovery of a skipped source.
constexpr milliseconds retry_period{2000};
//! The same for a source that has never replied: it may have started with this instance.
constexpr milliseconds first_retry_period{600};
//! An instance without requests from peers for this long stops reading the store for them.
constexpr milliseconds stop_serving_after{2000};
//! Time between calls to an unreachable store of an instance without a responsive source. With one,
//! it probes less often, since the source reports that the store is reachable again. It still
//! probes, in case the store rejects only the source.
constexpr milliseconds probe_period_alone{400};
//! Number of pages kept for peers with older data; a peer that lacks more reads the store itself.
constexpr std::size_t max_pages = 64;
//! Limit on the total size of a topic's kept pages; has room for an object of the store's largest
//! size.
constexpr std::size_t max_page_bytes = std::size_t{1200} * 1024;

//! Changes in one reply; leaves room within a peer message. A peer that lacks more of a topic reads
//! that from the store, instead of getting no reply at all.
constexpr std::size_t max_reply_bytes = std::size_t{1536} * 1024;

//! Difference by which the store's clock may end a wait early.
constexpr milliseconds clock_tolerance{10};

//! Total size of pages.
template <typename Pages>
std::size_t text_bytes(const Pages& pages) {
    std::size_t sum = 0;
    for (const change_page& page : pages) {
        sum += page.text.size();
    }
    return sum;
}

//! Keeps a page for peers.
void keep_page(topic_state& topic, const change_page& page) {
    if (page.base <= topic.complete_from) {
        topic.pages.clear();
        topic.complete_from = page.base;
    }
    if (page.text.empty() && !topic.pages.empty() && topic.pages.back().text.empty()) {
        topic.pages.back().version = page.version;
        return;
    }
    topic.pages.push_back(page);
    while (topic.pages.size() > max_pages || text_bytes(topic.pages) > max_page_bytes) {
        topic.complete_from = topic.pages.front().version;
        topic.pages.pop_front();
    }
}

//! Applies a page if it begins at or before the known version and ends after it.
void apply_page(topic_state& topic, const std::string& name, const change_page& page,
                bool is_readable, sync_effects& out) {
    if (page.base > topic.version || page.version <= topic.version) {
        return;
    }
    topic.version = page.version;
    keep_page(topic, page);
    if (!page.text.empty()) {
        topic.is_readable = is_readable;
        out.push_back(page_accepted{name, page});
    }
}

//! Records that the store had no newer version than the known one.
void confirm(topic_state& topic, instant at) {
    if (topic.is_readable) {
        topic.confirmed_at = std::max(topic.confirmed_at, at);
    }
}

//! Ranks the sources after a change of the members; known sources keep their state.
void update_sources(store_sync& state, const std::vector<member>& members) {
    state.uses_sources = members.size() >= min_fleet_with_sources;
    std::vector<source_state> ranked;
    if (state.uses_sources) {
        for (const std::string& address : detail::rank_sources(state.self, members)) {
            const auto known = std::ranges::find(state.sources, address, &source_state::address);
            ranked.push_back(known == state.sources.end() ? source_state{address} : *known);
        }
    }
    state.sources = std::move(ranked);
}

//! Earliest time at which the store can have answered a watch. Changes, or the end of the watch,
//! may have come at any time since it was sent.
instant earliest_answer(const topic_watched& watched, instant now) {
    const bool has_waited =
        watched.page.text.empty() && now - watched.sent_at + clock_tolerance >= watched.wait;
    return has_waited ? std::min(now, watched.sent_at + watched.wait) : watched.sent_at;
}

void apply_list(store_sync& state, const topic_listed& listed, sync_effects& out) {
    topic_state& topic = state.topics[listed.topic];
    const bool continues = listed.difference && topic.is_known && topic.is_readable &&
                           listed.is_readable && listed.difference->base == topic.version &&
                           listed.difference->version == listed.version;
    topic.is_known = true;
    if (listed.version >= topic.version) {
        const bool is_newer = listed.version > topic.version;
        topic.version = listed.version;
        topic.is_readable = listed.is_readable;
        if (!continues) {
            topic.pages.clear();
            topic.complete_from = listed.version;
        } else if (is_newer) {
            keep_page(topic, *listed.difference);
        }
        if (!continues && !listed.text.empty() && listed.text.size() <= max_page_bytes) {
            topic.complete_from = first_version(listed.version);
            topic.pages.push_back({topic.complete_from, listed.version, listed.text});
        }
        out.push_back(list_accepted{listed.topic});
    }
    confirm(topic, listed.sent_at);
}

void apply_watch(store_sync& state, const topic_watched& watched, instant now, sync_effects& out) {
    topic_state& topic = state.topics[watched.topic];
    apply_page(topic, watched.topic, watched.page, watched.is_readable, out);
    confirm(topic, earliest_answer(watched, now));
}

//! Sends a request for updates after the known version of each topic.
void send_request(store_sync& state, source_state& source, instant now, sync_effects& out) {
    news_request request;
    request.from = state.self;
    request.sequence = ++state.last_sequence;
    for (const auto& [name, topic] : state.topics) {
        request.known.push_back({name, topic.version});
    }
    source.open_sequence = request.sequence;
    source.request_sent_at = now;
    out.push_back(send_to_peer{{{}, source.address, {}}, std::move(request)});
}

//! Sets whether a source is skipped, and reports a change.
void set_status(source_state& source, source_status status, milliseconds age, sync_effects& out) {
    const bool is_skipped = status != source_status::fresh;
    if (source.is_skipped != is_skipped) {
        source.is_skipped = is_skipped;
        out.push_back(source_status_changed{source.address, status, age});
    }
}

//! Polls the highest-ranked source that isn't skipped. While it is stale, the next one is polled
//! too. Skipped sources are polled at a longer period.
void poll_sources(store_sync& state, instant now, sync_effects& out) {
    if (!state.can_send) {
        return;
    }
    bool has_fresh = false;  // an active source with fresh data was found
    for (source_state& source : state.sources) {
        const milliseconds time_since_request = now - source.request_sent_at;
        const bool is_overdue = source.open_sequence != 0 && time_since_request >= reply_timeout;
        if (is_overdue) {
            set_status(source, source_status::unresponsive, time_since_request, out);
        }
        const bool is_active = !source.is_skipped && !has_fresh;
        const bool is_stale = source.stale_since != instant{};
        has_fresh = has_fresh || (is_active && !is_stale);
        const milliseconds usual_period = is_stale ? stale_request_period : request_period;
        const bool has_replied = source.reply_received_at != instant{};
        const milliseconds skipped_period = has_replied ? retry_period : first_retry_period;
        const bool is_due =
            time_since_request >= (source.is_skipped ? skipped_period : usual_period) &&
            (is_active || source.is_skipped);
        if ((source.open_sequence == 0 || is_overdue) && is_due) {
            send_request(state, source, now, out);
        }
    }
}

//! True if a source that isn't skipped may soon confirm the topic for the first time.
bool awaits_first_reply(const store_sync& state, const topic_state& topic) {
    return topic.source_confirmed_at == instant{} &&
           std::ranges::any_of(state.sources,
                               [](const source_state& source) { return !source.is_skipped; });
}

//! Replies to a peer with the known versions, their age, and the changes that the peer lacks.
void send_reply(store_sync& state, const news_request& request, instant now, sync_effects& out) {
    state.last_peer_request_at = now;
    news_reply reply;
    reply.sequence = request.sequence;
    std::size_t reply_bytes = 0;
    for (const topic_position& known : request.known) {
        const auto found = state.topics.find(known.name);
        if (found == state.topics.end() || found->second.confirmed_at == instant{}) {
            continue;
        }
        const topic_state& topic = found->second;
        topic_update update{known.name, topic.version, now - topic.confirmed_at, {}};
        if (known.version >= topic.complete_from) {
            std::ranges::copy_if(
                topic.pages, std::back_inserter(update.changes),
                [&](const change_page& page) { return page.version > known.version; });
        }
        const std::size_t bytes = text_bytes(update.changes);
        if (reply_bytes + bytes > max_reply_bytes) {
            update.changes.clear();
        } else {
            reply_bytes += bytes;
        }
        reply.topics.push_back(std::move(update));
    }
    out.push_back(send_to_peer{request.from, std::move(reply)});
}

//! Applies the update of one topic from a source.
void apply_update(store_sync& state, const topic_update& update, instant confirmed_at,
                  sync_effects& out) {
    const auto found = state.topics.find(update.name);
    if (found == state.topics.end() || !found->second.is_known) {
        return;
    }
    topic_state& topic = found->second;
    for (const change_page& page : update.changes) {
        constexpr bool is_readable = true;
        apply_page(topic, update.name, page, is_readable, out);
    }
    // If changes are missing, the data stays unconfirmed. The topic is then read from the store. A
    // source in an earlier era confirms a history that the store has lost.
    if (topic.is_readable && topic.version >= update.version &&
        era_of(topic.version) == era_of(update.version)) {
        confirm(topic, confirmed_at);
        topic.source_confirmed_at = std::max(topic.source_confirmed_at, confirmed_at);
    }
}

//! Applies the reply of a source and updates its status.
void apply_reply(store_sync& state, const news_reply& reply, instant now, sync_effects& out) {
    const auto source =
        std::ranges::find(state.sources, reply.sequence, &source_state::open_sequence);
    if (reply.sequence == 0 || source == state.sources.end()) {
        return;
    }
    source->open_sequence = 0;
    source->reply_received_at = now;
    milliseconds max_age{0};
    for (const topic_update& update : reply.topics) {
        max_age = std::max(max_age, update.age);
        apply_update(state, update, source->request_sent_at - update.age, out);
    }
    const bool covers_all_topics = reply.topics.size() == state.topics.size();
    if (covers_all_topics && max_age + (now - source->request_sent_at) < source_stale_after) {
        source->stale_since = {};
        set_status(*source, source_status::fresh, max_age, out);
        return;
    }
    if (source->stale_since == instant{}) {
        source->stale_since = now;
        poll_sources(state, now, out);
    } else if (now - source->stale_since >= stale_limit) {
        set_status(*source, source_status::stale, max_age, out);
    }
}

}  // namespace

bool serves_other_instances(const store_sync& state, instant now) {
    return state.uses_sources &&
           (state.sources.empty() || now - state.last_peer_request_at < stop_serving_after);
}

std::optional<milliseconds> topic_age(const store_sync& state, const std::string& topic,
                                      instant now) {
    const auto found = state.topics.find(topic);
    if (found == state.topics.end() || found->second.confirmed_at == instant{}) {
        return std::nullopt;
    }
    return now - found->second.confirmed_at;
}

bool must_read_store(const store_sync& state, const std::string& topic, instant now) {
    if (!state.uses_sources || serves_other_instances(state, now)) {
        return true;
    }
    const auto found = state.topics.find(topic);
    if (found == state.topics.end() || !found->second.is_known) {
        return true;
    }
    const topic_state& known = found->second;
    const milliseconds stale_after = derive_stale_after(state.bounds);
    if (awaits_first_reply(state, known)) {
        // What this instance read itself is as good as a reply of the same age.
        return now - known.confirmed_at >= std::min(source_stale_after, stale_after);
    }
    return now - known.source_confirmed_at >= stale_after;
}

bool has_fresh_source(const store_sync& state, instant now) {
    const milliseconds stale_after = derive_stale_after(state.bounds);
    return !state.topics.empty() && std::ranges::all_of(state.topics, [&](const auto& entry) {
        return entry.second.is_known && now - entry.second.source_confirmed_at < stale_after;
    });
}

milliseconds probe_period(const store_sync& state, instant now) {
    const bool has_responsive_source =
        std::ranges::any_of(state.sources, [&](const source_state& source) {
            return now - source.reply_received_at < retry_period + reply_timeout;
        });
    return has_responsive_source ? derive_slow_probe_period(state.bounds) : probe_period_alone;
}

std::vector<sync_effect> reduce(store_sync& state, const sync_event& happened, instant now) {
    sync_effects out;
    std::visit(
        overloaded{
            [&](const sync_members_changed& changed) { update_sources(state, changed.members); },
            [&](const topic_listed& listed) { apply_list(state, listed, out); },
            [&](const topic_watched& watched) { apply_watch(state, watched, now, out); },
            [&](const sync_requested& requested) {
                send_reply(state, requested.request, now, out);
            },
            [&](const sync_replied& replied) { apply_reply(state, replied.reply, now, out); },
            [&](const sync_tick&) { poll_sources(state, now, out); },
            [&](const sync_network_started&) {
                state.can_send = true;
                poll_sources(state, now, out);
            },
        },
        happened);
    return out;
}

}  // namespace cyclamenmount
