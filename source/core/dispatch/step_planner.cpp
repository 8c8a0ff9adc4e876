#include "core/dispatch/step_planner.h"

#include "core/dispatch/preemption.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

using placement::resources;

// Maximum number of blocked gangs with reservations. Reservations for more of them would leave the
// workers idle.
constexpr std::size_t max_reserved_gangs = 3;
// Maximum number of gangs that hold room for which no node can request tickets now.
constexpr std::size_t max_unasked_gangs = 3;
// A run that has exceeded its estimate is expected to end this much later than now.
constexpr auto overrun_allowance = std::chrono::milliseconds(700);
// Time within which a worker ends a stopped run.
constexpr common::duration stop_time = std::chrono::milliseconds(900);

// Room is kept for a gang for this time after the first stop for it: for the stops, a request for
// tickets and its repetition. Without it, steps that come first in the next plans would take what
// the stops have freed, and the gang would stop further runs each time.
constexpr common::duration hold_time = std::chrono::milliseconds(3000);
// Gangs for which one plan stops runs, when they keep the room; the search costs processor time.
constexpr std::size_t max_preempting_gangs = 2;
// Gangs for which room is kept at a time. It is idle meanwhile.
constexpr std::size_t max_held_gangs = 16;

// Tasks of the step that have not been started yet.
std::size_t new_tasks(const waiting_step& step) {
    const auto& tasks = step.state->tasks;
    return tasks.size() - tasks.own().size();
}

std::vector<worker_slot> workers_of(const tasks_by_worker& tasks) {
    std::vector<worker_slot> workers;
    for (const auto& entry : tasks) {
        workers.push_back(entry.first);
    }
    return workers;
}

} // namespace

bool step_planner::plan(const waiting_step& step) {
    m_cap_effect = m_caps.check(step);
    if (m_cap_effect != cap_effect::none) {
        return false;
    }
    const auto before = m_plan.result.starts.size();
    const auto requests_before = m_plan.result.ticket_requests.size();
    m_plan.select(step);
    if (step.spec->gang) {
        plan_gang(step);
    } else {
        plan_tasks(step);
        withdraw_suspect_workers();
    }
    m_caps.claim(step, before, requests_before);
    return m_plan.planned_since(step, before) > 0;
}

plan_result step_planner::take() {
    m_tickets.add_deferred_requests();
    m_plan.result.holds = m_plan.holds();
    for (const auto& reserved : m_plan.reservations) {
        m_plan.result.kept_for_gangs.push_back(!reserved.empty());
    }
    return std::move(m_plan.result);
}

wait_cause step_planner::cause_of_wait(const waiting_step& step) const {
    if (m_cap_effect != cap_effect::none) {
        return wait_cause::cap;
    }
    if (step.spec->gang && is_postponed(step)) {
        return wait_cause::delayed;
    }
    if (!m_plan.may_hold(step.spec->gang ? step.spec->count : 1)) {
        return wait_cause::run_limit;
    }
    if (step.spec->gang && !m_plan.may_open(new_tasks(step))) {
        return wait_cause::record_limit;
    }
    const bool waits_for_launch =
        step.spec->gang && m_plan.is_launched(step) && !m_plan.may_launch(step);
    if (waits_for_launch || !m_plan.may_start(1)) {
        return step.excess ? wait_cause::share : wait_cause::start_limit;
    }
    if (step.state->tasks[step.first_task].is_suspected()) {
        return wait_cause::suspected;
    }
    std::int64_t room = 0;
    std::int64_t room_with_tickets = 0;
    for (const auto& c : m_plan.candidates) {
        const auto tasks =
            std::min(count_fitting_tasks(m_plan.demand, m_plan.available_capacity(step, c.worker)),
                     m_plan.remaining_tasks_on(step, c.worker));
        room += tasks;
        room_with_tickets += m_plan.is_valid(c) ? tasks : 0;
    }
    const std::int64_t wanted = step.spec->gang ? std::int64_t{step.spec->count} : 1;
    if (step.excess && step.state->tickets.calls.empty()) {
        return wait_cause::share;
    }
    const bool no_answer = step.queue->needs_tickets && step.state->tickets.asked.empty();
    return no_answer || (room >= wanted && room_with_tickets < wanted) ? wait_cause::tickets
                                                                       : wait_cause::capacity;
}

