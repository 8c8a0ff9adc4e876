#include "core/dispatch/plan_state.h"

#include "core/dispatch/capacity_fit.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// Declared durations are inaccurate: the estimates of tasks that backfill the gap before a planned
// start are multiplied by this factor.
constexpr double backfill_margin = 1.5;

// Jobs with more than this part of all runs leave a part of them to others.
constexpr std::size_t large_job_divisor = 64;
constexpr std::size_t kept_runs_divisor = 4;

// What exceeds the limit by itself need not wait until nothing is pending.
template <typename Number>
bool is_within(Number pending, Number added, Number most) {
    return pending + added <= most || (added > most && pending <= most / 4);
}

} // namespace

plan_state::plan_state(std::vector<worker_free_capacity> free_capacities,
                       const plan_limits& plan_limits, common::time_point time)
    : capacities(std::move(free_capacities)),
      reservations(capacities.size()),
      limits(plan_limits),
      caps(plan_limits.caps),
      now(time),
      requested(capacities.size()),
      preference(plan_limits.learnt, capacities.size()) {
    for (const auto& known : limits.holds) {
        if (known.until <= now) {
            continue;
        }
        const auto& held = m_holds.emplace_back(known);
        for (const auto& [w, tasks] : held.workers) {
            if (w < reservations.size()) {
                reservations[w].push_back({held.demand * tasks, now, &held.step});
            }
        }
    }
}

const gang_hold* plan_state::find_hold(const waiting_step& step) const {
    const auto found = std::find_if(m_holds.begin(), m_holds.end(), [&step](const gang_hold& held) {
        return held.step == step.step;
    });
    return found == m_holds.end() ? nullptr : &*found;
}

bool plan_state::is_held_on(const waiting_step& step, worker_slot w) const {
    return std::any_of(reservations[w].begin(), reservations[w].end(),
                       [&step](const capacity_reservation& reservation) {
                           return reservation.holder != nullptr && *reservation.holder == step.step;
                       });
}

void plan_state::hold(const waiting_step& step, const tasks_by_worker& workers,
                      common::time_point until) {
    if (const auto* const known = find_hold(step)) {
        until = known->until;
        release(step);
    }
    const auto& held = m_holds.emplace_back(gang_hold{step.step, demand, workers, until});
    for (const auto& [w, tasks] : workers) {
        reservations[w].push_back({demand * tasks, now, &held.step});
    }
}

void plan_state::release(const waiting_step& step) {
    const auto* const held = find_hold(step);
    if (held == nullptr) {
        return;
    }
    for (const auto& [w, tasks] : held->workers) {
        if (w < reservations.size()) {
            std::erase_if(reservations[w], [held](const capacity_reservation& reservation) {
                return reservation.holder == &held->step;
            });
        }
    }
    m_holds.remove_if([held](const gang_hold& other) { return &other == held; });
}

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
    start_memory = step.start_memory;
    job_runs = step.job_runs;
    starts_before = result.starts.size();
    const auto opened = m_opened.find(step.step.job);
    open_tasks = step.open_tasks + (opened == m_opened.end() ? 0 : opened->second);
    excess = step.excess;
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
    if ((step.queue->priority == 0 && !step.excess) || reservations[w].empty()) {
        return available;
    }
    const auto expected = std::chrono::milliseconds(step.spec->estimate_ms) * backfill_margin;
    const auto end = now + std::chrono::duration_cast<common::duration>(expected);
    for (const auto& reservation : reservations[w]) {
        const bool own = reservation.holder != nullptr && *reservation.holder == step.step;
        if (end > reservation.until && !own) {
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
    const auto most = limits.max_pending_starts - (excess ? limits.starts_kept : 0);
    const auto memory = static_cast<std::int64_t>(count) * start_memory;
    return result.starts.size() < limits.max_starts &&
           is_within(limits.pending_starts + result.starts.size(), count, most) &&
           is_within(limits.pending_start_memory + m_planned_start_memory, memory,
                     limits.max_start_memory) &&
           may_hold(count);
}

// What exceeds the limit by itself, a gang, opens alone: its members mostly share a row.
bool plan_state::may_open(std::size_t count) const {
    return count == 0 || open_tasks == 0 || open_tasks + count <= limits.max_open_tasks;
}

// A few jobs with many small tasks must not keep all others from running.
bool plan_state::may_hold(std::size_t count) const {
    const auto of_job = job_runs + result.starts.size() - starts_before + count;
    const bool large = of_job > limits.max_runs / large_job_divisor;
    const auto most = limits.max_runs - (large ? limits.max_runs / kept_runs_divisor : 0);
    return limits.runs + result.starts.size() + count <= most;
}

bool plan_state::is_launched(const waiting_step& step) const {
    const auto memory = std::int64_t{step.spec->count} * step.start_memory;
    return step.spec->count > limits.largest_gang || memory > limits.largest_gang_memory;
}

void plan_state::launch(const waiting_step& step, const tasks_by_worker& workers,
                        std::uint32_t run) {
    auto& planned = result.launch.emplace(planned_launch{step.step, run, demand, {}});
    std::uint32_t index = 0;
    for (const auto& [w, count] : workers) {
        const auto first = index;
        index += static_cast<std::uint32_t>(count);
        planned.parts.push_back({w, first, index});
        capacities[w].free -= demand * count;
        caps.take(step.customer, demand * count);
        preference.note_start(*step.spec, *step.queue, *capacities[w].worker);
        started.insert(w);
    }
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
    preference.note_start(*step.spec, *step.queue, *capacities[w].worker);
    started.insert(w);
    if (step.spec->max_per_worker != 0) {
        ++m_present_tasks[capacities[w].worker->report.id];
    }
    m_planned_start_memory += start_memory;
    if (!step.state->tasks.own().contains(index)) {
        ++m_opened[step.step.job];
        ++open_tasks;
    }
    result.starts.push_back(std::move(planned));
}

} // namespace buckthornspar::dispatch
