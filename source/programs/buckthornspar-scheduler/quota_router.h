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

/// Selects the schedulers that receive quota messages. Schedulers of different regions exchange no
/// heartbeats, so owners in other regions are learned from their messages. Thread-safe.
class quota_router {
public:
    explicit quota_router(std::vector<server::shard_settings> shards)
        : m_shards(std::move(shards)) {}

    /// Records the sender of a message as the owner of the shard.
    void learn_owner(const std::string& owner, const std::string& shard, std::uint64_t epoch);

    /// Sends each message to the owner of its shard or, if the owner is unknown or has not
    /// answered, to all schedulers of the shard's region.
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
