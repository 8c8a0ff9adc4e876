#pragma once

#include "core/peer/peer_messages.h"

#include <cstdint>
#include <vector>

namespace buckthornspar::server {

/// The configuration in force in this process, as far as the exchange with peers needs it.
/// Implementations are safe to use from all threads.
class config_replica {
public:
    virtual ~config_replica() = default;

    /// Version in force; 0 when there is none yet.
    [[nodiscard]] virtual std::uint64_t version() const = 0;

    /// Takes over records with higher versions; others are ignored.
    virtual void apply(const std::vector<peer::config_record>& records) = 0;

    /// Records with versions above the given one, or the newest whole one when they are not kept.
    [[nodiscard]] virtual std::vector<peer::config_record> since(std::uint64_t version) const = 0;

protected:
    config_replica() = default;
    config_replica(const config_replica&) = default;
    config_replica& operator=(const config_replica&) = default;
};

} // namespace buckthornspar::server
