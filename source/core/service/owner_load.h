#pragma once

#include "core/common/clock.h"

#include <algorithm>
#include <cstddef>

namespace buckthornspar::service {

/// Measures over windows of one second how far the owner's event loop is behind its input.
class owner_load {
public:
    static constexpr common::duration window = std::chrono::seconds(1);

    struct summary {
        /// Longest delay of a timer: inputs that were ready waited about as long.
        common::duration max_delay{0};
        std::size_t events = 0;
        std::size_t plans = 0;
        common::duration plan_time{0};
        common::duration max_plan_time{0};
    };

    void record_wakeup(common::duration delay);
    void record_event() { ++m_current.events; }
    void record_plan(common::duration took);

    /// Longest delay of a timer in the last one to two seconds.
    [[nodiscard]] common::duration recent_delay() const {
        return std::max(m_current.max_delay, m_previous_delay);
    }
    /// Whether the window has ended, so that take() may be called.
    [[nodiscard]] bool is_due(common::time_point now) const { return now >= m_window_end; }
    /// Returns the measurements since the last call and begins the next window.
    [[nodiscard]] summary take(common::time_point now);

private:
    summary m_current;
    common::duration m_previous_delay{0};
    common::time_point m_window_end;
};

} // namespace buckthornspar::service
