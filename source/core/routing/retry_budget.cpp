#include "core/routing/retry_budget.h"

#include <algorithm>

namespace buckthornspar::routing {

void retry_budget::on_first_attempt() {
    m_tokens = std::min(m_tokens + m_limits.share, m_limits.burst);
}

bool retry_budget::try_take() {
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

common::duration retry_budget::backoff(unsigned n, common::rng& random) const {
    constexpr unsigned max_doublings = 10;
    const unsigned doublings = std::min(n > 0 ? n - 1 : 0, max_doublings);
    const auto longest = std::min(m_limits.backoff_min * (1U << doublings), m_limits.backoff_max);
    const auto spread = static_cast<double>((longest - m_limits.backoff_min / 2).count());
    return m_limits.backoff_min / 2 +
           common::duration(static_cast<common::duration::rep>(spread * random.unit()));
}

} // namespace buckthornspar::routing
