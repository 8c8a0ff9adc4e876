#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <vector>

namespace buckthornspar::bench {

/// Runners that are dead for a time: connections to them are refused, and what runs there is lost.
struct runner_outage {
    std::size_t runners = 0;
    common::time_point from{};
    common::time_point until{};

    [[nodiscard]] bool is_down(std::size_t runner, common::time_point now) const {
        return runner < runners && now >= from && now < until;
    }
};

/// One second of a run.
struct load_second {
    std::size_t submitted = 0;
    /// Requests sent to runners, first attempts included.
    std::size_t attempts = 0;
    std::size_t first_attempts = 0;
    /// Retries that the retry budget pays for, at all entries together.
    std::size_t paid_retries = 0;
    /// Of the requests submitted in this second.
    std::size_t not_run = 0;
    std::size_t unknown = 0;
    std::size_t waits = 0;
    /// Sum of the waits, in mean service times.
    double wait_sum = 0;
};

struct outage_figures {
    /// Highest of any second of the outage and the second after it, as shares of the requests
    /// submitted in that second.
    double max_retry_share = 0;
    double max_attempt_share = 0;
    /// From the start of the outage to the end of the run, as a share of the first attempts.
    double retry_share = 0;
    /// From the end of the outage to the first second after which no request is left without a run
    /// and the mean wait stays under one mean service time.
    double recovery_s = 0;
};

[[nodiscard]] outage_figures figures_of(const std::vector<load_second>& seconds,
                                        const runner_outage& outage);

} // namespace buckthornspar::bench
