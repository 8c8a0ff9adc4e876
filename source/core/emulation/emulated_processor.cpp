#include "core/emulation/emulated_processor.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::emulation {

namespace {

constexpr auto wait_window = std::chrono::seconds(1);

} // namespace

void emulated_processor::execute(std::function<void()> event) {
    if (m_stopped) {
        return;
    }
    m_waiting.push_back({m_events.now(), std::move(event)});
    run_waiting();
}

void emulated_processor::run_waiting() {
    if (m_running) {
        return;
    }
    m_running = true;
    while (!m_stopped && !m_busy && !m_waiting.empty()) {
        if (is_frozen()) {
            resume_after_freeze();
            break;
        }
        const auto event = std::move(m_waiting.front());
        m_waiting.pop_front();
        record_wait(m_events.now() - event.arrived_at);
        event.run();
    }
    m_running = false;
}

void emulated_processor::resume_after_freeze() {
    if (std::exchange(m_resume_scheduled, true)) {
        return;
    }
    m_events.after(m_frozen_until - m_events.now(), [this] {
        m_resume_scheduled = false;
        run_waiting();
    });
}

void emulated_processor::spend(common::duration cost, std::function<void(common::duration)> then) {
    if (m_events.now() < m_slow_until) {
        cost = common::duration(
            static_cast<common::duration::rep>(m_factor * static_cast<double>(cost.count())));
    }
    if (cost.count() == 0) {
        if (then) {
            then(cost);
        }
        return;
    }
    m_busy = true;
    m_events.after(cost, [this, cost, then = std::move(then)] { finish(cost, then); });
}

void emulated_processor::finish(common::duration took,
                                const std::function<void(common::duration)>& then) {
    if (m_stopped) {
        return;
    }
    if (is_frozen()) {
        m_events.after(m_frozen_until - m_events.now(), [this, took, then] { finish(took, then); });
        return;
    }
    m_busy = false;
    if (then) {
        then(took);
    }
    run_waiting();
}

void emulated_processor::slow_down(double factor, common::duration length) {
    m_factor = factor;
    m_slow_until = m_events.now() + length;
}

void emulated_processor::stop() {
    m_stopped = true;
    m_waiting.clear();
}

void emulated_processor::record_wait(common::duration wait) {
    const auto now = m_events.now();
    if (now >= m_window_end) {
        m_previous_wait = std::exchange(m_wait, common::duration(0));
        m_window_end = now + wait_window;
    }
    m_wait = std::max(m_wait, wait);
}

common::duration emulated_processor::recent_wait() const {
    return std::max(m_wait, m_previous_wait);
}

} // namespace buckthornspar::emulation
