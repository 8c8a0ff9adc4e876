#include "core/server/peer_tracker.h"

#include "core/peer/peer_node.h"

#include <set>
#include <utility>

namespace buckthornspar::server {

namespace {

using membership::instance_role;

bool is_peer_role(instance_role role) {
    return role == instance_role::entry || role == instance_role::scheduler ||
           role == instance_role::config;
}

} // namespace

peer_tracker::peer_tracker(member_identity self, peer::peer_node& node, const common::clock& clock,
                           heartbeat_source make_heartbeat, heartbeat_listener on_heartbeat)
    : m_self(std::move(self)),
      m_node(node),
      m_clock(clock),
      m_make_heartbeat(std::move(make_heartbeat)),
      m_on_heartbeat(std::move(on_heartbeat)) {}

void peer_tracker::update_peers(const std::vector<membership::instance>& instances) {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> listed;
    for (const auto& i : instances) {
        if (!is_peer_role(i.role) || i.id == m_self.id) {
            continue;
        }
        listed.insert(i.id);
        peer_status& status = m_peers[i.id];
        status.id = i.id;
        status.role = i.role;
        status.address = i.address;
        status.region = i.region;
    }
    std::erase_if(m_peers, [&](const auto& item) { return !listed.contains(item.first); });
}

void peer_tracker::send_heartbeats() {
    const peer::heartbeat heartbeat = m_make_heartbeat();
    ++m_period_number;
    const auto known = peers();
    for (const auto& p : known) {
        const auto interval = heartbeat_interval(m_self, {p.id, p.role, p.region});
        // A peer without any heartbeat may be new; waiting a whole interval would delay its use.
        if (interval && (m_period_number % *interval == 0 || !p.last_heartbeat_at)) {
            send_to(p, heartbeat);
        }
    }
    if (m_self.role != instance_role::config) {
        const auto configs = config_peers(known);
        if (!configs.empty()) {
            send_to(configs[m_period_number % configs.size()], heartbeat);
        }
    }
}

void peer_tracker::send_to(const peer_status& p, const peer::heartbeat& heartbeat) {
    m_node.send_heartbeat(p.address, heartbeat, [this](std::optional<peer::heartbeat> reply) {
        if (reply) {
            record_heartbeat(*reply);
        }
    });
}

std::vector<peer_status> peer_tracker::config_peers(const std::vector<peer_status>& known) const {
    std::vector<peer_status> local;
    std::vector<peer_status> all;
    for (const auto& p : known) {
        if (p.role != instance_role::config) {
            continue;
        }
        all.push_back(p);
        if (p.region == m_self.region) {
            local.push_back(p);
        }
    }
    return local.empty() ? all : local;
}

void peer_tracker::record_heartbeat(const peer::heartbeat& heartbeat) {
    peer_status status;
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_peers.find(heartbeat.from.id);
        if (position == m_peers.end()) {
            return;
        }
        position->second.last_heartbeat_at = m_clock.now();
        position->second.last_heartbeat = heartbeat;
        status = position->second;
    }
    m_on_heartbeat(status);
}

std::vector<peer_status> peer_tracker::peers() const {
    const std::lock_guard lock(m_mutex);
    std::vector<peer_status> all;
    all.reserve(m_peers.size());
    for (const auto& [id, status] : m_peers) {
        all.push_back(status);
    }
    return all;
}

std::optional<peer_status> peer_tracker::owner_of(const std::string& shard) const {
    std::optional<peer_status> owner;
    std::uint64_t best_epoch = 0;
    for (const auto& p : peers()) {
        for (const auto& load : p.last_heartbeat.shards) {
            if (load.shard == shard && load.epoch > best_epoch) {
                best_epoch = load.epoch;
                owner = p;
            }
        }
    }
    return owner;
}

bool peer_tracker::has_recent_heartbeat(const std::string& id, common::duration age) const {
    const std::lock_guard lock(m_mutex);
    const auto position = m_peers.find(id);
    return position != m_peers.end() && position->second.last_heartbeat_at &&
           m_clock.now() - *position->second.last_heartbeat_at <= age;
}

} // namespace buckthornspar::server
