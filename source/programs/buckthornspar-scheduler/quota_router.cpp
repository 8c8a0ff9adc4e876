#include "quota_router.h"

#include "core/peer/peer_node.h"
#include "core/server/cluster_member.h"
#include "quota_messages.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduler {

void quota_router::learn_owner(const std::string& owner, const std::string& shard,
                               std::uint64_t epoch) {
    const std::lock_guard lock(m_mutex);
    known_owner& known = m_owners[shard];
    if (epoch >= known.epoch) {
        known = {owner, epoch};
    }
}

std::string quota_router::owner_of(const std::string& shard) const {
    const std::lock_guard lock(m_mutex);
    const auto position = m_owners.find(shard);
    return position == m_owners.end() ? std::string() : position->second.id;
}

std::vector<server::peer_status>
quota_router::receivers(server::cluster_member& member,
                        const scheduling::outgoing_quota_message& message) const {
    const std::string& shard = message.message.to_shard;
    const std::string owner = owner_of(shard);
    const auto settings = std::find_if(m_shards.begin(), m_shards.end(),
                                       [&](const auto& s) { return s.id == shard; });
    std::vector<server::peer_status> of_region;
    for (auto& p : member.tracker().peers()) {
        if (p.role != membership::instance_role::scheduler) {
            continue;
        }
        if (p.id == owner && !message.repeated) {
            return {p};
        }
        if (settings != m_shards.end() && p.region == settings->region) {
            of_region.push_back(std::move(p));
        }
    }
    return of_region;
}

void quota_router::send(server::cluster_member& member,
                        const std::vector<scheduling::outgoing_quota_message>& messages) const {
    std::map<std::string, std::pair<net::endpoint, std::vector<peer::quota_message>>> by_receiver;
    for (const auto& item : messages) {
        for (const auto& receiver : receivers(member, item)) {
            auto& batch = by_receiver[receiver.id];
            batch.first = receiver.address;
            batch.second.push_back(to_peer(item.message));
        }
    }
    for (auto& [id, batch] : by_receiver) {
        member.node().send_quota_messages(batch.first, member.self(), std::move(batch.second));
    }
}

} // namespace buckthornspar::scheduler
