#pragma once

#include "core/net/http_message.h"
#include "core/routing/routing_messages.h"
#include "request_settings.h"

#include <optional>
#include <string>

namespace buckthornspar::entry {

/// Why a request is invalid; returned in the error body.
struct request_problem {
    std::string detail;
    std::string field;
};

/// Parses POST /v1/requests/{service} with its header fields. The calling code sets the key, and
/// the id of a request without X-Request-Id. If problem is set, the returned request must not be
/// used.
[[nodiscard]] routing::request read_request(net::http_request& http,
                                            const request_settings& settings,
                                            common::duration max_deadline, common::time_point now,
                                            std::optional<request_problem>& problem);

/// Converts the engine's answer to the HTTP response of the entry.
[[nodiscard]] net::http_response to_response(routing::caller_answer answer,
                                             const std::string& request_id);

} // namespace buckthornspar::entry
