#include "callers/internal/serving.h"

#include <thread>

#include <boost/outcome/try.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto peer_poll_period = 25ms;
constexpr auto peer_read_timeout = 500ms;
constexpr auto local_wait = 100ms;
constexpr auto longest_read = 600s;

struct frames_wanted {
    answer_key key;
    std::size_t next{0};
};

decided<frames_wanted> parse(const http_exchange& http, std::string_view key) {
    BOOST_OUTCOME_TRY(headers, http.headers());
    BOOST_OUTCOME_TRY(fields, parse_fields(headers));
    frames_wanted wanted;
    wanted.key.owner = fields.key_sha256;
    BOOST_OUTCOME_TRY(parsed_key, parse_key(key));
    wanted.key.key = std::move(parsed_key);
    BOOST_OUTCOME_TRY(parsed_next, parse_from(http.query()));
    wanted.next = std::move(parsed_next);
    return wanted;
}

result<answer_part> read_peer(const serving& shared, const member& peer,
                              const frames_wanted& wanted) {
    const std::string query = read_query(wanted.key, wanted.next);
    BOOST_OUTCOME_TRY(reply, shared.with.read_peer(peer, query, peer_read_timeout));
    return parse_read_reply(reply);
}

//! True if `part` was the last.
bool send_part(http_exchange& http, const answer_part& part, frames_wanted& wanted) {
    if (part.frames.empty() && !part.ended) {
        return false;
    }
    const bool sent = http.send_frames(part, wanted.next);
    wanted.next += part.frames.size();
    return part.ended || !sent;
}

void follow_local(http_exchange& http, const answer& source, frames_wanted wanted) {
    const instant give_up_at = boot_clock::now() + longest_read;
    while (boot_clock::now() < give_up_at) {
        if (send_part(http, source.wait(wanted.next, local_wait), wanted)) {
            return;
        }
    }
}

void follow_peer(const serving& shared, http_exchange& http, const member& peer, answer_part part,
                 frames_wanted wanted) {
    const instant give_up_at = boot_clock::now() + longest_read;
    while (!send_part(http, part, wanted) && boot_clock::now() < give_up_at) {
        std::this_thread::sleep_for(peer_poll_period);
        auto more = read_peer(shared, peer, wanted);
        if (!more) {
            return;  // the answer ends without a final frame; the caller reads again
        }
        part = std::move(more.value());
    }
}

}  // namespace

void serve_frames(serving& shared, http_exchange& http, std::string_view key) {
    const auto parsed = parse(http, key);
    if (!parsed) {
        http.send_problem(parsed.error());
        return;
    }
    const frames_wanted& wanted = parsed.value();
    const std::shared_ptr<answer> here = shared.with.answers.find(wanted.key);
    if (here) {
        follow_local(http, *here, wanted);
        return;
    }
    for (const member& peer : shared.with.peers ? shared.with.peers() : std::vector<member>()) {
        auto part = read_peer(shared, peer, wanted);
        if (part) {
            follow_peer(shared, http, peer, std::move(part.value()), wanted);
            return;
        }
    }
    http.send_problem({refusal_reason::unknown_target,
                       execution::not_run,
                       "no answer with this key is kept",
                       "path",
                       {}});
}

}  // namespace cyclamenmount::detail
