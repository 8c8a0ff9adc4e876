#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/net/event_loop.h"
#include "core/server/server_settings.h"

namespace buckthornspar::server {

class server_application;

/// Settings, clock, counters and network thread of a server process.
class server_process {
public:
    explicit server_process(server_settings settings);
    ~server_process();
    server_process(const server_process&) = delete;
    server_process& operator=(const server_process&) = delete;

    [[nodiscard]] const server_settings& settings() const { return m_settings; }
    [[nodiscard]] common::clock& clock() { return m_clock; }
    [[nodiscard]] common::counters& counters() { return m_counters; }
    [[nodiscard]] net::event_loop& loop() { return m_loop; }

    /// Serves until SIGTERM or SIGINT, then drains. Returns false when work was still in progress
    /// after the drain timeout.
    [[nodiscard]] bool serve(server_application& application);

private:
    server_settings m_settings;
    common::system_clock m_clock;
    common::counters m_counters;
    net::event_loop m_loop;
};

} // namespace buckthornspar::server
