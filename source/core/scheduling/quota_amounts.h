#pragma once

#include "core/placement/resources.h"

#include <algorithm>

namespace buckthornspar::scheduling {

// Component-wise arithmetic on resource amounts.

[[nodiscard]] inline placement::resources min_of(const placement::resources& a,
                                                 const placement::resources& b) {
    return {std::min(a.cpu_milli, b.cpu_milli), std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

[[nodiscard]] inline placement::resources max_of(const placement::resources& a,
                                                 const placement::resources& b) {
    return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

/// The part of a that exceeds b; zero in components where b is larger.
[[nodiscard]] inline placement::resources surplus(const placement::resources& a,
                                                  const placement::resources& b) {
    return max_of(a - b, {});
}

/// True if a is larger than b in at least one component.
[[nodiscard]] inline bool exceeds(const placement::resources& a, const placement::resources& b) {
    return !a.fits(b);
}

} // namespace buckthornspar::scheduling