void step_planner::plan_tasks(const waiting_step& step) {
    const auto& tasks = step.state->tasks;
    auto permitted = m_caps.permitted_tasks(step);
    for (auto index = step.first_task; index < tasks.size();
         index = tasks.next_candidate(index + 1, m_plan.may_open(1))) {
        const auto& task = tasks[index];
        if (!may_start_task(step, index)) {
            continue;
        }
        if (permitted-- == 0) {
            return;
        }
        if (!m_plan.may_start(1)) {
            // Tickets for starts that cannot be sent would expire unused.
            if (step.state->tickets.asked.empty()) {
                m_tickets.request_for_tasks(step);
            }
            return;
        }
        if (task.is_suspected()) {
            plan_suspect(step, index);
            continue;
        }
        const auto worker = best_worker(step, task);
        if (!worker) {
            // All tasks of a step have the same demand, so no further one fits either.
            m_tickets.request_for_tasks(step);
            return;
        }
        m_plan.start(step, index, *worker, step.next_run(index));
    }
}

bool step_planner::may_start_task(const waiting_step& step, std::uint32_t index) const {
    return step.state->may_start(*step.spec, index, m_plan.now, m_plan.limits.crash_limit);
}

// Starts a task that may have crashed a worker. Nothing of other jobs, and no unsuspected task, is
// started on the worker at this time, so that a further crash has no other cause. Of a step, one
// such task starts first. Once a worker has survived it, the others may share workers: if one of
// them crashes its worker, its job is given up as it would be with a worker for each.
void step_planner::plan_suspect(const waiting_step& step, std::uint32_t index) {
    if (!step.state->probe_passed && std::exchange(m_probed_step, step.step) == step.step) {
        return;
    }
    std::optional<worker_slot> best;
    for (const auto& c : m_plan.candidates) {
        const auto& capacity = m_plan.capacities[c.worker];
        const bool settled = capacity.worker != nullptr && !m_plan.started.contains(c.worker) &&
                             capacity.worker->last_start_at + m_plan.limits.suspect_distance <=
                                 capacity.worker->last_contact;
        if ((!settled && !m_suspect_workers.contains(c.worker)) || !m_plan.is_valid(c) ||
            m_plan.remaining_tasks_on(step, c.worker) == 0 ||
            !m_plan.demand.fits(m_plan.available_capacity(step, c.worker))) {
            continue;
        }
        // The least loaded worker loses the least by a crash.
        if (!best || capacity.free.cpu_milli > m_plan.capacities[*best].free.cpu_milli) {
            best = c.worker;
        }
    }
    if (!best) {
        m_tickets.request_for_tasks(step);
        return;
    }
    m_plan.start(step, index, *best, step.next_run(index));
    m_suspect_workers.insert(*best);
}

void step_planner::withdraw_suspect_workers() {
    for (const auto worker : std::exchange(m_suspect_workers, {})) {
        m_plan.withdraw(worker);
    }
}

std::optional<worker_slot> step_planner::best_worker(const waiting_step& step,
                                                     const task_state& task) const {
    const auto& demand = m_plan.demand;
    std::optional<worker_slot> best;
    const auto preferred = m_plan.preference.of_step(step);
    std::tuple<bool, bool, bool, worker_rank, double> best_score;
    for (const auto& c : m_plan.candidates) {
        const auto w = c.worker;
        const auto& capacity = m_plan.capacities[w];
        if (m_suspect_workers.contains(w) || !demand.fits(capacity.free) || !m_plan.is_valid(c) ||
            !demand.fits(m_plan.available_capacity(step, w)) ||
            m_plan.remaining_tasks_on(step, w) == 0) {
            continue;
        }
        const auto& report = capacity.worker->report;
        const bool distant =
            !step.spec->preferred_rack.empty() && report.rack != step.spec->preferred_rack;
        const std::tuple score{task.failed_on.contains(report.id), distant,
                               m_plan.is_kept_for_gang(w), preferred.rank(*capacity.worker),
                               unused_share(capacity.free - demand, report.capacity)};
        if (!best || score < best_score) {
            best = w;
            best_score = score;
        }
    }
    return best;
}

