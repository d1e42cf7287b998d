//! Performs the I/O of the packing agent: calls to stage upstreams and messages to peers.
#pragma once

#include "crash_quarantine/crash_quarantine.h"
#include "decision_log/decision_log.h"
#include "http_exchange/client_exchange.h"
#include "packing/packing_agent.h"
#include "stage_calls/stage_protocol.h"

#include <functional>
#include <span>

namespace cyclamenmount {

//! Used on the traffic thread only.
class stage_driver {
public:
    using send_function = std::function<void(const member& to, const peer_message& message)>;
    using done_function = std::function<void(const pieces_reply& reply)>;

    //! Called with the pool, the upstream's incarnation (ID@STARTED) and the keys of the requests
    //! in a call.
    struct crash_handlers {
        std::function<void(const upstream_crash& crash, std::span<const std::string> keys)>
            on_crash;  //!< the upstream crashed during the call
        std::function<void(const pool_name& pool, std::span<const std::string> keys)>
            on_answered;  //!< the upstream made the pieces
    };

    stage_driver(asio::io_context& loop, member self, decision_log& log, receive_ledger_ptr ledger,
                 stage_protocol protocol, send_function send);

    void set_crash_handlers(crash_handlers handlers) {
        crash_handlers_ = std::move(handlers);
    }

    //! Submits a stage job and returns its number. `done` is called once with the reply, unless the
    //! job is abandoned.
    std::uint64_t submit(const pool_name& pool, stage_job job, done_function done);

    void abandon(std::uint64_t job_number);
    //! Frees results that the request no longer needs.
    void release(const pool_name& pool, std::vector<std::string> results);
    void set_view(const fleet_view_ptr& view);
    void on_message(const instance_id& from, peer_message message);
    //! Informs the packing agent that this instance is stopping.
    void begin_stop();

    [[nodiscard]] const packing_agent& state() const {
        return agent_;
    }

private:
    void handle(const packing_agent_event& happened);
    void execute(const packing_agent_effect& wanted);
    void log_peer_status(const peer_status_changed& changed);
    task<> call(call_stage wanted);
    task<call_failure> find_cause(call_stage failed);
    void free_results(const release_results& wanted);
    task<> free_results_at(std::string address, std::vector<std::string> results);
    task<> tick();

    asio::io_context& loop_;
    decision_log& log_;
    receive_ledger_ptr ledger_;
    stage_protocol protocol_;
    send_function send_;
    packing_agent agent_;
    connection_pool connections_;
    crash_handlers crash_handlers_;
    std::map<std::uint64_t, done_function> pending_;  //!< by job number
    std::uint64_t last_job_number_{0};
};

}  // namespace cyclamenmount
