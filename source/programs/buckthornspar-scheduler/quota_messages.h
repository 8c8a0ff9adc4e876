#pragma once

#include "core/peer/peer_messages.h"
#include "core/scheduling/quota_message.h"

namespace buckthornspar::scheduler {

// Conversion between quota exchange messages and peer protocol messages.

[[nodiscard]] peer::quota_message to_peer(const scheduling::quota_message& message);
[[nodiscard]] scheduling::quota_message from_peer(const peer::quota_message& message);

} // namespace buckthornspar::scheduler