// Workers for all tasks of the gang, those that hold most members first; empty when the gang does
// not fit.
template <typename CapacityOf>
tasks_by_worker step_planner::fit_gang(const waiting_step& step, ticket_need need,
                                       const std::string* rack, CapacityOf capacity_at) const {
    tasks_by_worker fitting;
    std::int64_t sum = 0;
    for (const auto& c : m_plan.candidates) {
        if ((rack != nullptr && m_plan.capacities[c.worker].worker->report.rack != *rack) ||
            !may_use(step, c, need)) {
            continue;
        }
        const auto task_count = std::min(count_fitting_tasks(m_plan.demand, capacity_at(c.worker)),
                                         m_plan.remaining_tasks_on(step, c.worker));
        if (task_count > 0) {
            fitting.emplace_back(c.worker, task_count);
            sum += task_count;
        }
    }
    if (sum < static_cast<std::int64_t>(step.spec->count)) {
        return {};
    }
    if (m_plan.is_launched(step)) {
        // A worker takes only some orders at a time, and the first members wait for the last.
        return spread_tasks(std::move(fitting), step.spec->count);
    }
    const auto preferred = m_plan.preference.of_step(step);
    return allocate_tasks(preferred.select_for_gang(std::move(fitting), m_plan.capacities),
                          step.spec->count);
}

bool step_planner::may_use(const waiting_step& step, const worker_candidate& c,
                           ticket_need need) const {
    if (need == ticket_need::held) {
        return m_plan.is_held_on(step, c.worker);
    }
    if (need == ticket_need::granted || m_plan.is_valid(c)) {
        return true;
    }
    const auto& calls = step.state->tickets.calls;
    return need == ticket_need::requested &&
           std::any_of(calls.begin(), calls.end(), [&c](const auto& call) {
               const auto& named = call.second;
               return std::find(named.begin(), named.end(), c.worker) != named.end();
           });
}

// Places the gang in one rack if it prefers that and one rack has enough free capacity, otherwise
// anywhere.
template <typename CapacityOf>
tasks_by_worker step_planner::place_gang(const waiting_step& step, ticket_need need,
                                         CapacityOf capacity_at) const {
    if (step.spec->same_rack) {
        std::set<std::string> racks;
        for (const auto& c : m_plan.candidates) {
            racks.insert(m_plan.capacities[c.worker].worker->report.rack);
        }
        for (const auto& rack : racks) {
            auto found = fit_gang(step, need, &rack, capacity_at);
            if (!found.empty()) {
                return found;
            }
        }
    }
    return fit_gang(step, need, nullptr, capacity_at);
}

void step_planner::plan_gang(const waiting_step& step) {
    const auto& tasks = step.state->tasks;
    // A member without a state of its own may start.
    if (!tasks.succeeded().empty() ||
        std::any_of(tasks.own().begin(), tasks.own().end(),
                    [&](const auto& member) { return !may_start_task(step, member.first); })) {
        return;
    }
    if (!m_plan.may_open(new_tasks(step)) || is_postponed(step)) {
        return;
    }
    if (step.queue->needs_tickets && step.state->tickets.asked.empty()) {
        if (m_tickets.may_request(step)) {
            m_tickets.request_from_unasked(step, "first");
        }
        return;
    }
    // Most gangs of a backlog do not fit, which one pass over the candidates shows.
    const auto count = static_cast<std::int64_t>(step.spec->count);
    if (most_fitting_tasks(step, false) >= count && plan_fitting_gang(step)) {
        return;
    }
    if (may_preempt_for(step) && most_fitting_tasks(step, true) >= count && can_use_room(step) &&
        preempt_for_gang(step) && reserve_after_stops(step)) {
        return;
    }
    m_tickets.request_for_blocked_gang(step);
    reserve_capacity_for_gang(step);
}

bool step_planner::is_postponed(const waiting_step& step) const {
    return m_plan.is_launched(step) && m_plan.now < step.state->launch_not_before;
}

bool step_planner::may_preempt_for(const waiting_step& step) const {
    return m_plan.limits.preemption && !step.excess &&
           m_preempting_gangs < (m_plan.limits.steady_gangs ? max_preempting_gangs : 1) &&
           (m_plan.is_held(step) || m_plan.hold_count() < max_held_gangs);
}

