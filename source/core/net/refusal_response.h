#pragma once

#include "core/net/http_message.h"
#include "core/net/refusal_log.h"
#include "core/net/request_progress.h"

namespace buckthornspar::net {

/// Response to a request that has not reached its handler, with the limit that it exceeds.
[[nodiscard]] http_response refusal_response(refusal_reason reason, const request_limits& limits);

} // namespace buckthornspar::net
