#include "core/server/peer_mesh.h"

#include "core/peer/peer_node.h"

#include <set>
#include <utility>

namespace buckthornspar::server {

namespace {

using membership::instance_role;

bool is_own_role(instance_role role) {
    return role == instance_role::entry || role == instance_role::scheduler ||
           role == instance_role::config;
}

} // namespace

peer_mesh::peer_mesh(std::string own_id, peer::peer_node& node, const common::clock& clock,
                     beat_source source, beat_listener listener)
    : m_own_id(std::move(own_id)),
      m_node(node),
      m_clock(clock),
      m_source(std::move(source)),
      m_listener(std::move(listener)) {}

void peer_mesh::update_peers(const std::vector<membership::instance>& instances) {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> listed;
    for (const auto& i : instances) {
        if (!is_own_role(i.role) || i.id == m_own_id) {
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

void peer_mesh::send_heartbeats() {
    const peer::heartbeat beat = m_source();
    for (const auto& p : peers()) {
        m_node.send_heartbeat(p.address, beat, [this](std::optional<peer::heartbeat> reply) {
            if (reply) {
                heard(*reply);
            }
        });
    }
}

void peer_mesh::heard(const peer::heartbeat& beat) {
    peer_status status;
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_peers.find(beat.from.id);
        if (position == m_peers.end()) {
            return;
        }
        position->second.last_heard = m_clock.now();
        position->second.last_beat = beat;
        status = position->second;
    }
    m_listener(status);
}

std::vector<peer_status> peer_mesh::peers() const {
    const std::lock_guard lock(m_mutex);
    std::vector<peer_status> all;
    all.reserve(m_peers.size());
    for (const auto& [id, status] : m_peers) {
        all.push_back(status);
    }
    return all;
}

std::optional<peer_status> peer_mesh::owner_of(const std::string& shard) const {
    std::optional<peer_status> owner;
    std::uint64_t best_epoch = 0;
    for (const auto& p : peers()) {
        for (const auto& load : p.last_beat.shards) {
            if (load.shard == shard && load.epoch > best_epoch) {
                best_epoch = load.epoch;
                owner = p;
            }
        }
    }
    return owner;
}

bool peer_mesh::heard_within(const std::string& id, common::duration age) const {
    const std::lock_guard lock(m_mutex);
    const auto position = m_peers.find(id);
    return position != m_peers.end() && position->second.last_heard &&
           m_clock.now() - *position->second.last_heard <= age;
}

} // namespace buckthornspar::server
