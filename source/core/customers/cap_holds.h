#pragma once

#include "core/common/clock.h"
#include "core/customers/cap_ledger.h"

#include <unordered_map>

namespace buckthornspar::customers {

/// Decides how long what is left of a cap is kept for a step that needs more of it, while others of
/// the customer wait.
class cap_holds {
public:
    /// Whether it is kept now. half_used: at least half of the cap is in use.
    [[nodiscard]] bool may_hold(customer_index customer, common::time_point now, bool half_used);

private:
    struct low_use {
        common::time_point since;
        common::time_point last_seen;
    };

    /// Customers for which a step waited while less than half of their cap was in use.
    std::unordered_map<customer_index, low_use> m_low;
};

} // namespace buckthornspar::customers
