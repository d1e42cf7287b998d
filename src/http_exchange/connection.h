//! Client-side HTTP/1.1 on Boost.Asio: connections, a connection pool, and request/response
//! exchanges.
#pragma once

#include "http_exchange/async.h"
#include "types/errors.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cyclamenmount {

namespace beast = boost::beast;
namespace http = boost::beast::http;

//! TCP connection that carries one HTTP exchange at a time.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, std::string address);

    //! Closes the socket; pending operations on it fail.
    void close();

    //! True if the connection can't carry another exchange: the peer closed it or sent bytes
    //! outside a response.
    bool is_unusable();

    asio::io_context& loop;
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::string address;              //!< IP:PORT of the peer; empty for accepted connections
    instant idle_since{};             //!< time of the release to the pool
    milliseconds idle_limit{0};       //!< longest idle time after which the connection is reused
    bool is_reused{false};            //!< carried another exchange before
    std::size_t last_result_hash{0};  //!< hash of the last stage response; see `stage_driver`
    bool is_closed{false};
    bool timed_out{false};  //!< closed by a `time_limit`
};

using connection_ptr = std::shared_ptr<connection>;

//! Closes a connection when the limit has passed; destroying this object cancels the limit.
class time_limit {
public:
    time_limit(const connection_ptr& limited, milliseconds limit);
    ~time_limit();
    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;
    time_limit(time_limit&&) = delete;
    time_limit& operator=(time_limit&&) = delete;

private:
    std::shared_ptr<connection_ptr> limited_;  //!< shared so that the handler sees the limit's end
    asio::steady_timer timer_;
};

//! Connects to `address` (IP:PORT) within `limit`.
task<result<connection_ptr>> open_connection(asio::io_context& loop, const std::string& address,
                                             milliseconds limit);

//! Keeps idle connections for reuse, by address. Used on one event loop.
class connection_pool {
public:
    explicit connection_pool(asio::io_context& loop) : loop_(loop) {}

    //! Returns an idle connection to `address`, or opens a new one within `limit`.
    task<result<connection_ptr>> acquire(std::string address, milliseconds limit);

    //! Returns a connection to the pool after a completed exchange.
    void release(const connection_ptr& idle);

    //! Closes connections that exceeded their idle limit.
    void expire();

    //! Closes all idle connections to the address, as its connections may have become unresponsive.
    void discard_idle(const std::string& address);

private:
    //! Returns the most recently released connection that is usable; null if there is none.
    connection_ptr take_idle(const std::string& address);

    asio::io_context& loop_;
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

//! Result of an exchange.
enum class exchange_outcome {
    completed,  //!< the complete response was received
    not_sent,   //!< no part of the request was sent
    broken,     //!< the connection failed before a complete response; the request may have run
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
    case exchange_outcome::timed_out:
        return "timed_out";
    }
    return "unknown";
}

struct exchange_reply {
    exchange_outcome outcome{exchange_outcome::broken};
    http::response<http::string_body> response;  //!< set only if the exchange completed
};

using http_request_message = http::request<http::string_body>;

//! Makes a request with a JSON body, or without a body if `body` is empty.
http_request_message make_json_request(http::verb method, const std::string& target,
                                       const std::string& host, std::string body);

//! Sends a request. A long body is written while the response is read, because an upstream may
//! respond before it has read the whole body.
class request_writer {
public:
    request_writer(connection_ptr to, http_request_message& request);

    //! Starts writing. Returns when the request is written, or immediately if its body is long.
    task<error_code> start();

    //! True if the whole request was written.
    [[nodiscard]] bool is_done() const;

private:
    struct progress;
    connection_ptr to_;
    http_request_message& request_;
    std::shared_ptr<progress> progress_;
};

//! Limit on the status line and headers of an upstream's response.
inline constexpr std::uint32_t max_response_head_bytes = 64 * 1024;

//! Limit on the body of a response; reading a larger one fails.
inline constexpr std::size_t max_response_bytes = std::size_t{64} * 1024 * 1024;

//! Returns whether a response belongs to the request. Others are skipped: a response to an earlier
//! request may arrive first on a reused connection, late or once more.
using response_filter = std::function<bool(const http::response<http::string_body>&)>;

//! Sends a request and reads the complete response. The referenced arguments must outlive the call;
//! a null filter accepts every response.
task<exchange_reply> exchange(connection_ptr with, http_request_message& request,
                              milliseconds limit, const response_filter* filter = nullptr);

//! Returns whether the connection can carry another exchange after this response, and sets its idle
//! limit from the response's Keep-Alive header.
bool can_be_reused(connection& used, const http::response_header<>& response, bool keep_alive);

}  // namespace cyclamenmount
