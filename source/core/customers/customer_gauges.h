#pragma once

#include "core/common/counters.h"
#include "core/customers/cap_ledger.h"

#include <set>
#include <string>

namespace buckthornspar::customers {

/// Shows what the customers run, and their caps, in the metrics: each of those that run most, and
/// the others in sum, so that the number of series is bounded.
class customer_gauges {
public:
    /// Label of the sum of the customers that are not shown one by one.
    static constexpr const char* others = "other";
    static constexpr std::size_t max_shown = 32;

    explicit customer_gauges(common::counters& counters) : m_counters(counters) {}

    void update(const cap_ledger& ledger);
    /// Removes all series, because another node shows them.
    void clear();

private:
    void remove(const std::string& label);

    common::counters& m_counters;
    std::set<std::string> m_shown;
};

} // namespace buckthornspar::customers
