#pragma once

#include "core/server/server_application.h"
#include "job_gateway.h"
#include "request_service.h"

#include <atomic>
#include <memory>

namespace buckthornspar::server {
class cluster_member;
class config_replica;
class server_process;
} // namespace buckthornspar::server

namespace buckthornspar::entry {

/// HTTP interface for callers. Forwards jobs to schedulers and requests to runners.
class entry_application final : public server::server_application {
public:
    entry_application(server::server_process& process, request_settings requests);
    ~entry_application() override;

    void handle(net::http_request request, net::http_reply reply) override;
    [[nodiscard]] std::optional<std::string> not_ready_reason() const override;
    void begin_drain() override;
    [[nodiscard]] bool drained() const override;

private:
    server::server_process& m_process;
    std::unique_ptr<server::config_replica> m_config;
    std::unique_ptr<request_service> m_requests;
    std::unique_ptr<server::cluster_member> m_member;
    std::unique_ptr<job_gateway> m_jobs;
    std::atomic<bool> m_draining{false};
};

} // namespace buckthornspar::entry
