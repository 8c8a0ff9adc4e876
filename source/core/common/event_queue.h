#pragma once

#include "core/common/clock.h"

#include <functional>
#include <map>
#include <utility>

namespace buckthornspar::common {

/// Discrete-event queue with a virtual clock. Events run in order of time; events of the same time
/// run in order of insertion.
class event_queue {
public:
    [[nodiscard]] time_point now() const { return m_now; }

    void after(duration delay, std::function<void()> event) {
        m_events.emplace(m_now + delay, std::move(event));
    }

    /// Runs all events up to and including the end time; calls after_each after each event.
    void run_until(time_point end, const std::function<void()>& after_each = {}) {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
            if (after_each) {
                after_each();
            }
        }
        m_now = end;
    }

private:
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_events;
};

} // namespace buckthornspar::common
