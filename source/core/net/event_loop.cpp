#include "core/net/event_loop.h"

#include "core/common/logging.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <utility>

namespace buckthornspar::net {

namespace asio = boost::asio;

struct event_loop::state {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::thread thread;
    std::function<void()> on_failure;

    void run() {
        while (true) {
            try {
                context.run();
                return;
            } catch (const std::exception& e) {
                common::log_event(common::severity::error, "task_failed", {{"reason", e.what()}});
            }
            if (on_failure) {
                on_failure();
            }
        }
    }
};

event_loop::event_loop() : m_state(std::make_unique<state>()) {}

event_loop::~event_loop() {
    stop();
}

void event_loop::start() {
    m_state->thread = std::thread([this] { m_state->run(); });
}

void event_loop::set_failure_handler(std::function<void()> handler) {
    m_state->on_failure = std::move(handler);
}

void event_loop::stop() {
    m_state->context.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

void event_loop::post(std::function<void()> task) {
    asio::post(m_state->context, std::move(task));
}

void event_loop::post_after(common::duration delay, std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(m_state->context, delay);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code failure) {
        if (!failure) {
            task();
        }
    });
}

bool event_loop::on_loop_thread() const {
    return m_state->thread.get_id() == std::this_thread::get_id();
}

asio::io_context& event_loop::context() {
    return m_state->context;
}

} // namespace buckthornspar::net
