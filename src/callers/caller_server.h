//! The callers' HTTP interface.
//!
//! How to wire it:
//!   - build a `control_client`, an `upstream_client`, a `retry_budget` and an `answer_store`;
//!   - give `answer_store::answer_read` to `peer_handlers::on_read`;
//!   - set `read_peer` to `peer_network::read(runner.address, query, timeout)`;
//!   - on SIGTERM: `announce_stop`, a while later `stop_accepting`, wait until `drained`, then
//!   destroy the server.
#pragma once

#include "pipeline/answer_store.h"
#include "pipeline/service_call.h"

namespace cyclamenmount {

struct caller_settings {
    std::string address{"127.0.0.1:0"};  //!< IP:PORT; port 0: any
    int concurrent{128};                 //!< requests served at once
    std::size_t max_body_bytes{std::size_t{1024} * 1024};
    milliseconds read_timeout{5000};    //!< of a request's bytes
    milliseconds decision_limit{1000};  //!< of an admission
};

//! All references outlive the server.
struct caller_dependencies {
    control_client control;
    upstream_client& upstreams;
    retry_budget& budget;
    answer_store& answers;
    const topology& known;
    member self;
    std::function<result<std::string>(const member& peer, std::string_view query, milliseconds)>
        read_peer;
    std::function<std::vector<member>()> peers;  //!< the other instances
    std::function<void(const request_record&)> record;
};

class caller_server {
public:
    static result<std::unique_ptr<caller_server>> start(caller_settings settings,
                                                        caller_dependencies dependencies);

    //! Aborts what still runs; drain first.
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    caller_server(caller_server&&) = delete;
    caller_server& operator=(caller_server&&) = delete;

    [[nodiscard]] int port() const;

    //! From now on `/readyz` says no, so that a balancer turns away; requests are still taken.
    void announce_stop();

    //! From now on new requests are refused as not run.
    void stop_accepting();

    //! True if nothing runs any more.
    [[nodiscard]] bool drained() const;

    //! Requests being served or running on without a caller.
    [[nodiscard]] int running() const;

private:
    struct impl;
    explicit caller_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
