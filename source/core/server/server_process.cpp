#include "core/server/server_process.h"

#include "core/common/logging.h"
#include "core/net/http_server.h"
#include "core/server/admin_handler.h"
#include "core/server/server_application.h"

#include <csignal>
#include <pthread.h>
#include <thread>
#include <utility>

namespace buckthornspar::server {

namespace {

constexpr common::duration drain_poll_period = std::chrono::milliseconds(20);

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

bool wait_until_drained(const server_application& application, const net::http_server& http,
                        common::duration timeout, const common::clock& clock) {
    const auto deadline = clock.now() + timeout;
    while (!application.drained() || http.requests_in_progress() > 0) {
        if (clock.now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(drain_poll_period);
    }
    return true;
}

} // namespace

// The signals are blocked before any thread starts, so that all threads inherit the mask and only
// sigwait() in serve() receives them.
server_process::server_process(server_settings settings) : m_settings(std::move(settings)) {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    m_loop.start();
}

server_process::~server_process() {
    m_loop.stop();
}

bool server_process::serve(server_application& application) {
    admin_handler admin(application, m_counters);
    net::http_server_limits limits;
    limits.request = m_settings.requests.limits;
    limits.idle_timeout = m_settings.requests.idle_timeout;
    limits.guard = net::make_request_guard(m_settings.requests.resources, m_counters);
    net::http_server http(m_loop, m_settings.listen, limits, admin);
    common::log_event(common::severity::info, "serving",
                      {{"listen", net::to_string(m_settings.listen)},
                       {"peer_listen", net::to_string(m_settings.peer_listen)}});

    const sigset_t signals = stop_signals();
    int received = 0;
    sigwait(&signals, &received);
    common::log_event(common::severity::info, "draining", {{"signal", received}});

    admin.set_draining();
    std::this_thread::sleep_for(m_settings.drain_grace);
    application.begin_drain();
    http.stop_accepting();
    const bool drained = wait_until_drained(application, http, m_settings.drain_timeout, m_clock);
    common::log_event(drained ? common::severity::info : common::severity::warning, "stopped",
                      {{"drained", drained ? "yes" : "no"}});
    m_loop.stop();
    return drained;
}

} // namespace buckthornspar::server
