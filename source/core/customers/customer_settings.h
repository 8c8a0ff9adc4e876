#pragma once

#include "core/placement/resources.h"

#include <string>
#include <vector>

namespace buckthornspar::customers {

/// A customer in the operators' configuration. Jobs belong to the customer and not to the key with
/// which they were submitted, so that they go on when keys change.
struct customer_settings {
    std::string name;
    /// Keys that identify calls of the customer. Secret: never logged or shown.
    std::vector<std::string> keys;
    /// Share of the room when all of it is in use, and the jobs a second up to which the customer
    /// is entitled to be served. With 0 nothing is owed, and jobs run where there is room.
    double weight = 1.0;
    /// Maximum resources of the customer's running tasks over all workers; a component that is 0 is
    /// unlimited.
    placement::resources cap;

    bool operator==(const customer_settings&) const = default;
};

} // namespace buckthornspar::customers
