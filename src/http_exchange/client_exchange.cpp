#include "http_exchange/client_exchange.h"

#include "http_exchange/background.h"
#include "types/http_status.h"

#include <array>
#include <charconv>
#include <limits>

#include <boost/beast/http/write.hpp>

namespace cyclamenmount {

namespace {

//! Idle limit if the server sends no Keep-Alive timeout.
constexpr milliseconds default_idle_limit{4000};
//! Fraction of the server's Keep-Alive timeout after which a connection isn't reused, so that no
//! request is sent while the server closes it.
constexpr double idle_fraction = 0.6;
//! Request bodies from this size on are written while the response is read.
constexpr std::size_t min_concurrent_write_bytes = std::size_t{8} * 1024;
constexpr std::size_t read_bytes = std::size_t{4} * 1024;
//! Interim responses (1xx) that are skipped before a response; more of them count as endless.
constexpr int max_interim_responses = 16;
//! From this number of bytes on a body is received through a larger buffer.
constexpr std::size_t long_body_bytes = std::size_t{16} * 1024;
constexpr std::size_t long_body_buffer_bytes = std::size_t{16} * 1024;
//! Time in which a reset shows that follows the end of a response: a network round trip.
constexpr milliseconds reset_detection_time{50};
//! Limit on reading a response that isn't needed, to reuse its connection.
constexpr milliseconds rest_timeout{1000};
//! The parser's own limit on bodies isn't used, as it counts bytes that were passed on. Boost 1.74
//! treats `boost::none` as zero if the response has a Content-Length.
constexpr std::uint64_t unlimited_body = std::numeric_limits<std::uint64_t>::max();

//! Parses the `timeout=` parameter (seconds) of a Keep-Alive header; none if it is missing.
std::optional<milliseconds> parse_keep_alive_timeout(const http::fields& headers) {
    const auto value = headers[http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view name = "timeout=";
    const auto at = text.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char* const from = text.data() + at + name.size();
    if (std::from_chars(from, text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

}  // namespace

http_request_message make_json_request(http::verb method, const std::string& target,
                                       const std::string& host, std::string body) {
    constexpr unsigned http_version = 11;
    http_request_message request(method, target, http_version);
    request.set(http::field::host, host);
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = std::make_shared<const std::string>(std::move(body));
    }
    request.prepare_payload();
    return request;
}

//! The request while it is written.
struct client_exchange::writing {
    http_request_message request;
    http::request_serializer<shared_body> serializer;
    bool is_done{false};
    bool is_pending{true};
    bool is_broken{false};  //!< the connection failed while the request was written
    signal ended;

    writing(asio::io_context& loop, http_request_message message)
        : request(std::move(message)), serializer(request), ended(loop) {}
};

client_exchange::client_exchange(connection_ptr with, http_request_message request,
                                 receive_ledger_ptr ledger, std::string peer)
    : with_(std::move(with)), writing_(std::make_shared<writing>(with_->loop, std::move(request))),
      account_(std::move(ledger), std::move(peer), [this] { with_->close(); }) {}

task<> client_exchange::send() {
    const auto write = [](connection_ptr to, std::shared_ptr<writing> state) -> task<> {
        error_code failed;
        co_await http::async_write(to->socket, state->serializer, redirect_error_to(failed));
        state->is_pending = false;
        state->is_done = !failed;
        // A write that this process cancelled says nothing of the connection.
        state->is_broken = failed && failed != asio::error::operation_aborted;
        state->request.body().reset();
        state->ended.notify();
    };
    if (shared_body::size(writing_->request.body()) < min_concurrent_write_bytes) {
        co_await write(with_, writing_);
        co_return;
    }
    spawn(with_->loop, "write of a request", write(with_, writing_));
}

void client_exchange::book(std::size_t kept_elsewhere) {
    kept_elsewhere_ = kept_elsewhere;
    account_.set_kept(with_->buffer.capacity() + kept_elsewhere);
}

void client_exchange::report_excess(std::size_t bound) {
    is_over_bound_ = true;
    account_.report_excess(bound);
}

task<bool> client_exchange::has_ended_in_order() {
    // A reset ends both directions, but its error goes only to the operation that meets it first.
    // If that is the pending write, the read that follows sees an ordinary end. A server that reads
    // on after its end in order leaves the write pending.
    if (writing_->is_pending) {
        co_await writing_->ended.wait(reset_detection_time);
    }
    co_return !writing_->is_broken;
}

//! Advances the parser by one step.
task<error_code> client_exchange::step() {
    error_code failed = co_await read_step(*with_, *parser_);
    if (failed == http::error::need_buffer) {
        failed = {};
    }
    if (!failed && is_complete() && !is_framed()) {
        const bool is_in_order = co_await has_ended_in_order();
        failed = is_in_order ? error_code() : asio::error::connection_reset;
    }
    book(kept_elsewhere_);
    if (is_over_limit(failed)) {
        report_excess(max_response_head_bytes);
    }
    co_return failed;
}

task<error_code> client_exchange::read_any_head() {
    parser_.emplace();
    body_bytes_ = 0;
    parser_->body_limit(unlimited_body);
    parser_->header_limit(max_response_head_bytes);
    error_code failed;
    while (!failed && !parser_->is_header_done()) {
        failed = co_await step();
    }
    if (!failed) {
        failed = check_framing(*parser_, parser_->get().base());
    }
    if (!failed) {
        // The parser adds the fields of a trailer to its own headers (RFC 9110, section 6.5.1).
        head_ = std::move(parser_->get().base());
    }
    co_return failed;
}

task<error_code> client_exchange::read_head() {
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        const error_code failed = co_await read_any_head();
        if (failed) {
            co_return failed;
        }
        const auto status = static_cast<int>(head().result_int());
        if (is_final_status(status)) {
            co_return failed;
        }
        // RFC 9110, 15.2: a client reads on after an interim response, expected or not.
        if (!is_interim_status(status)) {
            break;
        }
        if (head().result() == http::status::switching_protocols) {
            break;  // what follows isn't HTTP
        }
    }
    co_return http::error::bad_status;
}

task<error_code> client_exchange::read_some(std::span<char> into, std::size_t& count) {
    auto& body = parser_->get().body();
    body.data = into.data();
    body.size = into.size();
    const error_code failed = co_await step();
    count = into.size() - body.size;
    body_bytes_ += count;
    if (body_bytes_ >= long_body_bytes) {
        with_->buffer.reserve(long_body_buffer_bytes);
    }
    co_return failed;
}

task<error_code> client_exchange::read_rest(std::string& body, std::size_t max_bytes) {
    if (content_length().value_or(0) > max_bytes) {
        co_return http::error::body_limit;
    }
    std::array<char, read_bytes> bytes{};
    error_code failed;
    while (!failed && !is_complete()) {
        std::size_t count = 0;
        failed = co_await read_some(bytes, count);
        body.append(bytes.data(), count);
        book(body.size());
        if (!failed && body.size() > max_bytes) {
            failed = http::error::body_limit;
        }
    }
    co_return failed;
}

task<error_code> client_exchange::skip_rest(std::size_t max_bytes) {
    std::array<char, read_bytes> bytes{};
    std::size_t skipped = 0;
    error_code failed;
    while (!failed && !is_complete()) {
        std::size_t count = 0;
        failed = co_await read_some(bytes, count);
        skipped += count;
        if (skipped > max_bytes) {
            report_excess(max_bytes);
            failed = http::error::body_limit;
        }
    }
    co_return failed;
}

std::optional<std::uint64_t> client_exchange::content_length() const {
    const auto length = parser_->content_length();
    return length ? std::optional(*length) : std::nullopt;
}

bool client_exchange::can_be_reused() {
    const auto keep_alive_timeout = parse_keep_alive_timeout(head());
    with_->idle_limit =
        keep_alive_timeout
            ? std::chrono::duration_cast<milliseconds>(*keep_alive_timeout * idle_fraction)
            : default_idle_limit;
    return writing_->is_done && parser_->keep_alive() && with_->buffer.size() == 0 &&
           !with_->is_closed;
}

void release_after_rest(connection_pool& pool, client_exchange_ptr exchange,
                        std::size_t max_bytes) {
    const auto read = [](connection_pool& to, client_exchange_ptr ended,
                         std::size_t limit) -> task<> {
        const time_limit limited(ended->used(), rest_timeout);
        const error_code failed = co_await ended->skip_rest(limit);
        if (!failed && ended->can_be_reused()) {
            to.release(ended->used());
        } else {
            ended->used()->close();
        }
    };
    const connection_ptr used = exchange->used();
    spawn(used->loop, "read of an unneeded response", read(pool, std::move(exchange), max_bytes));
}

task<exchange_reply> exchange(connection_ptr with, http_request_message request,
                              exchange_limits limits, receive_ledger_ptr ledger,
                              const response_filter* filter) {
    exchange_reply reply;
    time_limit limited(with, limits.time);
    client_exchange current(with, std::move(request), std::move(ledger), with->address);
    co_await current.send();
    while (true) {
        error_code failed = co_await current.read_head();
        if (failed) {
            break;
        }
        if (limits.progress.step > 0ms) {
            limited.follow_progress(limits.progress);
        }
        std::string body;
        failed = co_await current.read_rest(body, limits.response_bytes);
        reply.body_bytes = body.size();
        if (failed) {
            if (is_over_limit(failed) && !current.is_over_bound()) {
                current.report_excess(limits.response_bytes);
            }
            break;
        }
        http::response<http::string_body> response{http::response_header<>(current.head())};
        response.body() = std::move(body);
        current.book(0);
        if (filter != nullptr && !(*filter)(response)) {
            continue;
        }
        reply.outcome = exchange_outcome::completed;
        reply.response = std::move(response);
        if (!current.can_be_reused()) {
            with->close();
        }
        co_return reply;
    }
    if (current.is_over_bound()) {
        reply.outcome = exchange_outcome::too_large;
    } else {
        reply.outcome = with->timed_out ? exchange_outcome::timed_out : exchange_outcome::broken;
    }
    with->close();
    co_return reply;
}

}  // namespace cyclamenmount