// Starts the gang, or reserves the capacity on which it fits now or once the stopped runs have
// ended; false when it does not fit.
bool step_planner::plan_fitting_gang(const waiting_step& step) {
    const auto available_now = [&](worker_slot w) { return m_plan.available_capacity(step, w); };
    const auto ready = place_gang(step, ticket_need::valid, available_now);
    if (!ready.empty()) {
        const bool launched = m_plan.is_launched(step);
        if (launched ? m_plan.may_launch(step) : m_plan.may_start(step.spec->count)) {
            m_plan.release(step);
            start_gang(step, ready);
        } else {
            keep_room(step, ready);
        }
        return true;
    }
    // The free capacity is reserved while missing or expired tickets are requested. Of the gangs
    // that no node can ask for now, only the first ones hold theirs.
    if (!step.state->tickets.calls.empty()) {
        const auto expected = place_gang(step, ticket_need::requested, available_now);
        if (!expected.empty()) {
            keep_room(step, expected);
            return true;
        }
    }
    const auto fitting = place_gang(step, ticket_need::granted, available_now);
    if (!fitting.empty()) {
        if (m_tickets.renew_for_gang(step, workers_of(fitting)) ||
            m_unasked_gangs++ < max_unasked_gangs) {
            keep_room(step, fitting);
        }
        return true;
    }
    return reserve_after_stops(step);
}

bool step_planner::reserve_after_stops(const waiting_step& step) {
    const auto after_stops = [&](worker_slot w) {
        return m_plan.available_capacity(step, w) + m_plan.capacities[w].stopping;
    };
    // The workers that suit best change with every run that ends. Tickets for others would have to
    // be requested each time, and expire before the stopped runs have ended.
    tasks_by_worker soon;
    if (m_plan.is_held(step)) {
        soon = place_gang(step, ticket_need::held, after_stops);
    }
    if (soon.empty() && m_plan.limits.steady_gangs) {
        soon = place_gang(step, ticket_need::requested, after_stops);
    }
    if (soon.empty()) {
        soon = place_gang(step, ticket_need::granted, after_stops);
    }
    if (soon.empty()) {
        return false;
    }
    keep_room(step, soon);
    if (!has_valid_tickets(step, soon, stop_time)) {
        m_tickets.renew_for_gang(step, workers_of(soon));
    }
    return true;
}

// Runs that are stopped for a gang without the tickets for their room are stopped for nothing.
bool step_planner::can_use_room(const waiting_step& step) const {
    if (m_tickets.may_request(step) && m_tickets.has_slot(step)) {
        return true;
    }
    std::int64_t tasks = 0;
    for (const auto& c : m_plan.candidates) {
        if (may_use(step, c, ticket_need::requested)) {
            tasks += m_plan.capacity_in_tasks(step, c.worker);
        }
    }
    return tasks >= static_cast<std::int64_t>(step.spec->count);
}

std::int64_t step_planner::most_fitting_tasks(const waiting_step& step, bool preempting) {
    std::int64_t tasks = 0;
    for (const auto& c : m_plan.candidates) {
        const auto& capacity = m_plan.capacities[c.worker];
        auto most = capacity.free + capacity.stopping;
        if (preempting) {
            most += preemptible_capacity(c.worker, step.queue->priority);
        }
        if (m_plan.demand.fits(most)) {
            tasks += std::min(count_fitting_tasks(m_plan.demand, most),
                              m_plan.remaining_tasks_on(step, c.worker));
        }
    }
    return tasks;
}

const resources& step_planner::preemptible_capacity(worker_slot w, int priority) {
    auto& by_slot = m_preemptible[priority];
    by_slot.resize(m_plan.capacities.size());
    auto& known = by_slot[w];
    if (!known) {
        known.emplace();
        for (const auto& [run, placed] : m_plan.capacities[w].worker->runs) {
            if (may_preempt(run, placed, priority, m_plan.now)) {
                *known += placed.demand;
            }
        }
    }
    return *known;
}

bool step_planner::has_valid_tickets(const waiting_step& step, const tasks_by_worker& workers,
                                     common::duration margin) const {
    return std::all_of(workers.begin(), workers.end(), [&](const auto& entry) {
        const auto* const ticket = step.state->tickets.find(entry.first);
        return !step.queue->needs_tickets ||
               (ticket != nullptr && ticket->expires > m_plan.now + margin);
    });
}

