//! Store sync: keeps an instance up to date with the store, by its own reads or through a peer.
//!
//! A reducer without I/O. Store calls are costly, and in a large fleet all instances would read the
//! same data. Instead, each instance polls one peer, its sync source, every few hundred
//! milliseconds. The member that ranks first has no source and reads the store. An instance that is
//! polled by peers reads the store as well. A reply carries the age of the sender's data, and the
//! receiver counts it from the time of the request, so that a late reply never makes stale data
//! look fresh. An instance without fresh data reads the store itself, whatever the reason.
//!
//! A topic is a part of the store that is read separately. Pages of changes are forwarded as the
//! store sent them. A page that begins before the known version and ends after it is applied whole,
//! since the last change of an object decides. A page that holds the whole state of a topic begins
//! at `first_version`, replaces all earlier ones, and is applied by a peer however far that is
//! behind. A state that can't be read has a version, so that reading continues from there, but
//! isn't confirmed: what is in force is older.
//!
//! An answer may be handled long after the store gave it, e.g. by a process that was paused. It
//! therefore confirms a topic as of the earliest time at which the store can have given it.
#pragma once

#include "store_sync/read_timing.h"
#include "types/effects.h"
#include "types/store_version.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenmount {

// --- events -------------------------------------------------------------------------------------

//! The members of the fleet changed.
struct sync_members_changed {
    std::vector<member> members;
};

//! A topic was read from the store in full.
struct topic_listed {
    std::string topic;
    object_version version{0};
    instant sent_at{};       //!< start of the call
    bool is_readable{true};  //!< false: the list doesn't tell the topic's whole state
    //! The list as a page that holds the topic's whole state, to forward it to peers; empty if it
    //! can't be forwarded.
    std::string text{};
    //! Changes from the known version to the list, if the store dropped their history: peers that
    //! know an earlier version then needn't read the list as well. None if they aren't known.
    std::optional<change_page> difference{};
};

//! A watch of the store returned the changes after `page.base`; the text is empty if there are
//! none.
struct topic_watched {
    std::string topic;
    change_page page;
    instant sent_at{};       //!< start of the call
    milliseconds wait{0};    //!< time after which the store answers without changes
    bool is_readable{true};  //!< false: the changes don't tell the topic's whole state
};

//! A peer requested updates.
struct sync_requested {
    news_request request;
};

//! A source replied to a request for updates. It holds no changes that can't be read.
struct sync_replied {
    news_reply reply;
};

//! Periodic event that sends requests to sources.
struct sync_tick {};

//! Messages can be sent to peers from now on.
struct sync_network_started {};

using sync_event = std::variant<sync_members_changed, topic_listed, topic_watched, sync_requested,
                                sync_replied, sync_tick, sync_network_started>;

// --- effects ------------------------------------------------------------------------------------

//! The list that was just read is valid: no newer version is known.
struct list_accepted {
    std::string topic;
};

//! Changes after the known version, read from the store or forwarded by a peer; never empty.
struct page_accepted {
    std::string topic;
    change_page page;
};

//! Health of a source; an unhealthy one is skipped.
enum class source_status {
    unresponsive,  //!< a request to it timed out
    stale,         //!< its data is too old: it has no recent state of the store
    fresh,         //!< healthy and in use again
};

//! Returns the name of a status for the log.
constexpr std::string_view enum_name(source_status value) {
    switch (value) {
    case source_status::unresponsive:
        return "silent";
    case source_status::stale:
        return "stale";
    case source_status::fresh:
        return "fresh";
    }
    return "unknown";
}

//! The status of a source changed.
struct source_status_changed {
    std::string address;
    source_status status{source_status::fresh};
    milliseconds age{0};  //!< age of the unanswered request, or of the data of the source
};

using sync_effect = std::variant<send_to_peer, list_accepted, page_accepted, source_status_changed>;

// --- state --------------------------------------------------------------------------------------

//! What this instance has read of one topic.
struct topic_state {
    object_version version{0};  //!< last known version of the store
    bool is_known{false};       //!< read in full at least once
    bool is_readable{true};     //!< false: an older state than that of `version` is in force
    //! Last time at which the store had no newer state than the one in force; zero if never.
    instant confirmed_at{};
    instant source_confirmed_at{};    //!< value of `confirmed_at` from the replies of sources
    std::deque<change_page> pages;    //!< last pages, oldest first, kept for peers
    object_version complete_from{0};  //!< `pages` hold all changes after this version
};

//! A peer that this instance requests updates from.
struct source_state {
    std::string address;
    std::uint64_t open_sequence{0};  //!< sequence number of the unanswered request; 0 if none
    instant request_sent_at{};       //!< last request to this source
    instant reply_received_at{};     //!< last reply of this source
    instant stale_since{};           //!< time of the first stale reply; zero if fresh or not polled
    bool is_skipped{false};          //!< unresponsive or stale; the next source is used instead
};

//! State of the store sync of one instance.
struct store_sync {
    sync_bounds bounds;
    member self;                                //!< the local member
    std::map<std::string, topic_state> topics;  //!< by name
    //! False: no request is sent, as it would be lost and its source count as unresponsive.
    bool can_send{true};
    bool uses_sources{false};           //!< the fleet is large enough to read through sources
    std::vector<source_state> sources;  //!< sources, highest rank first
    instant last_peer_request_at{};     //!< last request of any peer for updates
    std::uint64_t last_sequence{0};     //!< sequence number of the last request sent
};

//! Position before the first change of the era of `version`.
constexpr object_version first_version(object_version version) {
    return make_store_version(era_of(version), 0);
}

//! In a smaller fleet every instance reads the store: the calls then cost well under 1% of the
//! capacity of the fleet.
inline constexpr std::size_t min_fleet_with_sources = 24;

//! Applies one event to the state and returns the effects to carry out.
std::vector<sync_effect> reduce(store_sync& state, const sync_event& happened, instant now);

//! Returns the time since the store is known to have had no newer version of the topic; none if the
//! topic has never been read, or only in a form that can't be decoded.
std::optional<milliseconds> topic_age(const store_sync& state, const std::string& topic,
                                      instant now);

//! Returns true if this instance has to read the topic from the store now.
bool must_read_store(const store_sync& state, const std::string& topic, instant now);

//! Returns true if this instance reads the store on behalf of other instances.
bool serves_other_instances(const store_sync& state, instant now);

//! Returns true if a source keeps this instance up to date on all topics.
bool has_fresh_source(const store_sync& state, instant now);

//! Returns the time between two calls of this instance to an unreachable store.
milliseconds probe_period(const store_sync& state, instant now);

}  // namespace cyclamenmount
