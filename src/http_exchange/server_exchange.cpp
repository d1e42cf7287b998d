#include "http_exchange/server_exchange.h"

#include <cstdio>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

namespace cyclamenmount {

namespace {

constexpr std::string_view continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr milliseconds refusal_timeout{1000};

using request_parser = http::request_parser<http::string_body>;
using request_head = http::request_header<>;

http::status status_for(const error_code& failed, bool is_header_done) {
    if (failed == asio::error::timed_out) {
        return http::status::request_timeout;
    }
    if (failed == http::error::header_limit ||
        (failed == http::error::buffer_overflow && !is_header_done)) {
        return http::status::request_header_fields_too_large;
    }
    if (failed == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

task<request_read> refuse(connection_ptr caller, http::status status, std::string why,
                          milliseconds retry_after) {
    http::response<http::string_body> response(status, 11);
    response.keep_alive(false);
    if (status == http::status::service_unavailable) {
        char seconds[32];
        (void)std::snprintf(seconds, sizeof(seconds), "%.3f",
                            static_cast<double>(retry_after.count()) / 1000.0);
        response.set(http::field::retry_after, seconds);
    }
    response.prepare_payload();
    caller->ends_with_response = true;
    const time_limit limited(caller, refusal_timeout);
    error_code ignored;  // the connection is closed in any case
    co_await http::async_write(caller->socket, response, redirect_error_to(ignored));
    co_return request_read{{}, status, std::move(why)};
}

//! Advances the parser until it has the headers, or the whole request.
task<error_code> advance(connection& from, request_parser& parser, bool to_end,
                         receive_account& account) {
    error_code failed;
    while (!failed && !(to_end ? parser.is_done() : parser.is_header_done())) {
        failed = co_await read_step(from, parser);
        if (from.timed_out) {
            failed = asio::error::timed_out;
        }
        account.set_kept(from.buffer.capacity() + parser.get().body().size() +
                         memory_of(parser.get()));
        if (account.is_ended()) {
            failed = asio::error::no_buffer_space;
        }
    }
    co_return failed;
}

task<error_code> read_parts(connection_ptr from, request_parser& parser, request_limits limits,
                            receive_account& account) {
    error_code failed;
    {
        const time_limit limited(from, limits.header_time, expiry::cancel);
        failed = co_await advance(*from, parser, false, account);
    }
    if (!failed) {
        failed = check_framing(parser, parser.get().base());
    }
    if (failed) {
        co_return failed;
    }
    // The parser adds the fields of a trailer to the headers, where they could replace what the
    // caller's id, key and time limit were taken to be (RFC 9110, section 6.5.1).
    const std::optional<request_head> head =
        parser.chunked() ? std::optional(parser.get().base()) : std::nullopt;
    const time_limit limited(from, limits.body_time, expiry::cancel);
    if (!parser.get()[http::field::expect].empty()) {
        co_await asio::async_write(from->socket, asio::buffer(continue_line),
                                   redirect_error_to(failed));
    }
    if (!failed) {
        failed = co_await advance(*from, parser, true, account);
    }
    if (head) {
        parser.get().base() = *head;
    }
    co_return failed;
}

}  // namespace

task<request_read> read_request(connection_ptr from, request_limits limits,
                                receive_account& account) {
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    account.set_on_end([from] {
        error_code ignored;  // the connection may be closed already
        from->socket.cancel(ignored);
    });
    const error_code failed = co_await read_parts(from, parser, limits, account);
    account.set_on_end([] {});
    if (from->is_closed) {
        co_return request_read{};
    }
    if (account.is_ended()) {
        co_return co_await refuse(from, http::status::service_unavailable, "out of memory",
                                  limits.retry_after);
    }
    if (!failed) {
        co_return request_read{parser.release(), {}};
    }
    const bool is_too_slow = failed == asio::error::timed_out && parser.got_some();
    const bool is_invalid = failed.category() == http::make_error_code(http::error{}).category() &&
                            failed != http::error::end_of_stream &&
                            failed != http::error::partial_message;
    if (is_too_slow || is_invalid) {
        co_return co_await refuse(from, status_for(failed, parser.is_header_done()),
                                  failed.message(), limits.retry_after);
    }
    co_return request_read{};
}

}  // namespace cyclamenmount
