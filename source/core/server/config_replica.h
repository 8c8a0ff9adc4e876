#pragma once

#include "core/peer/peer_messages.h"

#include <cstdint>
#include <vector>

namespace buckthornspar::server {

/// This process's replica of the configuration, as used by the peer protocol. Implementations are
/// thread-safe.
class config_replica {
public:
    virtual ~config_replica() = default;

    /// Returns the version in force, or 0 when there is none yet.
    [[nodiscard]] virtual std::uint64_t version() const = 0;

    /// Applies records with versions above the one in force; others are ignored.
    virtual void apply(const std::vector<peer::config_record>& records) = 0;

    /// Returns the records with versions above the given one, or one record with the whole
    /// configuration in force when they are no longer stored.
    [[nodiscard]] virtual std::vector<peer::config_record> since(std::uint64_t version) const = 0;

protected:
    config_replica() = default;
    config_replica(const config_replica&) = default;
    config_replica& operator=(const config_replica&) = default;
};

} // namespace buckthornspar::server
