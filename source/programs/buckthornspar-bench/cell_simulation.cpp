#include "cell_simulation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornspar::bench {

using placement::resources;

namespace {

/// Time from the start of a task until a faulty worker fails it.
constexpr auto task_failure_delay = std::chrono::milliseconds(100);
/// CPU capacity of a worker, for the slowdown of overcommitted workers.
constexpr double worker_cpu_milli = 64 * cores;

} // namespace

std::vector<placement::worker_info> make_workers(std::size_t count, const resources& capacity,
                                                 const std::string& prefix) {
    constexpr std::size_t workers_per_rack = 8;
    std::vector<placement::worker_info> workers;
    for (std::size_t i = 0; i < count; ++i) {
        placement::worker_info info;
        info.id = prefix + std::to_string(i);
        info.region = "region";
        info.place = "place";
        info.rack = prefix + "rack" + std::to_string(i / workers_per_rack);
        info.capacity = capacity;
        workers.push_back(info);
    }
    return workers;
}

resources mixed_demand(common::rng& random) {
    const auto between = [&random](double low, double high) {
        return low + (high - low) * random.unit();
    };
    double cpu = 0;
    double memory_per_core = 2;
    const double kind = random.unit();
    if (kind < 0.15) {
        cpu = between(0.25, 1);
        memory_per_core = between(1, 4);
    } else if (kind < 0.55) {
        cpu = between(0.5, 4);
    } else if (kind < 0.75) {
        cpu = between(2, 12);
        memory_per_core = between(0.5, 1.5);
    } else if (kind < 0.95) {
        cpu = between(1, 6);
        memory_per_core = between(3, 6);
    } else {
        cpu = between(8, 24);
    }
    return {static_cast<std::int64_t>(cpu * cores),
            static_cast<std::int64_t>(cpu * memory_per_core * gigabytes), 0};
}

double dominant_share(const resources& demand, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return std::max(share(demand.cpu_milli, capacity.cpu_milli),
                    share(demand.memory_mb, capacity.memory_mb));
}

void cell_simulation::schedule(common::time_point at, event_kind kind, const std::string& name,
                               std::uint64_t number) {
    m_events.emplace(at, event{kind, name, number});
}

void cell_simulation::add_workers(const std::vector<placement::worker_info>& workers) {
    for (const placement::worker_info& worker : workers) {
        m_workers[worker.id] = worker;
        m_engine.upsert_worker(worker);
    }
}

void cell_simulation::add_task(placement::task_request request, const actual_usage& actual) {
    const std::string name = request.task;
    schedule(request.submitted + m_delays.submission, event_kind::submission, name);
    m_tasks[name] = {std::move(request), actual, {}};
}

common::time_point cell_simulation::run() {
    while (!m_events.empty()) {
        m_now = m_events.begin()->first;
        while (!m_events.empty() && m_events.begin()->first == m_now) {
            const event next = m_events.begin()->second;
            m_events.erase(m_events.begin());
            if (waits_for_owner(next.kind)) {
                schedule(m_owner_return_time, next.kind, next.name, next.number);
            } else {
                process(next);
            }
        }
        if (m_now >= m_owner_return_time) {
            decide();
        }
    }
    return m_now;
}

bool cell_simulation::waits_for_owner(event_kind kind) const {
    const bool handled_without_owner = kind == event_kind::submission ||
                                       kind == event_kind::worker_failure ||
                                       kind == event_kind::rack_failure ||
                                       kind == event_kind::fault || kind == event_kind::owner_loss;
    return m_now < m_owner_return_time && !handled_without_owner;
}

void cell_simulation::process(const event& e) {
    switch (e.kind) {
    case event_kind::cancellations:
        return cancel(e.number);
    case event_kind::owner_loss:
        m_owner_return_time = m_now + common::duration(static_cast<std::int64_t>(e.number));
        return schedule(m_owner_return_time, event_kind::owner_return);
    case event_kind::owner_return:
        return;
    case event_kind::acceptance:
        return e.number == m_acceptance_number ? accept() : void();
    case event_kind::submission:
    case event_kind::end:
    case event_kind::task_failure:
        return process_task_event(e);
    default:
        return process_worker_event(e);
    }
}

