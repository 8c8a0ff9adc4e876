#pragma once

#include "core/membership/instance_list.h"

#include <optional>
#include <string>

namespace buckthornspar::server {

/// A process of the system as far as the choice of heartbeats needs it.
struct member_identity {
    std::string id;
    membership::instance_role role = membership::instance_role::entry;
    std::string region;
};

/// Number of heartbeat periods from one heartbeat to the next that a process sends to another;
/// empty when it sends none. An answer carries the same facts as a heartbeat, so that one of two
/// processes of a role is enough to keep both informed.
[[nodiscard]] std::optional<unsigned> heartbeat_interval(const member_identity& from,
                                                         const member_identity& to);

} // namespace buckthornspar::server
