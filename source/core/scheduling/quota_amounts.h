#pragma once

#include "core/placement/resources.h"

#include <algorithm>

namespace buckthornspar::scheduling {

// Arithmetic on amounts, component by component.

[[nodiscard]] inline placement::resources least_of(const placement::resources& a,
                                                   const placement::resources& b) {
    return {std::min(a.cpu_milli, b.cpu_milli), std::min(a.memory_mb, b.memory_mb),
            std::min(a.accelerators, b.accelerators)};
}

[[nodiscard]] inline placement::resources most_of(const placement::resources& a,
                                                  const placement::resources& b) {
    return {std::max(a.cpu_milli, b.cpu_milli), std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

/// What a offers beyond b; zero where b is larger.
[[nodiscard]] inline placement::resources beyond(const placement::resources& a,
                                                 const placement::resources& b) {
    return most_of(a - b, {});
}

/// True when a is larger than b in any component.
[[nodiscard]] inline bool exceeds(const placement::resources& a, const placement::resources& b) {
    return !a.fits(b);
}

} // namespace buckthornspar::scheduling
