//! How an instance keeps up with the store: by its own reading, or through a peer that reads for
//! it.
//!
//! A reducer without I/O. Every call to the store costs, and in a large fleet all instances would
//! read the same. So each asks one peer, its source, every few hundred milliseconds; the member
//! that ranks first has no source and reads, and so does whoever is asked. A reply says how old the
//! sender's knowledge is, counted from the request's sending, so a late reply never makes old news
//! look new. An instance without fresh news reads the store itself, whatever the reason.
//!
//! Topics are parts of the store that are read by themselves. Pages pass as the store wrote them.
//! One that begins before what is known and ends after it is taken whole: its last changes decide.
#pragma once

#include "types/effects.h"

#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

struct news_members {
    std::vector<member> members;
};

//! The store was read whole.
struct topic_listed {
    std::string topic;
    object_version version{0};
};

//! The store said what changed after `page.base`; the page has no text if nothing did.
struct topic_watched {
    std::string topic;
    news_page page;
};

struct news_requested {
    news_request request;
};

struct news_replied {
    news_reply reply;
};

struct news_tick {};

using news_event = std::variant<news_members, topic_listed, topic_watched, news_requested,
                                news_replied, news_tick>;

// --- effects ------------------------------------------------------------------------------------

//! The list just read is to be believed: nothing newer is known.
struct list_accepted {
    std::string topic;
};

//! Changes that follow on what is known, read here or passed on by a peer; never empty.
struct page_accepted {
    std::string topic;
    news_page page;
};

enum class source_verdict {
    silent,
    stale,  //!< doesn't know the store's present state itself
    fresh,  //!< is used again
};

constexpr std::string_view word(source_verdict value) {
    switch (value) {
    case source_verdict::silent:
        return "silent";
    case source_verdict::stale:
        return "stale";
    case source_verdict::fresh:
        return "fresh";
    }
    return "unknown";
}

//! What this instance believes of a source has changed.
struct source_judged {
    std::string address;
    source_verdict verdict{source_verdict::fresh};
    milliseconds age{0};  //!< of the request without a reply, or of what the source knows
};

using news_effect = std::variant<send_to_peer, list_accepted, page_accepted, source_judged>;

// --- state --------------------------------------------------------------------------------------

struct topic_state {
    object_version version{0};
    bool is_known{false};             //!< read whole once
    instant confirmed_at{};           //!< the store then held nothing newer
    instant source_confirmed_at{};    //!< the same, as far as a source has said
    std::deque<news_page> pages;      //!< the last ones, for peers
    object_version complete_from{0};  //!< `pages` hold all changes after this position
};

struct source_state {
    std::string address;
    std::uint64_t sequence{0};  //!< of the open request; 0: none
    instant asked_at{};
    instant heard_at{};
    instant doubted_since{};  //!< zero: its news is as young as a reader's, or it wasn't asked
    bool is_passed_over{false};
};

struct news {
    member self;
    std::map<std::string, topic_state> topics;
    bool is_shared{false};              //!< the fleet is large enough for sources
    std::vector<source_state> sources;  //!< best first
    instant requested_at{};             //!< when a peer asked last
    std::uint64_t last_sequence{0};
};

//! Below this size an instance reads the store itself: calls then cost well under a hundredth of
//! what the fleet serves.
inline constexpr std::size_t smallest_shared_fleet = 24;

//! News confirmed longer ago isn't relied on. A healthy reader's is at most 0.5 s old, a request is
//! sent every 0.4 s; a change that binds within 2 s is still read in time.
inline constexpr milliseconds stale_after{1400};

std::vector<news_effect> reduce(news& state, const news_event& happened, instant now);

//! Whether this instance has to read the topic from the store now.
bool reads_store(const news& state, const std::string& topic, instant now);

//! Whether others rely on this instance's reading.
bool reads_for_others(const news& state, instant now);

//! Whether a source keeps this instance up to date on all topics.
bool is_kept_fresh(const news& state, instant now);

//! How often this instance asks a store that doesn't answer.
milliseconds probe_period(const news& state, instant now);

}  // namespace cyclamenmount
