#include "http_exchange/listener.h"

#include <algorithm>
#include <array>
#include <cerrno>

namespace cyclamenmount {

namespace {

constexpr milliseconds open_retry_pause{200};
//! Delay after a failed accept, usually for lack of file descriptors, which closing connections
//! release.
constexpr milliseconds accept_retry_pause{20};
constexpr milliseconds accept_report_period{1000};

//! True if opening a port may succeed later: a predecessor still holds it, the address isn't
//! assigned yet, or a resource is exhausted.
bool may_pass(const error_code& failed) {
    constexpr std::array passing = {EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return std::ranges::find(passing, failed.value()) != passing.end();
}

}  // namespace

listener::listener(asio::io_context& loop, tcp::endpoint endpoint, std::string address,
                   listener_reports reports)
    : loop_(loop), endpoint_(std::move(endpoint)), address_(std::move(address)),
      reports_(std::move(reports)), acceptor_(loop) {}

result<std::unique_ptr<listener>>
listener::create(asio::io_context& loop, const std::string& address, listener_reports reports) {
    auto endpoint = parse_endpoint_address(address);
    if (!endpoint) {
        return endpoint.error();
    }
    std::unique_ptr<listener> created(
        new listener(loop, endpoint.value(), address, std::move(reports)));
    const error_code failed = created->open();
    if (failed && !may_pass(failed)) {
        return error{error_kind::system, address + ": " + failed.message()};
    }
    created->report(failed);
    return created;
}

error_code listener::open() {
    error_code failed;
    acceptor_.open(endpoint_.protocol(), failed);
    if (!failed) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor_.bind(endpoint_, failed);
    }
    if (!failed) {
        acceptor_.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        error_code ignored;  // the socket may not be open
        acceptor_.close(ignored);
    }
    return failed;
}

task<> listener::reopen() {
    while (!is_open()) {
        co_await pause(loop_, open_retry_pause);
        report(open());
    }
}

void listener::report(const error_code& failed) {
    if (failed == reported_) {
        return;
    }
    reported_ = failed;
    if (failed) {
        reports_.on_failure(address_, failed.message());
    } else {
        reports_.on_recovery(address_);
    }
}

void listener::report_accept_failure(const error_code& failed) {
    const instant now = boot_clock::now();
    if (now - accept_failure_reported_at_ >= accept_report_period) {
        accept_failure_reported_at_ = now;
        reports_.on_accept_failure(address_, failed.message());
    }
}

task<> listener::serve(std::function<void(connection_ptr)> on_connection) {
    co_await reopen();
    while (true) {
        auto accepted = std::make_shared<connection>(loop_, "");
        error_code failed;
        co_await acceptor_.async_accept(accepted->socket, redirect_error_to(failed));
        if (failed) {
            report_accept_failure(failed);
            co_await pause(loop_, accept_retry_pause);
            continue;
        }
        on_connection(std::move(accepted));
    }
}

}  // namespace cyclamenmount
