//! Answers of keyed requests, kept for repeats and for callers that read again.
#pragma once

#include "pipeline/answer.h"

#include <map>
#include <memory>

namespace cyclamenmount {

struct answer_store_settings {
    milliseconds kept{60000};                             //!< after the end
    std::size_t max_bytes{std::size_t{8} * 1024 * 1024};  //!< of ended answers
};

//! Whose answer: the hash of the caller's key, and the Idempotency-Key.
struct answer_key {
    std::string owner;
    idempotency_key key;

    auto operator<=>(const answer_key&) const = default;
};

enum class begin_verdict {
    created,     //!< the caller of `begin` runs it
    joined,      //!< it runs already, or ran to a whole answer
    key_reused,  //!< same key, other body
};

struct begun_answer {
    begin_verdict verdict{begin_verdict::created};
    std::shared_ptr<answer> value;
};

//! Safe to call from any thread.
class answer_store {
public:
    explicit answer_store(answer_store_settings settings);

    //! An answer that ended with a refusal is replaced.
    begun_answer begin(const answer_key& key, const fingerprint& body, const request_id& request);

    //! Null if there is none.
    std::shared_ptr<answer> find(const answer_key& key);

    //! Answers a peer's read at once with what there is. For `peer_handlers::on_read`.
    std::string answer_read(std::string_view query);

private:
    void prune(instant now);

    answer_store_settings settings_;
    std::mutex mutex_;
    std::map<answer_key, std::shared_ptr<answer>> answers_;
    instant next_prune_;
};

//! Query for `answer_read` of a peer.
std::string read_query(const answer_key& key, std::size_t from);

//! Reads the reply of `answer_read`; `missing` if the peer has no such answer.
result<answer_part> parse_read_reply(std::string_view text);

}  // namespace cyclamenmount
