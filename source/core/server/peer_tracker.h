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

/// Last known status of another process of the system.
struct peer_status {
    std::string id;
    membership::instance_role role = membership::instance_role::entry;
    net::endpoint address;
    std::string region;
    /// Empty until the first heartbeat from the peer arrives.
    std::optional<common::time_point> last_heartbeat_at;
    peer::heartbeat last_heartbeat;
};

/// Exchanges heartbeats with the other processes and keeps their last known status. Thread-safe.
class peer_tracker {
public:
    using heartbeat_source = std::function<peer::heartbeat()>;
    using heartbeat_listener = std::function<void(const peer_status&)>;

    /// self is never listed as a peer. make_heartbeat returns the heartbeat to send. on_heartbeat
    /// is called on the peer thread for each heartbeat or heartbeat reply from a known peer.
    peer_tracker(member_identity self, peer::peer_node& node, const common::clock& clock,
                 heartbeat_source make_heartbeat, heartbeat_listener on_heartbeat);

    /// Updates the peers from the instance list: its processes of the roles entry, scheduler and
    /// config. Peers that are no longer listed are removed.
    void update_peers(const std::vector<membership::instance>& instances);

    /// Sends the heartbeats that are due in this period, see heartbeat_interval(). To learn of new
    /// configuration versions, entries and schedulers also send one to a config process of their
    /// region, in round-robin order, or to one of any region when their own has none.
    void send_heartbeats();

    /// Records a heartbeat or heartbeat reply; those from unknown processes are ignored.
    void record_heartbeat(const peer::heartbeat& heartbeat);

    [[nodiscard]] std::vector<peer_status> peers() const;

    /// Scheduler that reported the highest epoch for the shard in its last heartbeat.
    [[nodiscard]] std::optional<peer_status> owner_of(const std::string& shard) const;

    /// Returns true when the last heartbeat from the peer is not older than age.
    [[nodiscard]] bool has_recent_heartbeat(const std::string& id, common::duration age) const;

private:
    void send_to(const peer_status& p, const peer::heartbeat& heartbeat);
    [[nodiscard]] std::vector<peer_status>
    config_peers(const std::vector<peer_status>& known) const;

    member_identity m_self;
    std::uint64_t m_period_number = 0;
    peer::peer_node& m_node;
    const common::clock& m_clock;
    heartbeat_source m_make_heartbeat;
    heartbeat_listener m_on_heartbeat;
    mutable std::mutex m_mutex;
    std::map<std::string, peer_status> m_peers;
};

} // namespace buckthornspar::server
