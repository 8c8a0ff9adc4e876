#pragma once

#include "core/common/clock.h"
#include "core/common/rng.h"

namespace buckthornspar::routing {

struct retry_limits {
    /// Retries allowed for each first attempt.
    double share = 0.2;
    /// Largest number of retries that can accumulate for a burst.
    double burst = 20;
    common::duration backoff_min = std::chrono::milliseconds(5);
    common::duration backoff_max = std::chrono::milliseconds(500);
};

/// Token bucket that limits retries to a share of the first attempts, so that retries do not
/// overload runners that are already failing.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits), m_tokens(limits.burst) {}

    /// Changes the share of retries, for example when the configuration changes.
    void set_share(double share) { m_limits.share = share; }

    void on_first_attempt();

    /// Takes one retry from the budget; false when the budget is exhausted.
    [[nodiscard]] bool try_take();

    /// Delay before retry number n (1, 2, ...): exponential, with full jitter.
    [[nodiscard]] common::duration backoff(unsigned n, common::rng& random) const;

private:
    retry_limits m_limits;
    double m_tokens;
};

} // namespace buckthornspar::routing
