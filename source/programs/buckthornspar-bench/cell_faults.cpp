// The faults of a cell_simulation.

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

void cell_simulation::add_cancellations(common::time_point at, std::size_t one_of) {
    schedule(at, event_kind::cancellations, {}, one_of);
}

void cell_simulation::add_owner_loss(common::time_point at, common::duration outage) {
    schedule(at, event_kind::owner_loss, {}, static_cast<std::uint64_t>(outage.count()));
}

void cell_simulation::process_worker_event(const event& e) {
    const common::duration length(static_cast<std::int64_t>(e.number));
    if (e.kind == event_kind::worker_failure) {
        fail_busiest(failure_extent::worker, length);
    } else if (e.kind == event_kind::rack_failure) {
        fail_busiest(failure_extent::rack, length);
    } else if (e.kind == event_kind::failure_notice) {
        m_engine.remove_worker(e.name);
    } else if (e.kind == event_kind::lease_end) {
        requeue_lost(e.name);
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
    const std::string chosen = busiest_worker();
    for (const auto& [id, worker] : m_workers) {
        const bool same_rack = worker.rack == m_workers.at(chosen).rack;
        if (id == chosen || (extent == failure_extent::rack && same_rack)) {
            fail(id);
            schedule(m_now + outage, event_kind::recovery, id);
        }
    }
}

void cell_simulation::fail(const std::string& worker) {
    m_down.insert(worker);
    for (auto& [name, task] : m_tasks) {
        // Its end, if one is scheduled, does not happen.
        task.attempt += task.worker == worker ? 1 : 0;
    }
    schedule(m_now + m_delays.failure_notice, event_kind::failure_notice, worker);
    schedule(m_now + m_delays.lease, event_kind::lease_end, worker);
}

void cell_simulation::requeue_lost(const std::string& worker) {
    std::vector<std::string> lost;
    for (const auto& [name, task] : m_tasks) {
        if (task.worker == worker) {
            lost.push_back(name);
        }
    }
    // The order of a hash table must not decide the order of the queue.
    std::sort(lost.begin(), lost.end());
    for (const std::string& name : lost) {
        leave_worker(m_tasks.at(name));
        m_engine.requeue(name);
    }
}

void cell_simulation::fail_task(const std::string& name, std::uint64_t attempt) {
    running_task& task = m_tasks.at(name);
    if (task.attempt != attempt) {
        return;
    }
    const std::string worker = task.worker;
    leave_worker(task);
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

void cell_simulation::cancel(std::size_t one_of) {
    std::vector<std::string> waiting;
    for (const auto& [name, task] : m_tasks) {
        if (task.submitted && task.worker.empty()) {
            waiting.push_back(name);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (std::size_t i = 0; i < waiting.size(); i += one_of) {
        m_engine.withdraw(waiting[i]);
        m_tasks.erase(waiting[i]);
        if (m_on_cancellation) {
            m_on_cancellation(waiting[i], m_now);
        }
    }
}

} // namespace buckthornspar::bench
