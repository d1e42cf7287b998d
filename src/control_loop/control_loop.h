//! Control thread: takes events from a queue, runs the reducer and passes its effects to I/O
//! modules.
#pragma once

#include "control/client.h"
#include "control/control.h"

#include <functional>
#include <memory>

namespace cyclamenmount {

//! Handlers that carry out effects. Called on the control thread; must not block.
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

//! Owns the control state and the thread that modifies it.
class control_loop {
public:
    //! Creates the control state; `run` starts the thread.
    static result<std::unique_ptr<control_loop>> start(environment env);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;
    control_loop(control_loop&&) = delete;
    control_loop& operator=(control_loop&&) = delete;

    //! Starts the thread, which passes effects to `handlers` until `stop`.
    void run(effect_handlers handlers);

    //! Stops the thread; waits for a decision end as if they had timed out.
    void stop();

    //! Queues an event. Never blocks; may be called from any thread.
    void post(event new_event);

    //! Runs `callback` on the control thread between two events and waits until it returns. False
    //! if the loop was stopped before it ran. Passes on an exception of the callback.
    bool inspect(const std::function<void(const control_state&)>& callback);

    //! Interface for other threads; valid as long as this object.
    [[nodiscard]] control_client client();

    //! True once the local instance has left the roster and nothing runs on it; the process may
    //! exit.
    [[nodiscard]] bool drained() const;

private:
    struct impl;
    explicit control_loop(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> impl_;
};

}  // namespace cyclamenmount
