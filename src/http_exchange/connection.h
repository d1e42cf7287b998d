//! Connections to servers on Boost.Asio, and HTTP exchanges on them.
#pragma once

#include "http_exchange/async.h"
#include "types/errors.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace cyclamenmount {

namespace beast = boost::beast;
namespace http = boost::beast::http;

//! One TCP connection that carries one exchange at a time.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, std::string address);

    //! Ends whatever waits on the connection, with an error.
    void close();

    //! True if the other end has closed it or sent bytes that nobody asked for.
    bool is_spoiled();

    asio::io_context& loop;
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::string address;
    instant idle_since{};
    milliseconds idle_limit{0};  //!< may be used again after being idle for this long
    bool is_closed{false};
    bool timed_out{false};
};

using connection_ptr = std::shared_ptr<connection>;

//! Closes a connection when its time is over, unless it is destroyed before.
class time_limit {
public:
    time_limit(const connection_ptr& limited, milliseconds limit);
    ~time_limit();
    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;
    time_limit(time_limit&&) = delete;
    time_limit& operator=(time_limit&&) = delete;

private:
    asio::steady_timer timer_;
};

task<result<connection_ptr>> open_connection(asio::io_context& loop, const std::string& address,
                                             milliseconds limit);

//! Connections that are kept for the next exchange with the same address. Used on one event loop.
class connection_pool {
public:
    explicit connection_pool(asio::io_context& loop) : loop_(loop) {}

    //! A kept connection, else a new one that is made within `limit`.
    task<result<connection_ptr>> acquire(std::string address, milliseconds limit);

    //! Keeps a connection after a whole exchange.
    void keep(const connection_ptr& idle);

    //! Closes what has been idle for too long.
    void expire();

private:
    //! Null if there is none that can be trusted.
    connection_ptr take_idle(const std::string& address);

    asio::io_context& loop_;
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

//! How far an exchange got.
enum class exchange_end {
    whole,      //!< the whole answer arrived
    unsent,     //!< not a byte of the request has left
    broken,     //!< no whole answer; the request may have been carried out
    timed_out,  //!< no whole answer in time; the request may have been carried out
};

struct exchange_reply {
    exchange_end end{exchange_end::broken};
    http::response<http::string_body> answer;
};

using http_request_message = http::request<http::string_body>;

//! A request with a JSON body, or none if it is empty; further headers may be set.
http_request_message make_json_request(http::verb method, const std::string& target,
                                       const std::string& host, std::string body);

//! Sends a request. Long bodies are written while the answer is awaited already, since an upstream
//! may answer before it has read them.
class request_writer {
public:
    request_writer(connection_ptr to, http_request_message& request);

    //! Starts writing; returns when the request has left, or at once if it is long.
    task<error_code> start();

    //! False while a part of the request is still to be written.
    [[nodiscard]] bool is_done() const;

private:
    struct progress;
    connection_ptr to_;
    http_request_message& request_;
    std::shared_ptr<progress> progress_;
};

//! Limit on the head of an upstream's answer.
inline constexpr std::uint32_t max_answer_head_bytes = 64 * 1024;

//! Answers that are over this size aren't read to their end.
inline constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;

//! Says whether an answer belongs to the request; one that doesn't is skipped, as a late answer to
//! an earlier request may come first.
using answer_filter = std::function<bool(const http::fields&)>;

//! One exchange with an answer that is read whole. The arguments must live until its end; a filter
//! of null accepts every answer.
task<exchange_reply> exchange(connection_ptr with, http_request_message& request,
                              milliseconds limit, const answer_filter* accepts = nullptr);

//! Whether the connection may be used again after this answer, and sets how long it may be idle.
bool may_be_kept(connection& used, const http::response_header<>& answer, bool keep_alive);

}  // namespace cyclamenmount
