#include "core/net/refusal_response.h"

#include <string>

namespace buckthornspar::net {

http_response refusal_response(refusal_reason reason, const request_limits& limits) {
    switch (reason) {
    case refusal_reason::body_too_large:
        return error_response(413, "body_too_large",
                              "the request body is larger than " +
                                  std::to_string(limits.max_body_bytes) + " bytes");
    case refusal_reason::chunk_overhead:
        return error_response(413, "chunk_overhead",
                              "the chunks of the body are too small or have long extensions");
    case refusal_reason::header_too_large:
        return error_response(431, "header_too_large",
                              "the request line, header fields and trailers are larger than " +
                                  std::to_string(limits.max_header_bytes) + " bytes");
    case refusal_reason::too_slow:
        return error_response(408, "request_too_slow", "the request did not arrive in time");
    default:
        break;
    }
    auto response = error_response(503, "overloaded", "the request was not read to its end");
    response.fields.set("Retry-After", "1");
    return response;
}

} // namespace buckthornspar::net
