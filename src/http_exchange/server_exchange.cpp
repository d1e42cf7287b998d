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

http::status status_for(const error_code& failed, bool is_header_done) {
    if (failed == http::error::header_limit ||
        (failed == http::error::buffer_overflow && !is_header_done)) {
        return http::status::request_header_fields_too_large;
    }
    if (failed == http::error::body_limit) {
        return http::status::payload_too_large;
    }
    return http::status::bad_request;
}

task<> refuse(connection_ptr caller, http::status status, milliseconds retry_after) {
    http::response<http::string_body> response(status, 11);
    response.keep_alive(false);
    if (status == http::status::service_unavailable) {
        char seconds[32];
        (void)std::snprintf(seconds, sizeof(seconds), "%.3f",
                            static_cast<double>(retry_after.count()) / 1000.0);
        response.set(http::field::retry_after, seconds);
    }
    response.prepare_payload();
    const time_limit limited(caller, refusal_timeout);
    error_code ignored;  // the connection is closed in any case
    co_await http::async_write(caller->socket, response, redirect_error_to(ignored));
}

//! Advances the parser until it has the headers, or the whole request.
task<error_code> advance(connection& from, request_parser& parser, bool to_end,
                         receive_account& account) {
    error_code failed;
    while (!failed && !(to_end ? parser.is_done() : parser.is_header_done())) {
        failed = co_await read_step(from, parser);
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
        const time_limit limited(from, limits.header_time);
        failed = co_await advance(*from, parser, false, account);
    }
    if (failed) {
        co_return failed;
    }
    const time_limit limited(from, limits.body_time);
    if (!parser.get()[http::field::expect].empty()) {
        co_await asio::async_write(from->socket, asio::buffer(continue_line),
                                   redirect_error_to(failed));
    }
    if (!failed) {
        failed = co_await advance(*from, parser, true, account);
    }
    co_return failed;
}

}  // namespace

task<std::optional<received_request>> read_request(connection_ptr from, request_limits limits,
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
        // A time limit may close the connection in the turn of the loop in which a read succeeds.
        co_return std::nullopt;
    }
    if (account.is_ended()) {
        co_await refuse(from, http::status::service_unavailable, limits.retry_after);
        co_return std::nullopt;
    }
    if (!failed) {
        co_return parser.release();
    }
    const bool connection_ended =
        failed == http::error::end_of_stream || failed == http::error::partial_message ||
        failed.category() != http::make_error_code(http::error{}).category();
    if (!connection_ended) {
        co_await refuse(from, status_for(failed, parser.is_header_done()), limits.retry_after);
    }
    co_return std::nullopt;
}

}  // namespace cyclamenmount
