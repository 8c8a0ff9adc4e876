#include "routing_outage.h"

#include <algorithm>

namespace buckthornspar::bench {

namespace {

std::size_t second_of(common::time_point at) {
    return static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count());
}

double share(std::size_t part, std::size_t whole) {
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(whole, 1));
}

bool is_disturbed(const second_statistics& s) {
    return s.not_run + s.unknown > 0 || s.wait_sum > static_cast<double>(s.waits);
}

} // namespace

outage_statistics outage_statistics_of(const std::vector<second_statistics>& seconds,
                                       const runner_outage& outage) {
    outage_statistics statistics;
    const std::size_t first = second_of(outage.from);
    const std::size_t end = second_of(outage.until);
    std::size_t first_attempts = 0;
    std::size_t retries = 0;
    for (std::size_t i = first; i < seconds.size(); ++i) {
        const second_statistics& s = seconds[i];
        first_attempts += s.first_attempts;
        retries += s.budgeted_retries;
        if (i <= end) {
            statistics.max_retry_share =
                std::max(statistics.max_retry_share, share(s.budgeted_retries, s.submitted));
            statistics.max_attempt_share =
                std::max(statistics.max_attempt_share, share(s.attempts, s.submitted));
        }
        if (i >= end && is_disturbed(s)) {
            statistics.recovery_s = static_cast<double>(i + 1 - end);
        }
    }
    statistics.retry_share = share(retries, first_attempts);
    return statistics;
}

} // namespace buckthornspar::bench
