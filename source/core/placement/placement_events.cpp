#include "core/placement/feasibility.h"
#include "core/placement/placement_state.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::placement {

namespace {

/// Run time assumed for planning when a task declares none.
constexpr auto default_expected_run = std::chrono::minutes(10);

} // namespace

placement_engine::state::state(placement_settings settings)
    : m_settings(std::move(settings)),
      m_queue(m_tasks, m_quotas),
      m_scorers(m_settings.scorer, m_settings.seed) {
    for (std::size_t i = 0; i < m_policies.size(); ++i) {
        const std::string name(workload_kind_names.name(static_cast<workload_kind>(i)));
        m_policies[i] = policy_registry::instance().make(name, m_settings);
    }
}

void placement_engine::state::upsert_worker(const worker_info& info) {
    const worker_index worker = m_workers.upsert(info);
    m_scorers.worker_changed(m_workers, worker);
    m_fleet_changed = true;
    if (m_workers[worker].usable()) {
        record_freed_worker(worker);
    } else if (m_plan.uses(worker)) {
        drop_plan();
    }
}

void placement_engine::state::set_workload(workload_kind kind, const workload_settings& settings) {
    m_scorers.use(kind, settings.scorer, m_workers);
    workload_policy& changed = policy(kind);
    if (!changed.set_spread(settings.spread)) {
        return;
    }
    for (const task_entry& entry : m_tasks.entries()) {
        if (entry.phase == task_phase::allocated && entry.request.kind == kind) {
            changed.task_assigned(entry.request, entry.location);
        }
    }
}

void placement_engine::state::remove_worker(const std::string& id) {
    const auto worker = m_workers.find(id);
    if (!worker || !m_workers[*worker].present) {
        return;
    }
    if (m_plan.uses(*worker)) {
        drop_plan();
    }
    m_workers.remove(*worker);
    m_scorers.worker_changed(m_workers, *worker);
    m_fleet_changed = true;
}

void placement_engine::state::submit(task_request request) {
    if (policy(request.kind).starts_as_gang()) {
        submit_gang({std::move(request)});
        return;
    }
    const team_index team = m_quotas.team(request.team);
    enqueue(m_tasks.add(std::move(request), team));
}

void placement_engine::state::submit_gang(std::vector<task_request> requests) {
    if (requests.empty() || m_gangs.find(requests.front().job)) {
        throw common::usage_error("all-at-once job has no tasks or was already submitted");
    }
    for (const task_request& request : requests) {
        if (request.job != requests.front().job || m_tasks.find(request.task)) {
            throw common::usage_error("task " + request.task +
                                      " is already known or belongs to another job");
        }
    }
    const team_index team = m_quotas.team(requests.front().team);
    const gang_index gang = m_gangs.add(requests.front(), team);
    for (task_request& request : requests) {
        const task_index task = m_tasks.add(std::move(request), team);
        m_tasks[task].gang = gang;
        enqueue(task);
    }
}

bool placement_engine::state::withdraw(const std::string& name) {
    const auto task = m_tasks.find(name);
    if (!task || m_tasks[*task].phase != task_phase::waiting) {
        return false;
    }
    dequeue(*task);
    erase_task(*task);
    return true;
}

void placement_engine::state::confirm_started(const std::string& name, common::time_point now) {
    const auto task = m_tasks.find(name);
    if (task && m_tasks[*task].phase == task_phase::allocated) {
        m_tasks[*task].expected_end = expected_end(m_tasks[*task].request, now);
    }
}

void placement_engine::state::release(const std::string& name) {
    const auto task = m_tasks.find(name);
    if (!task) {
        return;
    }
    if (m_tasks[*task].phase == task_phase::allocated) {
        release_allocation(*task);
    } else {
        dequeue(*task);
    }
    erase_task(*task);
}

void placement_engine::state::requeue(const std::string& name) {
    const auto task = m_tasks.find(name);
    if (task && m_tasks[*task].phase == task_phase::allocated) {
        release_allocation(*task);
        enqueue(*task);
    }
}

void placement_engine::state::adopt_running(const std::string& worker_id,
                                            const task_request& request, common::time_point now) {
    const auto worker = m_workers.find(worker_id);
    if (!worker) {
        throw common::usage_error("worker " + worker_id + " is not known");
    }
    auto task = m_tasks.find(request.task);
    if (task && m_tasks[*task].phase == task_phase::allocated) {
        if (m_tasks[*task].worker == *worker) {
            confirm_started(request.task, now);
            return;
        }
        // The worker that reports the task as running takes precedence over the recorded
        // assignment.
        release_allocation(*task);
    } else if (task) {
        dequeue(*task);
    } else {
        const team_index team = m_quotas.team(request.team);
        task = m_tasks.add(request, team);
    }
    m_workers.allocate_existing(*worker, m_tasks[*task].request.demand);
    record_allocation(*task, *worker, now);
}

void placement_engine::state::enqueue(task_index task) {
    task_entry& entry = m_tasks[task];
    entry.phase = task_phase::waiting;
    if (entry.gang == no_gang) {
        apply_fleet_change();
        m_queue.push(task, !policy(entry.request.kind).depends_on_demand_only());
        return;
    }
    m_gangs[entry.gang].waiting.push_back(task);
    ++m_waiting_in_gangs;
    m_gangs_changed = true;
    m_gangs.update_order(entry.gang);
}

