#include "http_exchange/background.h"

#include <exception>

#include <boost/asio/post.hpp>

namespace cyclamenmount {

namespace {

//! Pause before a task that failed starts again, so that one that always fails doesn't use up the
//! event loop.
constexpr milliseconds restart_pause{100};

[[noreturn]] void throw_task_error(std::string_view name, const std::exception_ptr& failed) {
    try {
        std::rethrow_exception(failed);
    } catch (const std::exception& thrown) {
        throw task_error(name, thrown.what());
    } catch (...) {
        throw task_error(name, "an exception of an unknown type");
    }
}

//! Throws from a handler of its own: an exception of a coroutine's end wouldn't leave the loop.
void report(asio::io_context& loop, std::string_view name, std::exception_ptr failed) {
    asio::post(loop, [name, failed = std::move(failed)] { throw_task_error(name, failed); });
}

task<> serve(asio::io_context& loop, std::string_view name, std::function<task<>()> make_task) {
    while (true) {
        std::exception_ptr failed;
        try {
            co_await make_task();
            co_return;
        } catch (...) {
            failed = std::current_exception();
        }
        report(loop, name, std::move(failed));
        co_await pause(loop, restart_pause);
    }
}

}  // namespace

void spawn(asio::io_context& loop, std::string_view name, task<> work) {
    asio::co_spawn(loop, std::move(work), [&loop, name](std::exception_ptr failed) {
        if (failed) {
            report(loop, name, std::move(failed));
        }
    });
}

void spawn_service(asio::io_context& loop, std::string_view name,
                   std::function<task<>()> make_task) {
    spawn(loop, name, serve(loop, name, std::move(make_task)));
}

void run_loop(asio::io_context& loop, const std::function<void(std::string_view what)>& report) {
    while (true) {
        try {
            loop.run();
            return;
        } catch (const std::exception& thrown) {
            report(thrown.what());
        } catch (...) {
            report("an exception of an unknown type");
        }
    }
}

}  // namespace cyclamenmount
