#include "core/dispatch/plan_state.h"

#include "core/dispatch/capacity_fit.h"

#include <algorithm>

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
      now(time) {}

bool plan_state::is_eligible(const waiting_step& step, const worker_free_capacity& capacity) const {
    if (capacity.worker == nullptr) {
        return false;
    }
    const auto& report = capacity.worker->report;
    return report.service == step.queue->service &&
           (step.spec->required_label.empty() ||
            report.labels.contains(step.spec->required_label)) &&
           demand.fits(report.capacity);
}

// Collects the workers that are known to be allowed by the queue's policy. Only these are examined,
// because a plan covers hundreds of steps and workers.
void plan_state::select(const waiting_step& step) {
    demand = step.spec->allocation();
    candidates.clear();
    result.candidates_examined +=
        step.queue->needs_tickets ? step.state->tickets.granted.size() : capacities.size();
    if (!step.queue->needs_tickets) {
        for (worker_slot w = 0; w < capacities.size(); ++w) {
            if (is_eligible(step, capacities[w])) {
                candidates.push_back({w, nullptr});
            }
        }
        return;
    }
    for (const auto& ticket : step.state->tickets.granted) {
        if (ticket.worker < capacities.size() && is_eligible(step, capacities[ticket.worker])) {
            candidates.push_back({ticket.worker, &ticket});
        }
    }
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
    std::int64_t present = 0;
    for (const auto& task : step.state->tasks) {
        if (task.current && task.current->worker == capacities[w].worker->report.id) {
            ++present;
        }
    }
    const auto added = m_planned_tasks.find({step.step, w});
    if (added != m_planned_tasks.end()) {
        present += added->second;
    }
    return std::max<std::int64_t>(0, std::int64_t{step.spec->max_per_worker} - present);
}

bool plan_state::may_start(std::size_t count) const {
    const auto pending = limits.pending_starts + result.starts.size();
    const auto most = limits.max_pending_starts;
    return pending + count <= most || (count > most && pending <= most / 4);
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
    if (step.spec->max_per_worker != 0) {
        ++m_planned_tasks[{step.step, w}];
    }
    result.starts.push_back(std::move(planned));
}

} // namespace buckthornspar::dispatch
