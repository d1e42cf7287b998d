//! Background tasks of an event loop, whose exceptions are reported instead of dropped.
#pragma once

#include "http_exchange/async.h"

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cyclamenmount {

//! An exception that ended a background task.
class task_error : public std::runtime_error {
public:
    task_error(std::string_view task, std::string_view what)
        : std::runtime_error(std::string(task) + ": " + std::string(what)) {}
};

//! Starts a task whose end nobody awaits. An exception that ends it leaves the event loop's `run`
//! as a `task_error`. `name` must outlive the task.
void spawn(asio::io_context& loop, std::string_view name, task<> work);

//! Starts a task that serves until it returns: after an exception, which is reported like that of
//! `spawn`, it is made and started again after a pause.
void spawn_service(asio::io_context& loop, std::string_view name,
                   std::function<task<>()> make_task);

//! Runs the event loop until it is stopped or has no work. An exception of a handler is passed to
//! `report` and doesn't end the loop.
void run_loop(asio::io_context& loop, const std::function<void(std::string_view what)>& report);

}  // namespace cyclamenmount
