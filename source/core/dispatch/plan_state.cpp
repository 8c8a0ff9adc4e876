#include "core/dispatch/plan_state.h"

#include "core/dispatch/capacity_fit.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// Declared durations are inaccurate: the estimates of tasks that backfill the gap before a planned
// start are multiplied by this factor.
constexpr double backfill_margin = 1.5;

} // namespace

plan_state::plan_state(std::vector<worker_free_capacity> free_capacities,
                       const plan_limits& plan_limits, common::time_point time)
    : capacities(std::move(free_capacities)),
      reservations(capacities.size()),
      limits(plan_limits),
      caps(plan_limits.caps),
      now(time),
      requested(capacities.size()) {}

const std::vector<bool>& plan_state::workers_of(const std::string& service) {
    const auto [position, added] = m_services.try_emplace(service);
    if (added) {
        for (const auto& capacity : capacities) {
            position->second.push_back(capacity.worker != nullptr &&
                                       capacity.worker->report.service == service);
        }
    }
    return position->second;
}

bool plan_state::is_eligible(const waiting_step& step, worker_slot w) const {
    if (!(*m_selected_service)[w] || capacities[w].worker == nullptr) {
        return false;
    }
    const auto& report = capacities[w].worker->report;
    return demand.fits(report.capacity) &&
           (step.spec->required_label.empty() || report.labels.contains(step.spec->required_label));
}

void plan_state::add_candidate(const waiting_step& step, worker_slot w,
                               const ticket_state* ticket) {
    ++result.candidates_examined;
    const bool room = demand.fits(capacities[w].free);
    if ((room || step.spec->gang || !has_eligible_workers) && is_eligible(step, w)) {
        has_eligible_workers = true;
        if (room || step.spec->gang) {
            candidates.push_back({w, ticket});
        }
    }
}

// Collects the workers that are known to be allowed by the queue's policy. Only these are examined,
// because a plan covers hundreds of steps and workers.
void plan_state::select(const waiting_step& step) {
    demand = step.spec->allocation();
    candidates.clear();
    has_eligible_workers = false;
    m_selected_service = &workers_of(step.queue->service);
    m_present_tasks.clear();
    if (step.spec->max_per_worker != 0) {
        for (const auto& [index, task] : step.state->tasks.own()) {
            if (task.current) {
                ++m_present_tasks[task.current->worker];
            }
        }
    }
    if (step.queue->needs_tickets) {
        for (const auto& ticket : step.state->tickets.granted) {
            if (ticket.worker < capacities.size()) {
                add_candidate(step, ticket.worker, &ticket);
            }
        }
        return;
    }
    if (is_rejected(step)) {
        return;
    }
    for (worker_slot w = 0; w < capacities.size(); ++w) {
        add_candidate(step, w, nullptr);
    }
    if (!step.spec->gang && candidates.empty()) {
        m_rejected.push_back({m_selected_service, step.spec->required_label, demand});
    }
}

// The free capacity only falls while a plan is made, so a demand that does not fit now is rejected
// for the rest of the plan.
bool plan_state::is_rejected(const waiting_step& step) const {
    return !step.spec->gang &&
           std::any_of(m_rejected.begin(), m_rejected.end(), [&](const rejected_demand& known) {
               return known.service == m_selected_service && known.demand.fits(demand) &&
                      known.label == step.spec->required_label;
           });
}

placement::resources plan_state::available_capacity(const waiting_step& step, worker_slot w) const {
    auto available = capacities[w].free;
    if (step.queue->priority == 0 || reservations[w].empty()) {
        return available;
    }
    const auto expected = std::chrono::milliseconds(step.spec->estimate_ms) * backfill_margin;
    const auto end = now + std::chrono::duration_cast<common::duration>(expected);
    for (const auto& reservation : reservations[w]) {
        if (end > reservation.until) {
            available -= reservation.amount;
        }
    }
    return available;
}

std::int64_t plan_state::remaining_tasks_on(const waiting_step& step, worker_slot w) const {
    if (step.spec->max_per_worker == 0) {
        return unlimited_tasks;
    }
    const auto found = m_present_tasks.find(capacities[w].worker->report.id);
    const auto present = found == m_present_tasks.end() ? 0 : found->second;
    return std::max<std::int64_t>(0, std::int64_t{step.spec->max_per_worker} - present);
}

std::int64_t plan_state::capacity_in_tasks(const waiting_step& step, worker_slot w) const {
    return std::min(count_fitting_tasks(demand, capacities[w].worker->report.capacity),
                    remaining_tasks_on(step, w));
}

std::int64_t plan_state::total_task_capacity(const waiting_step& step) const {
    std::int64_t tasks = 0;
    for (const auto& c : candidates) {
        tasks += capacity_in_tasks(step, c.worker);
    }
    return tasks;
}

bool plan_state::may_start(std::size_t count) const {
    const auto pending = limits.pending_starts + result.starts.size();
    const auto most = limits.max_pending_starts;
    return pending + count <= most || (count > most && pending <= most / 4);
}

void plan_state::withdraw(worker_slot w) {
    capacities[w].worker = nullptr;
    std::erase_if(candidates, [w](const worker_candidate& c) { return c.worker == w; });
}

void plan_state::start(const waiting_step& step, std::uint32_t index, worker_slot w,
                       std::uint32_t run) {
    planned_start planned;
    planned.task = step.step;
    planned.task.index = index;
    planned.worker = w;
    planned.run = run;
    if (const auto* const ticket = step.state->tickets.find(w)) {
        planned.ticket = ticket->ticket;
    }
    capacities[w].free -= demand;
    caps.take(step.customer, demand);
    started.insert(w);
    if (step.spec->max_per_worker != 0) {
        ++m_present_tasks[capacities[w].worker->report.id];
    }
    result.starts.push_back(std::move(planned));
}

} // namespace buckthornspar::dispatch
