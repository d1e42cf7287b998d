//! Responses to requests with an idempotency key, kept for repeated requests and for callers that
//! read the frames again.
#pragma once

#include "pipeline/response_stream.h"

#include <map>
#include <memory>

namespace cyclamenmount {

struct response_store_settings {
    milliseconds retention{60000};                        //!< counted from the end of a response
    std::size_t max_bytes{std::size_t{8} * 1024 * 1024};  //!< limit for all ended responses
};

//! Identifies a response by its caller and the Idempotency-Key header.
struct response_key {
    std::string caller_key_sha256;  //!< SHA-256 of the caller's API key, in hexadecimal
    idempotency_key key;

    auto operator<=>(const response_key&) const = default;
};

enum class begin_status {
    created,     //!< new; the caller of `begin` has to run the request
    joined,      //!< the request is running or has completed
    key_reused,  //!< the key was used with another body
};

struct begun_response {
    begin_status status{begin_status::created};
    std::shared_ptr<response_stream> value;
};

//! Safe to call from any thread.
class response_store {
public:
    explicit response_store(response_store_settings settings);

    //! Returns the response of `key`, or creates one. A response that failed or was abandoned is
    //! replaced.
    begun_response begin(const response_key& key, const fingerprint& body,
                         const request_id& request);

    //! Returns null if no response is kept for `key`.
    std::shared_ptr<response_stream> find(const response_key& key);

    //! Handles a peer's `read_query`: returns the frames available now, without waiting. Handler
    //! for `peer_handlers::on_read`.
    std::string handle_read(std::string_view query);

private:
    void prune(instant now);

    response_store_settings settings_;
    std::mutex mutex_;
    std::map<response_key, std::shared_ptr<response_stream>> responses_;
    instant next_prune_;
};

//! Builds the query for a peer's `handle_read`.
std::string read_query(const response_key& key, std::size_t from);

//! Parses a reply of `handle_read`. Errors: `missing` if the peer keeps no response for the key,
//! `protocol` if the reply is malformed.
result<response_part> parse_read_reply(std::string_view text);

}  // namespace cyclamenmount
