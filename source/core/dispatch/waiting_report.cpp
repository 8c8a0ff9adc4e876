#include "core/dispatch/waiting_report.h"

#include <numeric>

namespace buckthornspar::dispatch {

namespace {

// A step that has waited for less is not unusual beside a burst.
constexpr auto min_logged_wait = std::chrono::milliseconds(2500);
constexpr auto line_interval = std::chrono::seconds(2);
constexpr auto window = std::chrono::seconds(1);
constexpr std::size_t max_lines_per_window = 12;
constexpr auto lasting_after = std::chrono::seconds(3);
constexpr auto lasting_interval = std::chrono::seconds(5);

} // namespace

std::size_t wait_counts::total() const {
    return std::accumulate(m_counts.begin(), m_counts.end(), std::size_t{0});
}

std::string wait_counts::describe() const {
    std::string text;
    for (std::size_t i = 0; i < m_counts.size(); ++i) {
        if (m_counts[i] > 0) {
            text += (text.empty() ? "" : ",") +
                    std::string(wait_cause_names.name(static_cast<wait_cause>(i))) + ":" +
                    std::to_string(m_counts[i]);
        }
    }
    return text;
}

bool wait_log_limiter::admit(const task_key& step, common::time_point since,
                             common::time_point now) {
    if (now < since + min_logged_wait) {
        return false;
    }
    if (now >= m_window_end) {
        m_window_end = now + window;
        m_lines_in_window = 0;
        std::erase_if(m_last_lines,
                      [now](const auto& line) { return now >= line.second + line_interval; });
    }
    if (m_lines_in_window >= max_lines_per_window || m_last_lines.contains(step)) {
        return false;
    }
    ++m_lines_in_window;
    m_last_lines.emplace(step, now);
    return true;
}

bool lasting_state_log::is_due(common::time_point since, common::time_point now) {
    if (now < since + lasting_after || now < m_next_line) {
        return false;
    }
    m_next_line = now + lasting_interval;
    return true;
}

} // namespace buckthornspar::dispatch
