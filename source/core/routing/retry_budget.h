#pragma once

#include "core/common/clock.h"
#include "core/common/rng.h"

namespace buckthornspar::routing {

struct retry_limits {
    /// Retries allowed for each first attempt.
    double share = 0.2;
    /// Retries allowed at once after a quiet time.
    double burst = 20;
    common::duration backoff_min = std::chrono::milliseconds(5);
    common::duration backoff_max = std::chrono::milliseconds(500);
};

/// Limits retries to a share of the first attempts, so that a failing fleet is not flooded.
class retry_budget {
public:
    explicit retry_budget(retry_limits limits) : m_limits(limits), m_tokens(limits.burst) {}

    /// Changes the share of retries, for example with a new configuration.
    void set_share(double share) { m_limits.share = share; }

    void on_first_attempt();

    /// Takes one retry; false when the budget is spent.
    [[nodiscard]] bool try_take();

    /// Delay before retry number n (1, 2, ...): exponential, with full jitter.
    [[nodiscard]] common::duration backoff(unsigned n, common::rng& random) const;

private:
    retry_limits m_limits;
    double m_tokens;
};

} // namespace buckthornspar::routing
