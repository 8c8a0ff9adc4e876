#pragma once

#include "core/common/event_queue.h"

#include <deque>
#include <functional>

namespace buckthornspar::emulation {

/// The processor of one process: executes events one at a time in order of arrival. An event
/// occupies it for its cost; what arrives meanwhile waits.
class emulated_processor {
public:
    explicit emulated_processor(common::event_queue& events) : m_events(events) {}

    /// Executes the event once all earlier ones are done and the process is not frozen. Dropped
    /// when the process ends before.
    void execute(std::function<void()> event);
    /// Called by an event, at most once: it takes this much longer, times the factor of
    /// slow_down(). `then` runs at the end.
    void spend(common::duration cost, std::function<void(common::duration took)> then = {});

    /// Work begun within the length costs the factor times as much.
    void slow_down(double factor, common::duration length);
    void freeze_until(common::time_point time) { m_frozen_until = time; }
    /// Ends the process.
    void stop();

    /// Longest wait of an event that began in the last one to two seconds.
    [[nodiscard]] common::duration recent_wait() const;

private:
    struct waiting_event {
        common::time_point arrived_at;
        std::function<void()> run;
    };

    [[nodiscard]] bool is_frozen() const { return m_events.now() < m_frozen_until; }
    void run_waiting();
    void resume_after_freeze();
    void finish(common::duration took, const std::function<void(common::duration)>& then);
    void record_wait(common::duration wait);

    common::event_queue& m_events;
    std::deque<waiting_event> m_waiting;
    bool m_running = false;
    bool m_busy = false;
    bool m_stopped = false;
    bool m_resume_scheduled = false;
    common::time_point m_frozen_until;
    common::time_point m_slow_until;
    double m_factor = 1.0;

    common::time_point m_window_end;
    common::duration m_wait{0};
    common::duration m_previous_wait{0};
};

} // namespace buckthornspar::emulation
