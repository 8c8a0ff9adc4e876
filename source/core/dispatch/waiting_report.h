#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/dispatch/job.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace buckthornspar::dispatch {

/// Why no task of a step that is due has been placed.
enum class wait_cause {
    recovery,      ///< a former owner's runs of the job may exist on workers that do not answer
    unknown_queue, ///< the configuration has no queue of this name
    delayed, ///< the tasks wait after a refused start, or a gang after a launch that took too long
    suspected,    ///< the tasks may have crashed a worker
    start_limit,  ///< too many starts have no response
    run_limit,    ///< the owner holds as many runs as it may
    record_limit, ///< as many tasks of the job run or have failed as its record may name
    tickets,      ///< tickets are missing or have expired
    capacity,     ///< the workers that may run the step have too little free capacity
    cap,          ///< the customer runs as much as its cap allows
    share,        ///< the customer exceeds its rate, and others go first
};
inline constexpr common::name_table<wait_cause, 11> wait_cause_names{
    "wait cause",
    {"recovery", "unknown_queue", "delayed", "suspected", "start_limit", "run_limit",
     "record_limit", "tickets", "capacity", "cap", "share"}};

/// Number of waiting steps, or jobs, by cause.
class wait_counts {
public:
    void add(wait_cause cause, std::size_t count = 1) {
        m_counts[static_cast<std::size_t>(cause)] += count;
    }
    [[nodiscard]] std::size_t of(wait_cause cause) const {
        return m_counts[static_cast<std::size_t>(cause)];
    }
    [[nodiscard]] std::size_t total() const;
    /// "cause:count" of all causes with a count, separated by commas.
    [[nodiscard]] std::string describe() const;

private:
    std::array<std::size_t, decltype(wait_cause_names)::size()> m_counts{};
};

/// Selects the waiting steps of which a log line is written: those that have waited for long, each
/// once in a while, and a limited number in total.
class wait_log_limiter {
public:
    /// Whether a line may be written for the step, which has waited since the given time.
    [[nodiscard]] bool admit(const task_key& step, common::time_point since,
                             common::time_point now);

private:
    std::map<task_key, common::time_point> m_last_lines;
    common::time_point m_window_end;
    std::size_t m_lines_in_window = 0;
};

/// Selects the moments at which a state that should not last is logged: first once it has lasted
/// for 3 s, then every 5 s.
class lasting_state_log {
public:
    [[nodiscard]] bool is_due(common::time_point since, common::time_point now);

private:
    common::time_point m_next_line;
};

} // namespace buckthornspar::dispatch
