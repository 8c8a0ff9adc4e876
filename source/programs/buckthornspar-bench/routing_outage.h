#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <vector>

namespace buckthornspar::bench {

/// Outage of the first runners: connections to them are refused, and their running requests are
/// lost.
struct runner_outage {
    std::size_t runners = 0;
    common::time_point from{};
    common::time_point until{};

    [[nodiscard]] bool is_down(std::size_t runner, common::time_point now) const {
        return runner < runners && now >= from && now < until;
    }
};

/// Statistics of one second of a simulation.
struct second_statistics {
    std::size_t submitted = 0;
    /// Requests sent to runners, including first attempts.
    std::size_t attempts = 0;
    std::size_t first_attempts = 0;
    /// Retries covered by the retry budget, over all entries.
    std::size_t budgeted_retries = 0;
    /// Outcomes of the requests submitted in this second.
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t waits = 0;
    /// Sum of the waits, in units of the mean service time.
    double wait_sum = 0;
};

struct outage_statistics {
    /// Maximum over the seconds of the outage and the second after it, as a fraction of the
    /// requests submitted in the same second.
    double max_retry_share = 0;
    double max_attempt_share = 0;
    /// Retries from the start of the outage to the end of the run, as a fraction of first attempts.
    double retry_share = 0;
    /// Time from the end of the outage until all later requests run and the mean wait stays within
    /// one mean service time.
    double recovery_s = 0;
};

[[nodiscard]] outage_statistics outage_statistics_of(const std::vector<second_statistics>& seconds,
                                                     const runner_outage& outage);

} // namespace buckthornspar::bench
