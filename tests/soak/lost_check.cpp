#include "soak/lost_check.h"

#include <algorithm>

namespace buckthornspar::soak {

namespace {

constexpr std::size_t max_attempts = 3;
constexpr int crashes_to_give_up = 2;
constexpr std::int64_t visible_ms = 3000;
constexpr std::int64_t wait_ms = 3000;
constexpr std::size_t room_factor = 2;
/// A state is kept for 120 s after the end, which may be some time before it is first shown.
constexpr std::int64_t kept_ms = 60'000;

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

bool is_same_run(const run_event& one, const run_event& other) {
    return one.worker == other.worker && one.task == other.task && one.run == other.run;
}

} // namespace

void lost_check::accept(const std::string& job, std::size_t tasks, std::int64_t at_ms) {
    auto& history = m_jobs[job];
    history.tasks = tasks;
    history.accepted_ms = at_ms;
}

void lost_check::show(const std::string& job, const std::string& state, std::int64_t at_ms) {
    if (state != "completed" && state != "failed" && state != "cancelled") {
        return;
    }
    auto& history = m_jobs[job];
    history.final_ms = history.final_ms.value_or(at_ms);
    const auto has_cause = [](const auto& task) { return task.second >= crashes_to_give_up; };
    const bool may_fail = history.failed_runs.size() >= max_attempts ||
                          std::any_of(history.crashes.begin(), history.crashes.end(), has_cause);
    if (state == "cancelled" || (state == "failed" && !may_fail)) {
        report(history, "shown as " + state + " without a cause",
               job + ", " + std::to_string(history.failed_runs.size()) + " runs have failed");
    }
}

void lost_check::show_unknown(const std::string& job, std::int64_t at_ms) {
    auto& history = m_jobs[job];
    const bool may_be_gone = history.final_ms && at_ms > *history.final_ms + kept_ms;
    if (history.accepted_ms && at_ms > *history.accepted_ms + visible_ms && !may_be_gone) {
        report(history, "is unknown",
               job + ", " + std::to_string(at_ms - *history.accepted_ms) +
                   " ms after its acceptance");
    }
}

void lost_check::begin(const run_event& run) {
    m_jobs[job_of(run.task)].active.push_back(run);
}

void lost_check::end(const run_event& run, const std::string& how) {
    auto& job = m_jobs[job_of(run.task)];
    std::erase_if(job.active, [&](const auto& active) { return is_same_run(active, run); });
    if (how == "failed") {
        job.failed_runs.insert(run.run);
    }
    if (how == "done") {
        job.done.push_back({run});
    }
}

void lost_check::acknowledge(const run_event& run) {
    for (auto& end : m_jobs[job_of(run.task)].done) {
        end.acknowledged = end.acknowledged || is_same_run(end.run, run);
    }
}

// An end that is not acknowledged before the lease lapses, or the worker crashes, does not count.
void lost_check::lapse(const std::string& worker) {
    for (auto& [id, job] : m_jobs) {
        std::erase_if(job.done, [&](const auto& end) {
            return end.run.worker == worker && !end.acknowledged;
        });
    }
}

void lost_check::crash(const std::string& worker) {
    lapse(worker);
    for (auto& [id, job] : m_jobs) {
        for (const auto& run : job.active) {
            job.crashes[run.task] += run.worker == worker ? 1 : 0;
        }
        std::erase_if(job.active, [&](const auto& run) { return run.worker == worker; });
    }
}

void lost_check::watch(const room& places, std::int64_t at_ms) {
    for (auto& [id, job] : m_jobs) {
        const bool waits = job.accepted_ms && !job.final_ms && job.done.empty() &&
                           job.active.empty() && places(id) >= room_factor * job.tasks;
        if (!waits) {
            job.waits_since_ms.reset();
            continue;
        }
        job.waits_since_ms = job.waits_since_ms.value_or(at_ms);
        if (at_ms >= *job.waits_since_ms + wait_ms) {
            report(job, "has nothing running",
                   id + ", " + std::to_string(job.tasks) + " tasks, from " +
                       std::to_string(*job.waits_since_ms) + " ms on");
        }
    }
}

std::vector<std::string> lost_check::open_jobs() const {
    std::vector<std::string> open;
    for (const auto& [id, job] : m_jobs) {
        if (job.accepted_ms && !job.final_ms) {
            open.push_back(id);
        }
    }
    return open;
}

// Each kind is reported once for a job, which may be asked for again and again.
void lost_check::report(job_history& job, const std::string& what, const std::string& detail) {
    if (job.reported.insert(what).second) {
        m_violations.push_back("job " + what + ": " + detail);
    }
}

} // namespace buckthornspar::soak
