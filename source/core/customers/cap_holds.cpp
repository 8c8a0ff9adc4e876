#include "core/customers/cap_holds.h"

namespace buckthornspar::customers {

namespace {

// The runs of a customer that are left when less than half of its cap is in use may be long. Other
// jobs of the customer do not wait for them for longer than this.
constexpr common::duration max_low_use = std::chrono::seconds(2);
// Plans are made at least every 50 ms while steps wait.
constexpr common::duration max_gap = std::chrono::seconds(1);

} // namespace

bool cap_holds::may_hold(customer_index customer, common::time_point now, bool half_used) {
    if (half_used) {
        m_low.erase(customer);
        return true;
    }
    auto [position, added] = m_low.try_emplace(customer, low_use{now, now});
    auto& low = position->second;
    if (now > low.last_seen + max_gap) {
        low.since = now;
    }
    low.last_seen = now;
    return now < low.since + max_low_use;
}

} // namespace buckthornspar::customers
