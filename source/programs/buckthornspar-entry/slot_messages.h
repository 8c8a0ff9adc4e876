#pragma once

#include "core/peer/peer_messages.h"
#include "core/routing/routing_messages.h"

namespace buckthornspar::server {
class cluster_member;
}

namespace buckthornspar::entry {

// Conversion between the messages of the routing policy and those of the peer protocol.

[[nodiscard]] routing::peer_message from_peer(const peer::sender& from,
                                              const peer::slot_demand& demand);
[[nodiscard]] routing::peer_message from_peer(const peer::sender& from,
                                              const peer::slot_grant& grant);

/// Sends the message to the entry that it names. Drops it when the entry is unknown; the policy
/// repeats its messages.
void send_to_peer(server::cluster_member& member, const routing::peer_message& message);

} // namespace buckthornspar::entry
