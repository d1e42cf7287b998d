//! Listening port of an event loop. A port that can't be opened for a reason that may pass is tried
//! again while the process runs.
#pragma once

#include "http_exchange/connection.h"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenmount {

//! What a listener tells its owner.
struct listener_reports {
    //! The port can't be opened. Called when the reason changes.
    std::function<void(const std::string& address, const std::string& why)> on_failure;
    //! The port is open after a failure.
    std::function<void(const std::string& address)> on_recovery;
    //! A connection can't be accepted. Called at most once a second.
    std::function<void(const std::string& address, const std::string& why)> on_accept_failure;
};

class listener {
public:
    //! Opens the port at `address` (IP:PORT). Fails if the address is invalid or may not be used by
    //! this process; if it is in use, or a resource is exhausted, `serve` tries again.
    static result<std::unique_ptr<listener>>
    create(asio::io_context& loop, const std::string& address, listener_reports reports);

    [[nodiscard]] bool is_open() const {
        return acceptor_.is_open();
    }

    //! Accepts connections as long as the event loop runs.
    task<> serve(std::function<void(connection_ptr)> on_connection);

private:
    listener(asio::io_context& loop, tcp::endpoint endpoint, std::string address,
             listener_reports reports);

    error_code open();
    task<> reopen();
    void report(const error_code& failed);
    void report_accept_failure(const error_code& failed);

    asio::io_context& loop_;
    tcp::endpoint endpoint_;
    std::string address_;
    listener_reports reports_;
    tcp::acceptor acceptor_;
    error_code reported_;  //!< reason of the last failure to open the port; none if it is open
    instant accept_failure_reported_at_{};
};

}  // namespace cyclamenmount
