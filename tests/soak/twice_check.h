#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornspar::soak {

/// A run of a task on a worker.
struct run_event {
    std::string worker;
    std::string task;
    std::uint32_t run = 0;
    /// Fence of the order that started it.
    std::uint64_t fence = 0;
    std::int64_t at_ms = 0;
};

/// Checks that no task runs twice: a task must not be at work on two workers that are up, and must
/// not start after one of its runs has ended as done, if that end is acknowledged by an owner at
/// any time. An end does not count when the lease of its worker lapses before the acknowledgement.
class twice_check {
public:
    void begin(const run_event& run);
    void end(const run_event& run, bool done);
    void acknowledge(const run_event& run);
    /// The lease of the worker has lapsed: its ends that are not acknowledged do not count.
    void lapse(const std::string& worker);
    /// The worker has crashed: its runs are gone, and its ends cannot be acknowledged any more.
    void crash(const std::string& worker);

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    [[nodiscard]] std::size_t acknowledged_ends() const { return m_acknowledged_ends; }

private:
    struct done_end {
        run_event run;
        bool acknowledged = false;
        bool valid = true;
    };
    struct task_history {
        std::vector<run_event> active;
        std::vector<run_event> begun;
        std::vector<done_end> done;
    };

    void void_open_ends(const std::string& worker);
    void report_start_after(const run_event& start, const run_event& end);

    std::map<std::string, task_history> m_tasks;
    std::vector<std::string> m_violations;
    std::size_t m_starts = 0;
    std::size_t m_acknowledged_ends = 0;
};

} // namespace buckthornspar::soak