void cell_simulation::process_task_event(const event& e) {
    if (e.kind == event_kind::submission) {
        submit(e.name);
    } else if (e.kind == event_kind::end) {
        end(e.name, e.number);
    } else {
        fail_task(e.name, e.number);
    }
}

void cell_simulation::submit(const std::string& task) {
    if (!m_acceptance) {
        m_tasks.at(task).submitted = true;
        m_engine.submit(m_tasks.at(task).request);
    } else if (!m_acceptance->add(task, m_now)) {
        refuse(task);
    } else {
        schedule_acceptance(m_now);
    }
}

void cell_simulation::schedule_acceptance(common::time_point at) {
    if (!m_acceptance_due || at < *m_acceptance_due) {
        m_acceptance_due = at;
        schedule(at, event_kind::acceptance, {}, ++m_acceptance_number);
    }
}

void cell_simulation::refuse(const std::string& task) {
    schedule(m_now + m_delays.resubmission, event_kind::submission, task);
    if (m_on_refusal) {
        m_on_refusal(task, m_now);
    }
}

void cell_simulation::accept() {
    m_acceptance_due.reset();
    const auto result = m_acceptance->step(m_now);
    for (const std::string& task : result.accepted) {
        m_tasks.at(task).submitted = true;
        m_engine.submit(m_tasks.at(task).request);
    }
    for (const std::string& task : result.refused) {
        refuse(task);
    }
    if (const auto next = m_acceptance->next_step()) {
        schedule_acceptance(*next);
    }
}

void cell_simulation::decide() {
    const auto decisions = m_engine.decide(m_now, std::numeric_limits<std::size_t>::max());
    for (const placement::assignment& a : decisions.tasks) {
        start(a);
    }
    for (const placement::gang_assignment& gang : decisions.gangs) {
        for (const placement::assignment& a : gang.tasks) {
            start(a);
        }
    }
}

void cell_simulation::start(const placement::assignment& a) {
    task_state& task = m_tasks.at(a.task);
    task.worker = a.worker;
    ++m_starts;
    m_engine.confirm_started(a.task, m_now);
    const auto started = m_now + m_delays.start;
    const common::duration run = run_time_on(a.worker, task.actual);
    if (m_down.contains(a.worker)) {
        return;
    }
    if (m_faulty.contains(a.worker)) {
        schedule(started + task_failure_delay, event_kind::task_failure, a.task, task.attempt);
        return;
    }
    schedule(started + run, event_kind::end, a.task, task.attempt);
    if (m_on_start) {
        m_on_start(a.task, started);
    }
}

common::duration cell_simulation::run_time_on(const std::string& worker,
                                              const actual_usage& actual) {
    if (actual.cpu_milli == 0) {
        return actual.run_time;
    }
    std::int64_t& used = m_used_cpu[worker];
    used += actual.cpu_milli;
    const double slowdown = std::max(1.0, static_cast<double>(used) / worker_cpu_milli);
    return common::duration(
        static_cast<std::int64_t>(slowdown * static_cast<double>(actual.run_time.count())));
}

void cell_simulation::end(const std::string& name, std::uint64_t attempt) {
    const auto task = m_tasks.find(name);
    if (task == m_tasks.end() || task->second.attempt != attempt) {
        return;
    }
    if (!m_faulty.empty()) {
        m_health.record_success(task->second.worker, task->second.request.job);
        m_health.forget_job(task->second.request.job);
    }
    unassign(task->second);
    m_engine.release(name, m_now);
    m_tasks.erase(task);
}

void cell_simulation::unassign(task_state& task) {
    if (task.actual.cpu_milli > 0) {
        m_used_cpu[task.worker] -= task.actual.cpu_milli;
    }
    task.worker.clear();
    ++task.attempt;
}

} // namespace buckthornspar::bench
