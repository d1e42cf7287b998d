//! Search for the origins of streams at peers, while the store gives no answer.
//!
//! Each instance has records of the streams that it began or took up. Only such a record is an
//! answer: what versions a peer knows of says nothing about a stream. A search asks all peers once
//! and is over when all have replied, or after a short time, as some may be gone. Each stream has
//! one origin, so that the first record decides.
//!
//! Pure functions.
#pragma once

#include "stream_versions/stream_versions.h"
#include "types/effects.h"

#include <set>
#include <span>
#include <vector>

namespace cyclamenmount {

//! Time in which a peer replies, also one to which a connection has to be opened.
inline constexpr milliseconds origin_reply_time{500};

//! Streams in one request.
inline constexpr std::size_t max_searched_streams = 128;

//! A request to all peers that isn't answered by all of them yet.
struct origin_search {
    std::set<std::string> keys;
    std::set<instance_id> awaited;  //!< peers without a reply
    instant ends_at{};              //!< later replies are of use only to streams that still wait
};

struct origin_searches {
    std::uint64_t last_sequence{0};
    std::map<std::uint64_t, origin_search> open;  //!< by sequence number
};

//! Begins a search and returns the requests to send; its number is `last_sequence`. Streams without
//! a key are known to nobody. `keys` holds at most `max_searched_streams`.
std::vector<send_to_peer> begin_search(origin_searches& searches, const member& self,
                                       std::span<const member> peers, std::set<std::string> keys,
                                       instant now);

//! True if all peers have replied, or had the time to.
bool is_over(const origin_searches& searches, std::uint64_t sequence, instant now);

//! Forgets searches of which no reply can be of use.
void expire_searches(origin_searches& searches, instant now);

//! What a peer has recorded of the streams of a request. Further streams than the limit aren't
//! looked up.
origins_reply make_origins_reply(const stream_records& records, const origins_request& request);

//! What a reply brought.
struct found_origins {
    std::map<std::string, stream_origin> origins;  //!< by key
    std::size_t dropped{0};                        //!< entries that can't be an answer
};

//! Takes a peer's reply; a reply that isn't awaited brings nothing.
found_origins take_reply(origin_searches& searches, const instance_id& from,
                         const origins_reply& reply);

}  // namespace cyclamenmount
