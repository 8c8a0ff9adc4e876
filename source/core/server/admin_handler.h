#pragma once

#include "core/net/http_server.h"

#include <atomic>

namespace buckthornspar::common {
class counters;
}

namespace buckthornspar::server {

class server_application;

/// Serves /metrics, /healthz, /readyz and /v1/drain and forwards all other requests to the
/// application.
class admin_handler final : public net::http_handler {
public:
    admin_handler(server_application& application, common::counters& counters);

    void handle(net::http_request request, net::http_reply reply) override;

    /// Makes /readyz return 503, so that load balancers stop sending requests to this process.
    void set_draining() { m_draining = true; }

private:
    [[nodiscard]] net::http_response readiness() const;
    [[nodiscard]] net::http_response drain(net::http_method method);

    server_application& m_application;
    common::counters& m_counters;
    std::atomic<bool> m_draining{false};
};

} // namespace buckthornspar::server
