#pragma once

#include "core/common/clock.h"
#include "core/membership/instance_list.h"
#include "core/peer/peer_messages.h"
#include "core/server/heartbeat_plan.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::peer {
class peer_node;
}

namespace buckthornspar::server {

/// What is known of one other process of the system.
struct peer_status {
    std::string id;
    membership::instance_role role = membership::instance_role::entry;
    net::endpoint address;
    std::string region;
    /// Empty when it has never been heard.
    std::optional<common::time_point> last_heartbeat_at;
    peer::heartbeat last_heartbeat;
};

/// Exchanges heartbeats with the other processes and remembers what they said. Safe to use from all
/// threads.
class peer_tracker {
public:
    using heartbeat_source = std::function<peer::heartbeat()>;
    using heartbeat_listener = std::function<void(const peer_status&)>;

    /// The own process is left out of the peers. source makes the heartbeat to send; listener is
    /// told of each heartbeat received, on the peer thread.
    peer_tracker(member_identity self, peer::peer_node& node, const common::clock& clock,
                 heartbeat_source source, heartbeat_listener listener);

    /// Takes over the processes of the roles entry, scheduler and config from the instance list.
    /// Peers that left the list are forgotten.
    void update_peers(const std::vector<membership::instance>& instances);

    /// Sends the heartbeats that are due in this period, see heartbeat_interval(). Entries and
    /// schedulers also send one to a config process of their region, each in turn, to learn of new
    /// versions; without one in the region, to those of other regions.
    void send_heartbeats();

    /// Records a heartbeat that a peer sent by itself.
    void heard(const peer::heartbeat& beat);

    [[nodiscard]] std::vector<peer_status> peers() const;

    /// Address of the live scheduler that owns the shard with the highest epoch.
    [[nodiscard]] std::optional<peer_status> owner_of(const std::string& shard) const;

    /// True when the peer was heard within the given time.
    [[nodiscard]] bool has_recent_heartbeat(const std::string& id, common::duration age) const;

private:
    void send_to(const peer_status& p, const peer::heartbeat& beat);
    [[nodiscard]] std::vector<peer_status>
    config_peers(const std::vector<peer_status>& known) const;

    member_identity m_self;
    std::uint64_t m_period = 0;
    peer::peer_node& m_node;
    const common::clock& m_clock;
    heartbeat_source m_source;
    heartbeat_listener m_listener;
    mutable std::mutex m_mutex;
    std::map<std::string, peer_status> m_peers;
};

} // namespace buckthornspar::server