// Stops less urgent runs on the granted workers until the gang fits; false, without any effect,
// when that is not possible.
bool step_planner::preempt_for_gang(const waiting_step& step) {
    std::int64_t missing = step.spec->count;
    std::vector<preemption_option> options;
    for (const auto& c : m_plan.candidates) {
        const auto w = c.worker;
        const auto& capacity = m_plan.capacities[w];
        const auto available = m_plan.available_capacity(step, w) + capacity.stopping;
        const auto most = m_plan.remaining_tasks_on(step, w);
        const auto fitting = std::min(count_fitting_tasks(m_plan.demand, available), most);
        missing -= fitting;
        options.push_back(find_preemption(*capacity.worker, m_plan.demand, available,
                                          most - fitting, step.queue->priority, m_plan.now));
    }
    const auto chosen = choose_preemptions(std::move(options), missing);
    for (const auto& option : chosen) {
        auto& capacity = m_plan.capacities[option.worker];
        for (const auto& run : option.runs) {
            capacity.stopping += capacity.worker->runs.at(run).demand;
            m_plan.result.preemptions.push_back({option.worker, run});
        }
    }
    if (chosen.empty()) {
        return false;
    }
    ++m_preempting_gangs;
    if (m_plan.limits.steady_gangs && !m_plan.is_held(step)) {
        // reserve_after_stops() chooses the workers.
        m_plan.hold(step, {}, m_plan.now + hold_time);
    }
    return true;
}

void step_planner::start_gang(const waiting_step& step, const tasks_by_worker& workers) {
    const auto run = step.next_run(0);
    if (m_plan.is_launched(step)) {
        m_plan.launch(step, workers, run);
        return;
    }
    std::uint32_t index = 0;
    for (const auto& [w, task_count] : workers) {
        for (std::int64_t i = 0; i < task_count; ++i) {
            m_plan.start(step, index++, w, run);
        }
    }
}

void step_planner::keep_room(const waiting_step& step, const tasks_by_worker& workers) {
    if (m_plan.is_held(step)) {
        m_plan.hold(step, workers, m_plan.now);
    } else {
        reserve_now(workers);
    }
}

// Reserves free capacity for a gang that starts as soon as its tickets or the limit of pending
// starts permit.
void step_planner::reserve_now(const tasks_by_worker& workers) {
    for (const auto& [w, task_count] : workers) {
        m_plan.reservations[w].push_back({m_plan.demand * task_count, m_plan.now});
    }
}

// Reserves capacity for a planned start at the earliest time at which the runs that are expected to
// have ended leave enough of it.
void step_planner::reserve_capacity_for_gang(const waiting_step& step) {
    if (m_reserved_gangs >= max_reserved_gangs ||
        m_plan.total_task_capacity(step) < static_cast<std::int64_t>(step.spec->count)) {
        return;
    }
    struct release {
        common::time_point at;
        std::size_t candidate;
        resources amount;
    };
    const auto& candidates = m_plan.candidates;
    std::vector<release> releases;
    std::vector<resources> available;
    std::vector<std::int64_t> fitting_tasks;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto w = candidates[i].worker;
        available.push_back(m_plan.available_capacity(step, w));
        fitting_tasks.push_back(std::min(count_fitting_tasks(m_plan.demand, available[i]),
                                         m_plan.remaining_tasks_on(step, w)));
        sum += fitting_tasks[i];
        for (const auto& [run, placed] : m_plan.capacities[w].worker->runs) {
            releases.push_back(
                {std::max(placed.expected_end, m_plan.now + overrun_allowance), i, placed.demand});
        }
    }
    std::sort(releases.begin(), releases.end(),
              [](const release& a, const release& b) { return a.at < b.at; });
    for (const auto& ended : releases) {
        const auto i = ended.candidate;
        available[i] += ended.amount;
        const auto after = std::min(count_fitting_tasks(m_plan.demand, available[i]),
                                    m_plan.remaining_tasks_on(step, candidates[i].worker));
        sum += after - fitting_tasks[i];
        fitting_tasks[i] = after;
        if (sum >= static_cast<std::int64_t>(step.spec->count)) {
            tasks_by_worker fitting;
            for (std::size_t j = 0; j < fitting_tasks.size(); ++j) {
                if (fitting_tasks[j] > 0) {
                    fitting.emplace_back(candidates[j].worker, fitting_tasks[j]);
                }
            }
            reserve_capacity(step, allocate_tasks(std::move(fitting), step.spec->count), ended.at);
            return;
        }
    }
}

void step_planner::reserve_capacity(const waiting_step& step, const tasks_by_worker& workers,
                                    common::time_point at) {
    ++m_reserved_gangs;
    for (const auto& [w, task_count] : workers) {
        m_plan.reservations[w].push_back({m_plan.demand * task_count, at});
    }
    if (!has_valid_tickets(step, workers, ticket_margin)) {
        m_tickets.request_ahead(step, workers_of(workers), at);
    }
}

} // namespace buckthornspar::dispatch
