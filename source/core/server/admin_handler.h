#pragma once

#include "core/net/http_server.h"

#include <atomic>

namespace buckthornspar::common {
class counters;
}

namespace buckthornspar::server {

class server_application;

/// Answers /metrics, /healthz, /readyz and /v1/drain and passes all other requests on.
class admin_handler final : public net::http_handler {
public:
    admin_handler(server_application& application, common::counters& counters);

    void handle(net::http_request request, net::http_reply reply) override;

    /// Makes /readyz answer 503, so that a load balancer stops sending callers here.
    void set_leaving() { m_leaving = true; }

private:
    [[nodiscard]] net::http_response readiness() const;
    [[nodiscard]] net::http_response drain(net::http_method method);

    server_application& m_application;
    common::counters& m_counters;
    std::atomic<bool> m_leaving{false};
};

} // namespace buckthornspar::server
