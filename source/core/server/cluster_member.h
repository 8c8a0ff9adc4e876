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

/// Callbacks by which a role takes part in the peer protocol. All are optional.
struct member_hooks {
    /// Serves job calls; without it they are refused with the error type wrong_role. Called on the
    /// peer thread.
    std::function<void(peer::job_call, std::function<void(peer::job_reply)>)> on_job_call;
    /// Adds role-specific data to an outgoing heartbeat. Called on any thread.
    std::function<void(peer::heartbeat&)> fill_heartbeat;
    /// Called for each heartbeat or heartbeat reply from a known peer, on the peer thread.
    peer_tracker::heartbeat_listener on_peer_heartbeat;
    /// Called for slot messages from other entries, on the peer thread.
    std::function<void(const peer::sender&, const peer::slot_demand&)> on_slot_demand;
    std::function<void(const peer::sender&, const peer::slot_grant&)> on_slot_grant;
    /// Called for quota messages from other schedulers, on the peer thread.
    std::function<void(const peer::sender&, const std::vector<peer::quota_message>&)>
        on_quota_messages;
    /// Called after each successful poll of the instance list, on any thread.
    std::function<void(const membership::instance_snapshot&)> on_instances;
};

/// This process as a member of the cluster. Polls the instance list, exchanges heartbeats with the
/// other processes and pulls configuration records when a peer has a higher version.
class cluster_member final : private peer::peer_handler {
public:
    cluster_member(server_process& process, std::string role,
                   std::unique_ptr<membership::instance_list> list, config_replica& config,
                   member_hooks hooks);
    ~cluster_member() override;
    cluster_member(const cluster_member&) = delete;
    cluster_member& operator=(const cluster_member&) = delete;

    /// Starts polling the instance list and sending heartbeats.
    void start();

    /// Stops the polls, the heartbeats and the peer thread. Hooks are not called afterwards.
    void stop();

    [[nodiscard]] peer::peer_node& node() { return m_node; }
    [[nodiscard]] peer_tracker& tracker() { return m_tracker; }
    [[nodiscard]] peer::sender self() const;
    void set_draining() { m_draining = true; }

private:
    void on_heartbeat(const peer::heartbeat& heartbeat,
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
    void on_peer_heartbeat(const peer_status& status);
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
    std::atomic<bool> m_config_pull_in_progress{false};
    peer::peer_node m_node;
    peer_tracker m_tracker;
};

} // namespace buckthornspar::server
