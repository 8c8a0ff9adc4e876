#pragma once

#include "core/net/http_message.h"
#include "core/routing/routing_messages.h"
#include "request_settings.h"

#include <optional>
#include <string>

namespace buckthornspar::entry {

/// Why a request cannot be accepted, for the error body.
struct request_problem {
    std::string detail;
    std::string field;
};

/// Reads POST /v1/requests/{service} with its header fields. The key and the id of a request
/// without X-Request-Id are left for the caller to set. When problem is set, the request is not
/// usable.
[[nodiscard]] routing::request read_request(net::http_request& http,
                                            const request_settings& settings,
                                            common::duration max_deadline, common::time_point now,
                                            std::optional<request_problem>& problem);

/// Response of the entry for the engine's answer.
[[nodiscard]] net::http_response to_response(routing::caller_answer answer,
                                             const std::string& request_id);

} // namespace buckthornspar::entry
