#include "callers/internal/server_state.h"

#include <thread>

#include <boost/outcome/try.hpp>

namespace cyclamenmount::detail {

namespace {

constexpr auto peer_poll_period = 25ms;
constexpr auto peer_read_timeout = 500ms;
constexpr auto local_wait = 100ms;
constexpr auto max_read_time = 600s;

struct frames_request {
    response_key key;
    std::size_t next{0};
};

decided<frames_request> parse(const http_exchange& http, std::string_view key) {
    BOOST_OUTCOME_TRY(headers, http.headers());
    BOOST_OUTCOME_TRY(fields, parse_fields(headers));
    frames_request wanted;
    wanted.key.caller_key_sha256 = fields.key_sha256;
    BOOST_OUTCOME_TRY(parsed_key, parse_key(key));
    wanted.key.key = std::move(parsed_key);
    BOOST_OUTCOME_TRY(parsed_next, parse_from(http.query()));
    wanted.next = std::move(parsed_next);
    return wanted;
}

result<response_part> read_peer(const server_state& server, const member& peer,
                                const frames_request& wanted) {
    const std::string query = read_query(wanted.key, wanted.next);
    BOOST_OUTCOME_TRY(reply, server.dependencies.read_peer(peer, query, peer_read_timeout));
    return parse_read_reply(reply);
}

//! Sends `part` and advances `wanted.next`. Returns true if there is nothing more to send: the
//! response has ended or the caller has disconnected.
bool send_part(http_exchange& http, const response_part& part, frames_request& wanted) {
    if (part.frames.empty() && !part.ended) {
        return false;
    }
    const bool sent = http.send_frames(part, wanted.next);
    wanted.next += part.frames.size();
    return part.ended || !sent;
}

void follow_local(http_exchange& http, const response_stream& source, frames_request wanted) {
    const instant read_until = boot_clock::now() + max_read_time;
    while (boot_clock::now() < read_until) {
        if (send_part(http, source.wait(wanted.next, local_wait), wanted)) {
            return;
        }
    }
}

void follow_peer(const server_state& server, http_exchange& http, const member& peer,
                 response_part part, frames_request wanted) {
    const instant read_until = boot_clock::now() + max_read_time;
    while (!send_part(http, part, wanted) && boot_clock::now() < read_until) {
        std::this_thread::sleep_for(peer_poll_period);
        auto more = read_peer(server, peer, wanted);
        if (!more) {
            return;  // the stream ends without a final frame, so the caller reads again
        }
        part = std::move(more.value());
    }
}

}  // namespace

void serve_frames(server_state& server, http_exchange& http, std::string_view key) {
    const auto parsed = parse(http, key);
    if (!parsed) {
        http.send_problem(parsed.error());
        return;
    }
    const frames_request& wanted = parsed.value();
    const std::shared_ptr<response_stream> local = server.dependencies.responses.find(wanted.key);
    if (local) {
        follow_local(http, *local, wanted);
        return;
    }
    for (const member& peer :
         server.dependencies.peers ? server.dependencies.peers() : std::vector<member>()) {
        auto part = read_peer(server, peer, wanted);
        if (part) {
            follow_peer(server, http, peer, std::move(part.value()), wanted);
            return;
        }
    }
    http.send_problem({refusal_reason::unknown_target,
                       execution::not_run,
                       "no response is kept for this key",
                       "path",
                       {}});
}

}  // namespace cyclamenmount::detail
