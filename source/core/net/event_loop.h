#pragma once

#include "core/common/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace buckthornspar::net {

/// An Asio event loop that runs on its own thread from start() to stop(). An exception that leaves
/// a task is logged and ends only this task.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    void start();

    /// Called on the loop's thread after a task has ended by an exception, for owners of state that
    /// the task may have left inconsistent. Must be set before start().
    void set_failure_handler(std::function<void()> handler);

    /// Stops the loop and joins its thread. Pending tasks are not run.
    void stop();

    /// Runs the task on the loop's thread. May be called from any thread.
    void post(std::function<void()> task);

    /// Runs the task once on the loop's thread after the delay. May be called from any thread.
    void post_after(common::duration delay, std::function<void()> task);

    [[nodiscard]] bool on_loop_thread() const;
    [[nodiscard]] boost::asio::io_context& context();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::net
