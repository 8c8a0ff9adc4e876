#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace buckthornspar::scheduling {

enum class ownership_state { standby, claiming, adopting, active, stepping_down };
[[nodiscard]] std::string_view to_string(ownership_state state);

enum class ownership_event {
    owner_silent,  ///< no heartbeat within the timeout, or the owner has released the shard
    claim_lost,    ///< another owner record was written first, or a heartbeat arrived
    claim_won,     ///< the owner record of this scheduler is in the log
    majority,      ///< a majority of the workers has accepted the epoch
    fenced,        ///< the log or a worker has a higher epoch
    drain_started, ///< planned shutdown
    released,      ///< the record that releases the shard is in the log
};

/// State machine of one scheduler's ownership of one shard; the source file has the transitions.
class shard_ownership {
public:
    shard_ownership();
    ~shard_ownership();
    shard_ownership(const shard_ownership&) = delete;
    shard_ownership& operator=(const shard_ownership&) = delete;

    /// Returns false and changes nothing if the event does not apply in the current state.
    bool on(ownership_event event);

    [[nodiscard]] ownership_state state() const;
    /// True from the time the owner record is written until the shard is lost or released.
    [[nodiscard]] bool owns() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace buckthornspar::scheduling
