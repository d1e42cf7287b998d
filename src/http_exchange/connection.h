//! TCP connections that carry HTTP/1.1 on Boost.Asio, and a pool of idle ones.
#pragma once

#include "http_exchange/async.h"
#include "types/errors.h"
#include "types/progress_limit.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>

namespace cyclamenmount {

namespace beast = boost::beast;
namespace http = boost::beast::http;

//! Limit on the status line and headers of a response, and on the framing of a body: the line with
//! a chunk's size, or the trailer.
inline constexpr std::uint32_t max_response_head_bytes = 64 * 1024;

//! TCP connection that carries one HTTP exchange at a time.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(asio::io_context& loop, std::string address);

    //! Closes the socket; pending operations on it fail.
    void close();

    //! True if the connection can't carry another exchange: the peer closed it or sent bytes
    //! outside a response.
    bool is_unusable();

    //! Gives unused memory of the buffer back.
    void release_memory();

    asio::io_context& loop;
    tcp::socket socket;
    //! Received bytes that aren't parsed yet. Its maximum size bounds what a message may hold
    //! beside its body.
    beast::flat_buffer buffer{max_response_head_bytes};
    std::string address;         //!< IP:PORT of the peer; empty for accepted connections
    instant idle_since{};        //!< time of the release to the pool
    milliseconds idle_limit{0};  //!< longest idle time after which the connection is reused
    bool is_reused{false};       //!< carried another exchange before
    std::deque<std::size_t> result_hashes{};  //!< of the stage responses; see `stage_driver`
    std::size_t received_bytes{0};            //!< by all exchanges so far
    bool is_closed{false};
    bool timed_out{false};  //!< a `time_limit` has passed
    //! The connection ends after the response, or the beginning of one, that was sent last.
    bool ends_with_response{false};
};

using connection_ptr = std::shared_ptr<connection>;

//! What a `time_limit` does to its connection.
enum class expiry {
    close,  //!< closes it
    cancel  //!< cancels its pending operation; the connection can still send
};

//! Ends the use of a connection when the limit has passed; destroying this object cancels the
//! limit.
class time_limit {
public:
    time_limit(const connection_ptr& limited, milliseconds limit, expiry at_end = expiry::close);
    ~time_limit();
    time_limit(const time_limit&) = delete;
    time_limit& operator=(const time_limit&) = delete;
    time_limit(time_limit&&) = delete;
    time_limit& operator=(time_limit&&) = delete;

    //! From now on the connection is ended only for lack of progress, or after the new total.
    void follow_progress(progress_limit limit);

private:
    struct limited_use;

    //! Ends the use after `limit`, or looks for progress then.
    static void start(const std::shared_ptr<limited_use>& use, milliseconds limit);

    std::shared_ptr<limited_use> use_;  //!< shared so that the handler sees the limit's end
};

//! Parses IP:PORT with a port from 1 to 65535.
result<tcp::endpoint> parse_endpoint_address(const std::string& address);

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

}  // namespace cyclamenmount
