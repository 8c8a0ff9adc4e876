#pragma once

#include "core/learning/log_samples.h"

#include <cstddef>
#include <map>
#include <string>

namespace buckthornspar::learning {

/// The ratio of real to estimated durations at the common speed, by queue, for at most 256 queues.
class estimate_error {
public:
    void add(const std::string& queue, double log_ratio);
    /// Natural logarithm of the queue's usual ratio; 0 while there is no sufficient evidence of
    /// another one.
    [[nodiscard]] double log_ratio(const std::string& queue) const;

private:
    std::map<std::string, log_samples<64>> m_queues;
};

} // namespace buckthornspar::learning
