#pragma once

#include "core/net/http_client.h"
#include "core/server/server_application.h"
#include "scheduler_settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace buckthornspar::membership {
struct instance_snapshot;
}
namespace buckthornspar::peer {
struct heartbeat;
struct job_call;
struct job_reply;
struct quota_message;
struct sender;
} // namespace buckthornspar::peer
namespace buckthornspar::scheduling {
class worker_client;
}
namespace buckthornspar::server {
class cluster_member;
class config_replica;
class server_process;
struct peer_status;
} // namespace buckthornspar::server
namespace buckthornspar::store {
class kv_store;
}

namespace buckthornspar::scheduler {

class decision_thread;
class quota_router;
struct quota_transport;

/// Runs the shards of its region that this process owns, and the jobs that have their home in these
/// shards.
class scheduler_application final : public server::server_application {
public:
    scheduler_application(server::server_process& process, const scheduler_settings& settings);
    ~scheduler_application() override;

    void handle(net::http_request request, net::http_reply reply) override;
    [[nodiscard]] std::optional<std::string> not_ready_reason() const override;
    void begin_drain() override;
    [[nodiscard]] bool drained() const override;

private:
    [[nodiscard]] std::vector<server::shard_settings> own_shards() const;
    void on_instances(const membership::instance_snapshot& snapshot);
    void on_peer_heartbeat(const server::peer_status& status);
    void serve(peer::job_call call, const std::function<void(peer::job_reply)>& complete);
    void fill_heartbeat(peer::heartbeat& beat) const;
    [[nodiscard]] quota_transport make_quota_transport();
    void on_quota_messages(const peer::sender& from,
                           const std::vector<peer::quota_message>& messages);

    server::server_process& m_process;
    net::http_client m_http;
    std::unique_ptr<scheduling::worker_client> m_workers;
    std::unique_ptr<store::kv_store> m_store;
    std::unique_ptr<server::config_replica> m_config;
    std::unique_ptr<quota_router> m_quota_router;
    std::unique_ptr<decision_thread> m_decisions;
    std::unique_ptr<server::cluster_member> m_member;
    /// Null until the member exists, because the decision thread starts earlier.
    std::atomic<server::cluster_member*> m_quota_member{nullptr};
    std::atomic<bool> m_instances_known{false};
    std::atomic<bool> m_draining{false};
};

} // namespace buckthornspar::scheduler
