#include "soak/twice_check.h"

namespace buckthornspar::soak {

namespace {

std::string describe(const run_event& run) {
    return "run " + std::to_string(run.run) + " on " + run.worker + " (fence " +
           std::to_string(run.fence) + ", " + std::to_string(run.at_ms) + " ms)";
}

bool is_same_run(const run_event& one, const run_event& other) {
    return one.worker == other.worker && one.run == other.run;
}

} // namespace

void twice_check::begin(const run_event& run) {
    ++m_starts;
    auto& task = m_tasks[run.task];
    for (const auto& other : task.active) {
        m_violations.push_back("two runs at once of " + run.task + ": " + describe(run) +
                               " beside " + describe(other));
    }
    for (const auto& end : task.done) {
        if (end.acknowledged) {
            report_start_after(run, end.run);
        }
    }
    task.active.push_back(run);
    task.begun.push_back(run);
}

void twice_check::end(const run_event& run, bool done) {
    auto& task = m_tasks[run.task];
    std::erase_if(task.active, [&](const auto& active) { return is_same_run(active, run); });
    if (done) {
        task.done.push_back({run});
    }
}

void twice_check::acknowledge(const run_event& run) {
    auto& task = m_tasks[run.task];
    for (auto& end : task.done) {
        if (!is_same_run(end.run, run) || !end.valid || end.acknowledged) {
            continue;
        }
        end.acknowledged = true;
        ++m_acknowledged_ends;
        for (const auto& start : task.begun) {
            if (start.at_ms > end.run.at_ms) {
                report_start_after(start, end.run);
            }
        }
    }
}

void twice_check::lapse(const std::string& worker) {
    void_open_ends(worker);
}

void twice_check::crash(const std::string& worker) {
    void_open_ends(worker);
    for (auto& [name, task] : m_tasks) {
        std::erase_if(task.active, [&](const auto& active) { return active.worker == worker; });
    }
}

void twice_check::void_open_ends(const std::string& worker) {
    for (auto& [name, task] : m_tasks) {
        for (auto& end : task.done) {
            if (end.run.worker == worker && !end.acknowledged) {
                end.valid = false;
            }
        }
    }
}

void twice_check::report_start_after(const run_event& start, const run_event& end) {
    m_violations.push_back("start after an acknowledged end of " + start.task + ": " +
                           describe(start) + " after the end of " + describe(end));
}

} // namespace buckthornspar::soak
