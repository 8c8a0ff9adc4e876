#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace buckthornspar::scheduling {

enum class ownership_state { standby, claiming, adopting, active, stepping_down };
[[nodiscard]] std::string_view to_string(ownership_state state);

enum class ownership_event {
    owner_silent,  ///< the owner is silent or has released the shard
    claim_lost,    ///< another owner record was first, or the owner is heard again
    claim_won,     ///< the own owner record is in the log
    majority,      ///< a majority of the workers has accepted the epoch
    fenced,        ///< the log or a worker shows a higher epoch
    drain_started, ///< a planned stop
    released,      ///< the record that releases the shard is in the log
};

/// State machine of one scheduler's relation to one shard; the table is in the source file.
class shard_ownership {
public:
    shard_ownership();
    ~shard_ownership();
    shard_ownership(const shard_ownership&) = delete;
    shard_ownership& operator=(const shard_ownership&) = delete;

    /// Returns false, without effect, when the event does not apply in the present state.
    bool on(ownership_event event);

    [[nodiscard]] ownership_state state() const;
    /// True from the owner record on until the shard is lost or released.
    [[nodiscard]] bool owns() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace buckthornspar::scheduling
