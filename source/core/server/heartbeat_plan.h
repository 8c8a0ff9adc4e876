#pragma once

#include "core/membership/instance_list.h"

#include <optional>
#include <string>

namespace buckthornspar::server {

/// The attributes of a process that decide to which processes it sends heartbeats.
struct member_identity {
    std::string id;
    membership::instance_role role = membership::instance_role::entry;
    std::string region;
};

/// Number of heartbeat periods between two heartbeats that one process sends to another; empty when
/// it sends none. A reply carries the same data as a heartbeat, so within a role only one process
/// of each pair sends.
[[nodiscard]] std::optional<unsigned> heartbeat_interval(const member_identity& from,
                                                         const member_identity& to);

} // namespace buckthornspar::server
