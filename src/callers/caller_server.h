//! HTTP interface for callers.
//!
//! Setup:
//!   - create a `control_client`, an `upstream_client`, a `retry_budget` and an `response_store`;
//!   - pass `response_store::handle_read` as `peer_handlers::on_read`;
//!   - set `read_peer` to `peer_network::read(runner.address, query, timeout)`;
//!   - on SIGTERM: call `announce_stop`; call `stop_accepting` once load balancers have noticed;
//!     wait until `drained`; destroy the server.
#pragma once

#include "pipeline/response_store.h"
#include "pipeline/service_call.h"

namespace cyclamenmount {

struct caller_settings {
    std::string address{"127.0.0.1:0"};  //!< IP:PORT; port 0 picks a free port
    int concurrent{128};                 //!< maximum of concurrent requests
    std::size_t max_body_bytes{std::size_t{1024} * 1024};
    milliseconds read_timeout{5000};      //!< limit for receiving a request
    milliseconds decision_timeout{1000};  //!< limit for an admission or claim decision
};

//! The referenced objects must outlive the server.
struct caller_dependencies {
    control_client control;
    upstream_client& upstreams;
    retry_budget& budget;
    response_store& responses;
    const topology& known;  //!< configured pools and pipelines
    member self;            //!< this instance
    std::function<result<std::string>(const member& peer, std::string_view query, milliseconds)>
        read_peer;
    std::function<std::vector<member>()> peers;         //!< returns the other instances
    std::function<void(const request_record&)> record;  //!< records a request in the metrics
};

class caller_server {
public:
    static result<std::unique_ptr<caller_server>> start(caller_settings settings,
                                                        caller_dependencies dependencies);

    //! Refuses new requests and blocks until the running ones have ended; drain first.
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    [[nodiscard]] int port() const;

    //! From now on `/readyz` returns 503, so that load balancers send no more requests. Requests
    //! are still accepted.
    void announce_stop();

    //! From now on new requests are refused with reason `stopping` and execution `not_run`.
    void stop_accepting();

    //! True if no request is running.
    [[nodiscard]] bool drained() const;

    //! Number of requests and pipeline runs, including runs whose caller has disconnected.
    [[nodiscard]] int running() const;

private:
    struct impl;
    explicit caller_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
