#pragma once

#include "core/membership/instance_list.h"
#include "core/peer/peer_handler.h"
#include "core/peer/peer_node.h"
#include "core/server/peer_tracker.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::server {

class config_replica;
class server_process;

/// Hooks of a role into the exchange between processes. All are optional.
struct member_hooks {
    /// Serves job calls; without it they are refused with the type wrong_role. Peer thread.
    std::function<void(peer::job_call, std::function<void(peer::job_reply)>)> on_job_call;
    /// Adds the role's part to a heartbeat. Any thread.
    std::function<void(peer::heartbeat&)> fill_heartbeat;
    /// Told of each heartbeat received. Peer thread.
    peer_tracker::heartbeat_listener on_peer_heartbeat;
    /// Told of the slot messages of other entries. Peer thread.
    std::function<void(const peer::sender&, const peer::slot_demand&)> on_slot_demand;
    std::function<void(const peer::sender&, const peer::slot_grant&)> on_slot_grant;
    /// Told of the quota messages of other schedulers. Peer thread.
    std::function<void(const peer::sender&, const std::vector<peer::quota_message>&)>
        on_quota_messages;
    /// Told of each good instance list. Any thread.
    std::function<void(const membership::instance_snapshot&)> on_instances;
};

/// This process as a member of the system: polls the instance list, exchanges heartbeats with the
/// other processes and pulls the configuration when a peer has a higher version.
class cluster_member final : private peer::peer_handler {
public:
    cluster_member(server_process& process, std::string role,
                   std::unique_ptr<membership::instance_list> list, config_replica& config,
                   member_hooks hooks);
    ~cluster_member() override;
    cluster_member(const cluster_member&) = delete;
    cluster_member& operator=(const cluster_member&) = delete;

    /// Starts the periodic work.
    void start();

    /// Stops the periodic work and the peer thread. Hooks are not called afterwards.
    void stop();

    [[nodiscard]] peer::peer_node& node() { return m_node; }
    [[nodiscard]] peer_tracker& tracker() { return m_tracker; }
    [[nodiscard]] peer::sender self() const;
    void set_draining() { m_draining = true; }

private:
    void on_heartbeat(const peer::heartbeat& beat,
                      std::function<void(peer::heartbeat)> complete) override;
    void on_job_call(peer::job_call call, std::function<void(peer::job_reply)> complete) override;
    void on_config_since(const peer::sender& from, std::uint64_t version,
                         std::function<void(peer::config_records)> complete) override;
    void on_config_announced(const peer::sender& from, std::vector<peer::config_record> records,
                             std::function<void(std::uint64_t)> complete) override;
    void on_slot_demand(const peer::sender& from, const peer::slot_demand& demand) override;
    void on_slot_grant(const peer::sender& from, const peer::slot_grant& grant) override;
    void on_quota_messages(const peer::sender& from,
                           const std::vector<peer::quota_message>& messages) override;

    [[nodiscard]] peer::heartbeat make_heartbeat();
    void heard(const peer_status& status);
    void pull_config(const net::endpoint& from);
    void poll_instances();
    void schedule_poll();
    void schedule_heartbeat();

    server_process& m_process;
    std::string m_role;
    std::unique_ptr<membership::instance_list> m_list;
    config_replica& m_config;
    member_hooks m_hooks;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_pulling{false};
    peer::peer_node m_node;
    peer_tracker m_tracker;
};

} // namespace buckthornspar::server
