//! Client side of HTTP/1.1: a request on a connection, and its response.
#pragma once

#include "http_exchange/message_reader.h"
#include "http_exchange/receive_ledger.h"
#include "http_exchange/shared_body.h"

#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cyclamenmount {

using http_request_message = http::request<shared_body>;

//! Makes a request with a JSON body, or without a body if `body` is empty.
http_request_message make_json_request(http::verb method, const std::string& target,
                                       const std::string& host, std::string body);

//! A request that was sent on a connection, and its response, which is read as it arrives.
class client_exchange {
public:
    //! `peer` names the server in reports of the ledger, which may be null.
    client_exchange(connection_ptr with, http_request_message request, receive_ledger_ptr ledger,
                    std::string peer);

    //! Starts writing the request. Returns when it is written, or immediately if its body is long:
    //! that is written while the response is read, as a server may respond before it has read the
    //! whole body. A failed write doesn't end the exchange for the same reason; without a response,
    //! reading fails.
    task<> send();

    //! Reads the status line and headers of the next response, after interim ones. Fails with
    //! `http::error::bad_status` if its status isn't final (200 to 599), and with
    //! `http::error::bad_transfer_encoding` if its head doesn't tell where it ends: the response is
    //! then broken, and its connection can't be used any more.
    task<error_code> read_head();

    //! The status line and headers of the response, without the fields of a trailer.
    [[nodiscard]] const http::response_header<>& head() const {
        return head_;
    }

    //! Reads the next bytes of the body and sets their number, which may be 0 before the end.
    task<error_code> read_some(std::span<char> into, std::size_t& count);

    //! Appends the rest of the body. Fails with `http::error::body_limit` if it exceeds
    //! `max_bytes`: at once if the head names such a length, else with what arrived so far in
    //! `body`, so that reading can go on.
    task<error_code> read_rest(std::string& body, std::size_t max_bytes);

    //! Reads and drops the rest of the body; fails if it exceeds `max_bytes`.
    task<error_code> skip_rest(std::size_t max_bytes);

    //! True if the whole response was read.
    [[nodiscard]] bool is_complete() const {
        return parser_->is_done();
    }

    //! True if the response has a length or comes in chunks; else it ends with its connection.
    [[nodiscard]] bool is_framed() const {
        return !parser_->need_eof();
    }

    //! Length of the body; none if the head doesn't name it.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const;

    //! Books received bytes of the response that are kept elsewhere, beside the own buffers.
    void book(std::size_t kept_elsewhere);

    //! True if the exchange has failed because the response would keep too much.
    [[nodiscard]] bool is_over_bound() const {
        return is_over_bound_ || account_.is_ended();
    }

    //! Marks the exchange as failed because the response exceeds `bound`, and reports that.
    void report_excess(std::size_t bound);

    //! Returns whether the connection can carry another exchange after this response, and sets its
    //! idle limit from the response's Keep-Alive header.
    bool can_be_reused();

    [[nodiscard]] const connection_ptr& used() const {
        return with_;
    }

private:
    struct writing;

    task<error_code> step();
    //! Reads the next head, that of an interim response included.
    task<error_code> read_any_head();
    //! True unless the connection was reset before the end of a response without a length.
    task<bool> has_ended_in_order();

    connection_ptr with_;
    std::shared_ptr<writing> writing_;  //!< shared with the coroutine that writes a long body
    receive_account account_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    http::response_header<> head_;
    std::size_t kept_elsewhere_{0};
    std::size_t body_bytes_{0};  //!< received of the body of the current response
    bool is_over_bound_{false};
};

using client_exchange_ptr = std::shared_ptr<client_exchange>;

//! Reads the rest of a response that isn't needed in the background, and returns the connection to
//! the pool if it can carry another exchange.
void release_after_rest(connection_pool& pool, client_exchange_ptr exchange, std::size_t max_bytes);

enum class exchange_outcome {
    completed,  //!< the complete response was received
    not_sent,   //!< no part of the request was sent
    broken,     //!< the connection failed before a complete response; the request may have run
    too_large,  //!< the response would have kept too much; the request may have run
    timed_out,  //!< no complete response within the limit; the request may have run
};

//! Returns the name of an outcome for the log.
constexpr std::string_view enum_name(exchange_outcome value) {
    switch (value) {
    case exchange_outcome::completed:
        return "completed";
    case exchange_outcome::not_sent:
        return "not_sent";
    case exchange_outcome::broken:
        return "broken";
    case exchange_outcome::too_large:
        return "too_large";
    case exchange_outcome::timed_out:
        return "timed_out";
    }
    return "unknown";
}

//! Result of an exchange and its response, whose moves never throw, but aren't noexcept.
struct exchange_reply {  // NOLINT(bugprone-exception-escape)
    exchange_outcome outcome{exchange_outcome::broken};
    http::response<http::string_body> response;  //!< set only if the exchange completed
    std::size_t body_bytes{0};                   //!< received of the body, complete or not
};

struct exchange_limits {
    milliseconds time{0};
    std::size_t response_bytes{0};  //!< longest body of a response
    //! Replaces `time` once the head of the response has arrived, unless its step is 0.
    progress_limit progress{};
};

//! Returns whether a response belongs to the request. Others are skipped: a response to an earlier
//! request may arrive first on a reused connection, late or once more.
using response_filter = std::function<bool(const http::response<http::string_body>&)>;

//! Sends a request and reads the complete response. `filter` must outlive the call; a null one
//! accepts every response.
task<exchange_reply> exchange(connection_ptr with, http_request_message request,
                              exchange_limits limits, receive_ledger_ptr ledger,
                              const response_filter* filter = nullptr);

}  // namespace cyclamenmount
