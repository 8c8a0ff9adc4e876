#include "cell_simulation.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornspar::bench {

using placement::resources;

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

double largest_share(const resources& demand, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return std::max(share(demand.cpu_milli, capacity.cpu_milli),
                    share(demand.memory_mb, capacity.memory_mb));
}

void cell_simulation::add_task(placement::task_request request, common::duration real_run) {
    const std::string name = request.task;
    m_events.emplace(request.submitted, event{event_kind::submission, name});
    m_tasks[name] = {std::move(request), real_run, {}};
}

void cell_simulation::add_failure(common::time_point at, const placement::worker_info& worker,
                                  common::duration outage) {
    m_failing[worker.id] = worker;
    m_events.emplace(at, event{event_kind::failure, worker.id});
    m_events.emplace(at + outage, event{event_kind::recovery, worker.id});
}

common::time_point cell_simulation::run() {
    while (!m_events.empty()) {
        m_now = m_events.begin()->first;
        while (!m_events.empty() && m_events.begin()->first == m_now) {
            const event next = m_events.begin()->second;
            m_events.erase(m_events.begin());
            process(next);
        }
        decide();
    }
    return m_now;
}

void cell_simulation::process(const event& e) {
    if (e.kind == event_kind::submission) {
        m_engine.submit(m_tasks.at(e.name).request);
    } else if (e.kind == event_kind::failure) {
        fail(e.name);
    } else if (e.kind == event_kind::recovery) {
        m_engine.upsert_worker(m_failing.at(e.name));
    } else {
        const auto task = m_tasks.find(e.name);
        if (task != m_tasks.end() && task->second.attempt == e.attempt) {
            m_engine.release(e.name, m_now);
            m_tasks.erase(task);
        }
    }
}

void cell_simulation::fail(const std::string& worker) {
    m_engine.remove_worker(worker);
    std::vector<std::string> lost;
    for (auto& [name, task] : m_tasks) {
        if (task.worker == worker) {
            lost.push_back(name);
        }
    }
    // The order of a hash table must not decide the order of the queue.
    std::sort(lost.begin(), lost.end());
    for (const std::string& name : lost) {
        running_task& task = m_tasks.at(name);
        ++task.attempt;
        task.worker.clear();
        m_engine.requeue(name);
    }
}

void cell_simulation::decide() {
    const auto made = m_engine.decide(m_now, std::numeric_limits<std::size_t>::max());
    for (const placement::assignment& a : made.tasks) {
        start(a);
    }
    for (const placement::gang_assignment& gang : made.gangs) {
        for (const placement::assignment& a : gang.tasks) {
            start(a);
        }
    }
}

void cell_simulation::start(const placement::assignment& a) {
    running_task& task = m_tasks.at(a.task);
    task.worker = a.worker;
    ++m_starts;
    m_engine.confirm_started(a.task, m_now);
    m_events.emplace(m_now + task.real_run, event{event_kind::end, a.task, task.attempt});
    if (m_on_start) {
        m_on_start(a.task, m_now);
    }
}

} // namespace buckthornspar::bench