void placement_engine::state::dequeue(task_index task) {
    const task_entry& entry = m_tasks[task];
    if (m_plan.active() && m_plan.is_for(task)) {
        drop_plan();
    }
    if (entry.gang == no_gang) {
        m_queue.remove(task);
        return;
    }
    auto& waiting = m_gangs[entry.gang].waiting;
    waiting.erase(std::find(waiting.begin(), waiting.end(), task));
    --m_waiting_in_gangs;
    m_gangs_changed = true;
    // The plan reserves capacity for the previous set of tasks of the job.
    if (m_plan.active() && m_plan.gang() == entry.gang) {
        drop_plan();
    }
}

void placement_engine::state::erase_task(task_index task) {
    const gang_index gang = m_tasks[task].gang;
    m_tasks.erase(task);
    if (gang != no_gang) {
        m_gangs_changed = true;
        m_gangs.update_order(gang);
    }
}

void placement_engine::state::drop_plan() {
    m_plan.clear();
    m_next_plan = {};
    m_changes.plan_changed = true;
}

void placement_engine::state::allocate(task_index task, worker_index worker,
                                       common::time_point now) {
    m_workers.allocate(worker, m_tasks[task].request.demand);
    record_allocation(task, worker, now);
}

void placement_engine::state::record_allocation(task_index task, worker_index worker,
                                                common::time_point now) {
    task_entry& entry = m_tasks[task];
    entry.phase = task_phase::allocated;
    entry.worker = worker;
    entry.location = m_workers[worker].location;
    entry.expected_end = expected_end(entry.request, now);
    if (entry.gang != no_gang) {
        ++m_gangs[entry.gang].allocated;
        m_gangs.update_order(entry.gang);
    }
    m_scorers.worker_changed(m_workers, worker);
    m_quotas.charge(entry.team, entry.request.demand);
    m_queue.team_changed(entry.team, m_workers.usable_capacity());
    policy(entry.request.kind).task_assigned(entry.request, entry.location);
}

void placement_engine::state::release_allocation(task_index task) {
    task_entry& entry = m_tasks[task];
    policy(entry.request.kind).task_released(entry.request, entry.location);
    m_quotas.refund(entry.team, entry.request.demand);
    m_queue.team_changed(entry.team, m_workers.usable_capacity());
    if (m_quotas.limit(entry.team)) {
        m_changes.teams_with_headroom.push_back(entry.team);
    }
    m_workers.deallocate(entry.worker, entry.request.demand);
    m_scorers.worker_changed(m_workers, entry.worker);
    record_freed_worker(entry.worker);
    if (entry.gang != no_gang) {
        --m_gangs[entry.gang].allocated;
    }
}

void placement_engine::state::record_freed_worker(worker_index worker) {
    const worker_entry& entry = m_workers[worker];
    if (!entry.usable()) {
        return;
    }
    m_freed_workers.push_back(worker);
    m_capacity_freed = true;
    const resources free = entry.free();
    std::erase_if(m_failed_demands, [&](const resources& failed) { return failed.fits(free); });
}

common::time_point placement_engine::state::expected_end(const task_request& request,
                                                         common::time_point now) const {
    if (!policy(request.kind).has_expected_end()) {
        return common::time_point::max();
    }
    const common::duration run = request.expected_run.count() > 0
                                     ? request.expected_run
                                     : common::duration(default_expected_run);
    return now + run;
}

wait_reason placement_engine::state::explain(const std::string& name) const {
    const auto task = m_tasks.find(name);
    if (!task || m_tasks[*task].phase != task_phase::waiting) {
        return wait_reason::none;
    }
    if (m_workers.usable_count() == 0) {
        return wait_reason::no_workers;
    }
    const gang_index gang = m_tasks[*task].gang;
    if (gang != no_gang) {
        return m_gangs[gang].reason;
    }
    const wait_reason reason = m_queue.reason(*task);
    const bool outdated = reason != wait_reason::quota_exceeded &&
                          capacity_of_freed_workers().fits(m_tasks[*task].request.demand);
    return outdated ? wait_reason::queued : reason;
}

std::optional<gang_wait> placement_engine::state::explain_gang(const std::string& job) const {
    const auto gang = m_gangs.find(job);
    if (!gang || m_gangs[*gang].waiting.empty()) {
        return std::nullopt;
    }
    const gang_entry& entry = m_gangs[*gang];
    gang_wait wait;
    if (m_plan.active() && m_plan.gang() == *gang) {
        wait.planned_start = m_plan.start();
    }
    wait.latest_start = entry.submitted + m_settings.gang_wait_bound;
    wait.overdue = entry.overdue;
    return wait;
}

std::optional<infeasibility> placement_engine::state::check_feasible(const task_request& request,
                                                                     std::size_t task_count) const {
    const auto team = m_quotas.find(request.team);
    return check_demand(m_workers, team ? m_quotas.limit(*team) : std::nullopt, request,
                        task_count);
}

resources placement_engine::state::allocated(const std::string& id) const {
    const auto worker = m_workers.find(id);
    return worker ? m_workers[*worker].allocated : resources{};
}

} // namespace buckthornspar::placement
