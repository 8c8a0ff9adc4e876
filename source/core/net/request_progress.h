#pragma once

#include "core/net/refusal_log.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace buckthornspar::net {

/// Limits for one request while it arrives.
struct request_limits {
    std::size_t max_body_bytes = 8U << 20U;
    /// For the request line, the header fields and the trailers together.
    std::size_t max_header_bytes = 8U << 10U;
    /// Time from the first byte to the end of the header fields.
    std::chrono::milliseconds header_timeout = std::chrono::seconds(20);
    /// Time from the first byte to the last one.
    std::chrono::milliseconds request_timeout = std::chrono::seconds(60);
    /// Least average rate of a request that takes longer than the header timeout; 0: none.
    std::size_t min_bytes_per_s = 100;
};

/// How far a request has arrived.
struct arrived_part {
    bool header_complete = false;
    /// All bytes of the request so far, with those of chunks.
    std::size_t bytes = 0;
    /// Bytes that are read and belong to no complete header field, chunk or trailer yet.
    std::size_t pending_bytes = 0;
};

/// Decides how long a request that has arrived in part may go on.
class request_progress {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A new request begins with its first part.
    void reset() { m_begin.reset(); }

    /// Returns the reason to refuse the request after a part of it, if there is one.
    [[nodiscard]] std::optional<refusal_reason> add(const request_limits& limits,
                                                    const arrived_part& part, time_point now);

    /// Time at which the next part must have arrived.
    [[nodiscard]] time_point deadline() const { return m_deadline; }

    [[nodiscard]] bool has_begun() const { return m_begin.has_value(); }

private:
    std::optional<time_point> m_begin;
    time_point m_deadline;
    std::size_t m_header_bytes = 0;
};

} // namespace buckthornspar::net
