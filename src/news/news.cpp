#include "news/news.h"

#include "news/internal/sources.h"
#include "types/overloaded.h"

#include <algorithm>

namespace cyclamenmount {

namespace {

using news_effects = std::vector<news_effect>;

//! Between requests to the source: news arrives this much later than at the reader.
constexpr milliseconds request_period{400};
//! While a source's news isn't as young as a reader's, the next is asked too, and more often: one
//! that wasn't asked before begins to read with the first request.
constexpr milliseconds doubtful_age{700};
constexpr milliseconds doubtful_period{200};
//! A source that stays doubtful for longer doesn't read, or can't.
constexpr milliseconds doubt_limit{1000};
//! A source without a reply for this long is passed over; a round trip takes some milliseconds.
constexpr milliseconds silence{600};
//! Between requests to sources that are passed over, to find them back.
constexpr milliseconds retry_period{2000};
//! An instance that nobody has asked for this long stops reading for others.
constexpr milliseconds request_memory{2000};
//! Between calls to a store that doesn't answer: a source that is alive tells of its return, so the
//! others need to call only in case the store turns just the source away.
constexpr milliseconds lone_probe{400};
constexpr milliseconds accompanied_probe{2000};
//! Kept for peers that are behind; one that is further behind reads the store itself.
constexpr std::size_t most_pages = 64;
constexpr std::size_t most_page_bytes = std::size_t{512} * 1024;

std::size_t bytes_of(const topic_state& topic) {
    std::size_t sum = 0;
    for (const news_page& page : topic.pages) {
        sum += page.text.size();
    }
    return sum;
}

//! Takes a page that follows on what is known, if it brings anything new.
void take_page(topic_state& topic, const std::string& name, const news_page& page,
               news_effects& out) {
    if (page.base > topic.version || page.version <= topic.version) {
        return;
    }
    topic.version = page.version;
    if (page.text.empty() && !topic.pages.empty() && topic.pages.back().text.empty()) {
        topic.pages.back().version = page.version;
        return;
    }
    topic.pages.push_back(page);
    while (topic.pages.size() > most_pages || bytes_of(topic) > most_page_bytes) {
        topic.complete_from = topic.pages.front().version;
        topic.pages.pop_front();
    }
    if (!page.text.empty()) {
        out.push_back(page_accepted{name, page});
    }
}

void rank_again(news& state, const std::vector<member>& members) {
    state.is_shared = members.size() >= smallest_shared_fleet;
    std::vector<source_state> ranked;
    if (state.is_shared) {
        for (const std::string& address : detail::rank_sources(state.self, members)) {
            const auto known = std::ranges::find(state.sources, address, &source_state::address);
            ranked.push_back(known == state.sources.end() ? source_state{address} : *known);
        }
    }
    state.sources = std::move(ranked);
}

void take_list(news& state, const topic_listed& listed, instant now, news_effects& out) {
    topic_state& topic = state.topics[listed.topic];
    topic.is_known = true;
    topic.confirmed_at = std::max(topic.confirmed_at, now);
    if (listed.version >= topic.version) {
        topic.version = listed.version;
        topic.pages.clear();
        topic.complete_from = listed.version;
        out.push_back(list_accepted{listed.topic});
    }
}

void take_watch(news& state, const topic_watched& watched, instant now, news_effects& out) {
    topic_state& topic = state.topics[watched.topic];
    take_page(topic, watched.topic, watched.page, out);
    topic.confirmed_at = std::max(topic.confirmed_at, now);
}

void ask(news& state, source_state& source, instant now, news_effects& out) {
    news_request request;
    request.from = state.self;
    request.sequence = ++state.last_sequence;
    for (const auto& [name, topic] : state.topics) {
        request.known.push_back({name, topic.version});
    }
    source.sequence = request.sequence;
    source.asked_at = now;
    out.push_back(send_to_peer{{{}, source.address, {}}, std::move(request)});
}

void judge(source_state& source, source_verdict verdict, milliseconds age, news_effects& out) {
    const bool passed_over = verdict != source_verdict::fresh;
    if (source.is_passed_over != passed_over) {
        source.is_passed_over = passed_over;
        out.push_back(source_judged{source.address, verdict, age});
    }
}

//! Asks the best source that isn't passed over, and now and then those that are.
void ask_sources(news& state, instant now, news_effects& out) {
    bool has_current = false;  // a source that isn't in doubt
    for (source_state& source : state.sources) {
        const milliseconds waited = now - source.asked_at;
        if (source.sequence != 0 && waited >= silence) {
            source.sequence = 0;
            judge(source, source_verdict::silent, waited, out);
        }
        const bool is_current = !source.is_passed_over && !has_current;
        const bool is_doubted = source.doubted_since != instant{};
        has_current = has_current || (is_current && !is_doubted);
        const milliseconds usual_period = is_doubted ? doubtful_period : request_period;
        const bool is_due = waited >= (source.is_passed_over ? retry_period : usual_period) &&
                            (is_current || source.is_passed_over);
        if (source.sequence == 0 && is_due) {
            ask(state, source, now, out);
        }
    }
}

void answer(news& state, const news_request& request, instant now, news_effects& out) {
    state.requested_at = now;
    news_reply reply;
    reply.sequence = request.sequence;
    for (const news_position& known : request.known) {
        const auto found = state.topics.find(known.name);
        if (found == state.topics.end() || !found->second.is_known) {
            continue;
        }
        const topic_state& topic = found->second;
        topic_news told{known.name, topic.version, now - topic.confirmed_at, {}};
        if (known.version >= topic.complete_from) {
            std::ranges::copy_if(
                topic.pages, std::back_inserter(told.changes),
                [&](const news_page& page) { return page.version > known.version; });
        }
        reply.topics.push_back(std::move(told));
    }
    out.push_back(send_to_peer{request.from, std::move(reply)});
}

void take_topic(news& state, const topic_news& told, instant confirmed_at, news_effects& out) {
    const auto found = state.topics.find(told.name);
    if (found == state.topics.end() || !found->second.is_known) {
        return;
    }
    topic_state& topic = found->second;
    for (const news_page& page : told.changes) {
        take_page(topic, told.name, page, out);
    }
    // Behind a gap nothing is confirmed, so the store is read.
    if (topic.version >= told.version) {
        topic.confirmed_at = std::max(topic.confirmed_at, confirmed_at);
        topic.source_confirmed_at = std::max(topic.source_confirmed_at, confirmed_at);
    }
}

void take_reply(news& state, const news_reply& reply, instant now, news_effects& out) {
    const auto source = std::ranges::find(state.sources, reply.sequence, &source_state::sequence);
    if (reply.sequence == 0 || source == state.sources.end()) {
        return;
    }
    source->sequence = 0;
    source->heard_at = now;
    milliseconds oldest{0};
    for (const topic_news& told : reply.topics) {
        oldest = std::max(oldest, told.age);
        take_topic(state, told, source->asked_at - told.age, out);
    }
    const bool tells_all = reply.topics.size() == state.topics.size();
    if (tells_all && oldest + (now - source->asked_at) < doubtful_age) {
        source->doubted_since = {};
        judge(*source, source_verdict::fresh, oldest, out);
        return;
    }
    if (source->doubted_since == instant{}) {
        source->doubted_since = now;
        ask_sources(state, now, out);
    } else if (now - source->doubted_since >= doubt_limit) {
        judge(*source, source_verdict::stale, oldest, out);
    }
}

}  // namespace

bool reads_for_others(const news& state, instant now) {
    return state.is_shared && (state.sources.empty() || now - state.requested_at < request_memory);
}

bool reads_store(const news& state, const std::string& topic, instant now) {
    if (!state.is_shared || reads_for_others(state, now)) {
        return true;
    }
    const auto found = state.topics.find(topic);
    return found == state.topics.end() || !found->second.is_known ||
           now - found->second.source_confirmed_at >= stale_after;
}

bool is_kept_fresh(const news& state, instant now) {
    return !state.topics.empty() && std::ranges::all_of(state.topics, [&](const auto& entry) {
        return entry.second.is_known && now - entry.second.source_confirmed_at < stale_after;
    });
}

milliseconds probe_period(const news& state, instant now) {
    const bool is_accompanied = std::ranges::any_of(state.sources, [&](const source_state& one) {
        return now - one.heard_at < retry_period + silence;
    });
    return is_accompanied ? accompanied_probe : lone_probe;
}

std::vector<news_effect> reduce(news& state, const news_event& happened, instant now) {
    news_effects out;
    std::visit(overloaded{
                   [&](const news_members& known) { rank_again(state, known.members); },
                   [&](const topic_listed& listed) { take_list(state, listed, now, out); },
                   [&](const topic_watched& watched) { take_watch(state, watched, now, out); },
                   [&](const news_requested& asked) { answer(state, asked.request, now, out); },
                   [&](const news_replied& replied) { take_reply(state, replied.reply, now, out); },
                   [&](const news_tick&) { ask_sources(state, now, out); },
               },
               happened);
    return out;
}

}  // namespace cyclamenmount
