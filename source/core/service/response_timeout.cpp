#include "core/service/response_timeout.h"

#include <algorithm>

namespace buckthornspar::service {

namespace {

constexpr auto window = std::chrono::milliseconds(400);
// The limit is this multiple of the mean response time.
constexpr int mean_multiple = 4;
// A window with fewer calls says nothing about the node itself.
constexpr unsigned min_calls = 8;
// With fewer responses than one in this many calls, nearly all of them took longer than the limit.
constexpr unsigned blind_ratio = 8;

} // namespace

void response_timeout::record_response(common::time_point now, common::duration took) {
    advance(now);
    ++m_responses;
    m_total += took;
}

void response_timeout::record_timeout(common::time_point now) {
    advance(now);
    ++m_timeouts;
}

void response_timeout::advance(common::time_point now) {
    if (now < m_window_end) {
        return;
    }
    const auto calls = m_responses + m_timeouts;
    if (calls >= min_calls) {
        if (m_responses * blind_ratio < calls) {
            m_value = std::min(m_value * 2, max);
        } else {
            const auto wanted =
                std::clamp(m_total / static_cast<int>(m_responses) * mean_multiple, min, max);
            // Rises at once and falls slowly, because a queue in the network empties slowly.
            m_value = wanted > m_value ? wanted : (m_value * 3 + wanted) / 4;
        }
    }
    m_responses = 0;
    m_timeouts = 0;
    m_total = {};
    m_window_end = now + window;
}

} // namespace buckthornspar::service
