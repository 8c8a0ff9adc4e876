#include "core/learning/estimate_error.h"

#include <cmath>

namespace buckthornspar::learning {

namespace {

constexpr std::size_t max_queues = 256;
constexpr std::size_t min_samples = 16;
// Estimates are rough anyway.
constexpr double dead_band = 0.12;

} // namespace

void estimate_error::add(const std::string& queue, double log_ratio) {
    const auto found = m_queues.find(queue);
    if (found != m_queues.end()) {
        found->second.add(log_ratio);
    } else if (m_queues.size() < max_queues) {
        m_queues[queue].add(log_ratio);
    }
}

double estimate_error::log_ratio(const std::string& queue) const {
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.size() < min_samples) {
        return 0.0;
    }
    const auto median = found->second.median();
    return std::abs(median) < dead_band ? 0.0 : median;
}

} // namespace buckthornspar::learning
