#pragma once

#include "core/peer/peer_messages.h"
#include "core/scheduling/quota_message.h"
#include "core/server/server_settings.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace buckthornspar::server {
class cluster_member;
struct peer_status;
} // namespace buckthornspar::server

namespace buckthornspar::scheduler {

/// Finds the schedulers to which quota messages go. Schedulers of different regions exchange no
/// heartbeats, so that owners there are learnt from their messages. Safe to use from all threads.
class quota_router {
public:
    explicit quota_router(std::vector<server::shard_settings> shards)
        : m_shards(std::move(shards)) {}

    /// Remembers the sender as the owner of the shard.
    void heard(const std::string& owner, const std::string& shard, std::uint64_t epoch);

    /// To the owner of each message's shard; when the owner is not known, or has not answered, to
    /// all schedulers of the shard's region.
    void send(server::cluster_member& member,
              const std::vector<scheduling::outgoing_quota_message>& messages) const;

private:
    struct known_owner {
        std::string id;
        std::uint64_t epoch = 0;
    };

    [[nodiscard]] std::vector<server::peer_status>
    receivers(server::cluster_member& member,
              const scheduling::outgoing_quota_message& message) const;
    [[nodiscard]] std::string owner_of(const std::string& shard) const;

    std::vector<server::shard_settings> m_shards;
    mutable std::mutex m_mutex;
    std::map<std::string, known_owner> m_owners;
};

} // namespace buckthornspar::scheduler
