#include "core/net/request_progress.h"

#include <algorithm>

namespace buckthornspar::net {

namespace {

// A body in chunks of one byte takes six bytes for each; longer chunk headers are of no use.
constexpr std::size_t bytes_per_body_byte = 8;

} // namespace

std::optional<refusal_reason> request_progress::add(const request_limits& limits,
                                                    const arrived_part& part, time_point now) {
    if (!m_begin) {
        m_begin = now;
        m_header_bytes = 0;
    }
    // Behind the header, pending bytes are a chunk header with its extensions, or trailers.
    if (!part.header_complete) {
        m_header_bytes = part.bytes;
    }
    const auto header_bytes = m_header_bytes + (part.header_complete ? part.pending_bytes : 0);
    if (header_bytes > limits.max_header_bytes) {
        return refusal_reason::header_too_large;
    }
    if (part.bytes > limits.max_header_bytes + limits.max_body_bytes * bytes_per_body_byte) {
        return refusal_reason::chunk_overhead;
    }
    m_deadline = *m_begin + limits.header_timeout;
    if (part.header_complete && limits.min_bytes_per_s > 0) {
        const std::chrono::milliseconds paid(part.bytes * 1000 / limits.min_bytes_per_s);
        m_deadline = std::max(m_deadline, *m_begin + paid);
    } else if (part.header_complete) {
        m_deadline = *m_begin + limits.request_timeout;
    }
    m_deadline = std::min(m_deadline, *m_begin + limits.request_timeout);
    return now < m_deadline ? std::nullopt : std::optional(refusal_reason::too_slow);
}

} // namespace buckthornspar::net
