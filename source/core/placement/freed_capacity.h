#pragma once

#include "core/placement/resources.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace buckthornspar::placement {

/// Free resources of the workers on which capacity was freed since the last decision.
class freed_capacity {
public:
    /// With more workers than this, for example after a process start, only the component-wise
    /// maximum is tracked.
    static constexpr std::size_t max_workers = 64;

    void add(const resources& free) {
        m_most.cpu_milli = std::max(m_most.cpu_milli, free.cpu_milli);
        m_most.memory_mb = std::max(m_most.memory_mb, free.memory_mb);
        m_most.accelerators = std::max(m_most.accelerators, free.accelerators);
        if (m_workers.size() <= max_workers) {
            m_workers.push_back(free);
        }
    }

    [[nodiscard]] bool empty() const { return m_workers.empty(); }
    [[nodiscard]] bool exact() const { return m_workers.size() <= max_workers; }
    /// Component-wise maximum of the free resources.
    [[nodiscard]] const resources& most() const { return m_most; }

    /// True when a worker can take the demand. May be a false positive when exact() is false.
    [[nodiscard]] bool fits(const resources& demand) const {
        if (empty() || !demand.fits(m_most)) {
            return false;
        }
        return !exact() || std::any_of(m_workers.begin(), m_workers.end(),
                                       [&](const resources& free) { return demand.fits(free); });
    }

private:
    resources m_most;
    std::vector<resources> m_workers;
};

} // namespace buckthornspar::placement
