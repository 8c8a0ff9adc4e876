#include "core/server/cluster_member.h"

#include "core/membership/instance_format.h"
#include "core/server/config_replica.h"
#include "core/server/server_process.h"

#include <utility>

namespace buckthornspar::server {

cluster_member::cluster_member(server_process& process, std::string role,
                               std::unique_ptr<membership::instance_list> list,
                               config_replica& config, member_hooks hooks)
    : m_process(process),
      m_role(std::move(role)),
      m_list(std::move(list)),
      m_config(config),
      m_hooks(std::move(hooks)),
      m_node(process.settings().peer_listen, *this, {}, process.counters()),
      m_tracker(
          {process.settings().id, membership::instance_role_from(m_role),
           process.settings().region},
          m_node, process.clock(), [this] { return make_heartbeat(); },
          [this](const peer_status& status) { on_peer_heartbeat(status); }) {}

cluster_member::~cluster_member() {
    stop();
}

void cluster_member::start() {
    poll_instances();
    schedule_heartbeat();
}

void cluster_member::stop() {
    m_stopped = true;
    m_node.stop();
}

peer::sender cluster_member::self() const {
    return {m_process.settings().id, m_role, m_config.version()};
}

peer::heartbeat cluster_member::make_heartbeat() {
    peer::heartbeat heartbeat;
    heartbeat.from = self();
    heartbeat.draining = m_draining;
    if (m_hooks.fill_heartbeat) {
        m_hooks.fill_heartbeat(heartbeat);
    }
    return heartbeat;
}

void cluster_member::on_heartbeat(const peer::heartbeat& heartbeat,
                                  std::function<void(peer::heartbeat)> complete) {
    m_tracker.record_heartbeat(heartbeat);
    complete(make_heartbeat());
}

void cluster_member::on_job_call(peer::job_call call,
                                 std::function<void(peer::job_reply)> complete) {
    if (m_hooks.on_job_call) {
        m_hooks.on_job_call(std::move(call), std::move(complete));
        return;
    }
    peer_handler::on_job_call(std::move(call), std::move(complete));
}

void cluster_member::on_config_since(const peer::sender&, std::uint64_t version,
                                     std::function<void(peer::config_records)> complete) {
    complete({m_config.since(version), m_config.version()});
}

void cluster_member::on_config_announced(const peer::sender&,
                                         std::vector<peer::config_record> records,
                                         std::function<void(std::uint64_t)> complete) {
    m_config.apply(records);
    complete(m_config.version());
}

void cluster_member::on_slot_demand(const peer::sender& from, const peer::slot_demand& demand) {
    if (m_hooks.on_slot_demand) {
        m_hooks.on_slot_demand(from, demand);
    }
}

void cluster_member::on_slot_grant(const peer::sender& from, const peer::slot_grant& grant) {
    if (m_hooks.on_slot_grant) {
        m_hooks.on_slot_grant(from, grant);
    }
}

void cluster_member::on_quota_messages(const peer::sender& from,
                                       const std::vector<peer::quota_message>& messages) {
    if (m_hooks.on_quota_messages) {
        m_hooks.on_quota_messages(from, messages);
    }
}

void cluster_member::on_peer_heartbeat(const peer_status& status) {
    if (status.last_heartbeat.from.config_version > m_config.version()) {
        pull_config(status.address);
    }
    if (m_hooks.on_peer_heartbeat && !m_stopped) {
        m_hooks.on_peer_heartbeat(status);
    }
}

// One pull at a time is enough, because each answer brings this process to that peer's version.
void cluster_member::pull_config(const net::endpoint& from) {
    if (m_config_pull_in_progress.exchange(true)) {
        return;
    }
    m_process.counters().get("config_pulls_total").add();
    m_node.config_since(from, self(), m_config.version(),
                        [this](std::optional<peer::config_records> answer) {
                            if (answer) {
                                m_config.apply(answer->records);
                            }
                            m_config_pull_in_progress = false;
                        });
}

void cluster_member::poll_instances() {
    m_list->fetch([this](std::optional<membership::instance_snapshot> snapshot) {
        if (m_stopped) {
            return;
        }
        if (snapshot) {
            m_tracker.update_peers(snapshot->instances);
            if (m_hooks.on_instances) {
                m_hooks.on_instances(*snapshot);
            }
        }
        schedule_poll();
    });
}

void cluster_member::schedule_poll() {
    m_process.loop().post_after(m_process.settings().instance_poll_period, [this] {
        if (!m_stopped) {
            poll_instances();
        }
    });
}

void cluster_member::schedule_heartbeat() {
    m_process.loop().post_after(m_process.settings().heartbeat_period, [this] {
        if (!m_stopped) {
            m_tracker.send_heartbeats();
            schedule_heartbeat();
        }
    });
}

} // namespace buckthornspar::server
