//! The control thread: one queue of events, the reducer, and the effects handed to I/O modules.
#pragma once

#include "control/client.h"
#include "control/control.h"

#include <functional>
#include <memory>

namespace cyclamenmount {

//! Where effects go. Called on the control thread; must not block.
struct effect_handlers {
    std::function<void(const send_to_peer&)> send;
    std::function<void(const store_read&)> read;
    std::function<void(const store_write&)> write;
    std::function<void(const watch_prefix&)> watch;
    std::function<void(const list_instances&)> list;
    std::function<void(const poll_upstream&)> poll;
    std::function<void(const order_upstream&)> order;
    std::function<void(const log_line&)> log;
};

class control_loop {
public:
    static result<std::unique_ptr<control_loop>> start(environment env);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;

    //! Starts the thread. Effects go to `handlers` until `stop`.
    void run(effect_handlers handlers);

    //! Ends the thread; questions that wait are refused.
    void stop();

    //! Never blocks; safe from any thread.
    void post(event happened);

    //! Runs `look` on the control thread between two events and waits for it. False after `stop`.
    bool inspect(const std::function<void(const control_state&)>& look);

    [[nodiscard]] control_client client();

    //! True once the instance has left the roster and nothing runs.
    [[nodiscard]] bool drained() const;

private:
    struct impl;
    explicit control_loop(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
