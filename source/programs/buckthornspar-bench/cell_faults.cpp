// Fault injection of cell_simulation.

#include "cell_simulation.h"

#include <algorithm>

namespace buckthornspar::bench {

void cell_simulation::add_failure(common::time_point at, failure_extent extent,
                                  common::duration outage) {
    const bool whole_rack = extent == failure_extent::rack;
    schedule(at, whole_rack ? event_kind::rack_failure : event_kind::worker_failure, {},
             static_cast<std::uint64_t>(outage.count()));
}

void cell_simulation::add_faulty_worker(common::time_point at) {
    schedule(at, event_kind::fault);
}

void cell_simulation::add_cancellations(common::time_point at, std::size_t every_nth) {
    schedule(at, event_kind::cancellations, {}, every_nth);
}

void cell_simulation::add_owner_loss(common::time_point at, common::duration outage) {
    schedule(at, event_kind::owner_loss, {}, static_cast<std::uint64_t>(outage.count()));
}

void cell_simulation::process_worker_event(const event& e) {
    const common::duration outage(static_cast<std::int64_t>(e.number));
    if (e.kind == event_kind::worker_failure) {
        fail_busiest(failure_extent::worker, outage);
    } else if (e.kind == event_kind::rack_failure) {
        fail_busiest(failure_extent::rack, outage);
    } else if (e.kind == event_kind::failure_detection) {
        m_engine.remove_worker(e.name);
    } else if (e.kind == event_kind::lease_end) {
        requeue_tasks_of(e.name);
    } else if (e.kind == event_kind::recovery) {
        m_down.erase(e.name);
        m_engine.upsert_worker(m_workers.at(e.name));
    } else if (e.kind == event_kind::fault) {
        m_faulty.insert(busiest_worker());
    } else {
        update_exclusion(e.name);
    }
}

std::string cell_simulation::busiest_worker() const {
    std::map<std::string, std::size_t> running;
    for (const auto& [name, task] : m_tasks) {
        if (!task.worker.empty() && !m_down.contains(task.worker)) {
            ++running[task.worker];
        }
    }
    const auto most = std::max_element(running.begin(), running.end(),
                                       [](auto& a, auto& b) { return a.second < b.second; });
    return most == running.end() ? m_workers.begin()->first : most->first;
}

void cell_simulation::fail_busiest(failure_extent extent, common::duration outage) {
    const std::string busiest = busiest_worker();
    for (const auto& [id, worker] : m_workers) {
        const bool same_rack = worker.rack == m_workers.at(busiest).rack;
        if (id == busiest || (extent == failure_extent::rack && same_rack)) {
            fail(id);
            schedule(m_now + outage, event_kind::recovery, id);
        }
    }
}

void cell_simulation::fail(const std::string& worker) {
    m_down.insert(worker);
    for (auto& [name, task] : m_tasks) {
        // A new attempt number cancels the scheduled end of the task.
        task.attempt += task.worker == worker ? 1 : 0;
    }
    schedule(m_now + m_delays.failure_detection, event_kind::failure_detection, worker);
    schedule(m_now + m_delays.lease, event_kind::lease_end, worker);
}

void cell_simulation::requeue_tasks_of(const std::string& worker) {
    std::vector<std::string> lost;
    for (const auto& [name, task] : m_tasks) {
        if (task.worker == worker) {
            lost.push_back(name);
        }
    }
    // Iteration order of the hash table is unspecified; sorted order keeps the queue deterministic.
    std::sort(lost.begin(), lost.end());
    for (const std::string& name : lost) {
        unassign(m_tasks.at(name));
        m_engine.requeue(name);
    }
}

void cell_simulation::fail_task(const std::string& name, std::uint64_t attempt) {
    task_state& task = m_tasks.at(name);
    if (task.attempt != attempt) {
        return;
    }
    const std::string worker = task.worker;
    unassign(task);
    m_engine.requeue(name);
    (void)m_health.record_failure(worker, task.request.job, m_now);
    update_exclusion(worker);
}

void cell_simulation::update_exclusion(const std::string& worker) {
    placement::worker_info info = m_workers.at(worker);
    if (m_health.excluded(worker, m_now)) {
        info.state = placement::worker_state::quarantined;
    }
    m_engine.upsert_worker(info);
    if (const auto next = m_health.next_change(m_now)) {
        schedule(*next, event_kind::exclusion_end, worker);
    }
}

void cell_simulation::cancel(std::size_t every_nth) {
    std::vector<std::string> waiting;
    for (const auto& [name, task] : m_tasks) {
        if (task.submitted && task.worker.empty()) {
            waiting.push_back(name);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (std::size_t i = 0; i < waiting.size(); i += every_nth) {
        m_engine.withdraw(waiting[i]);
        m_tasks.erase(waiting[i]);
        if (m_on_cancellation) {
            m_on_cancellation(waiting[i], m_now);
        }
    }
}

} // namespace buckthornspar::bench
