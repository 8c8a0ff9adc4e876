#include "core/common/logging.h"
#include "core/dispatch/advice_calls.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Delay before tickets are requested again after a missing response or a refusal because of load.
constexpr auto advice_retry = std::chrono::milliseconds(150);
// The validity of a ticket starts when the service responds; this allows for the transit time.
constexpr auto ticket_transit = std::chrono::milliseconds(60);
// One spare worker is named for this many that held members of a broken gang, and one more.
constexpr std::size_t broken_spare_divisor = 3;
// Share of the nodes that may be occupied by ticket requests when an optional one is added, so that
// the others do not wait.
constexpr std::size_t optional_request_percent = 60;
// Work in excess leaves this part of the limits on starts and ticket requests to entitled work,
// half of it for long requests: entitled jobs that arrive next must not wait for the answers.
constexpr std::size_t entitled_divisor = 4;
// Part of the limits on starts that is left for other work while a gang is launched.
constexpr std::size_t launch_divisor = 4;
// Part of the bounds on late starts that is left for timers and for the rounding of worker clocks.
constexpr auto start_bound_margin = std::chrono::milliseconds(100);
// Starts with less validity than this would often reach their workers too late.
constexpr auto min_start_validity = std::chrono::milliseconds(500);
constexpr auto stalled_after = std::chrono::seconds(5);
// Shortest time between two plans that may preempt runs; the search costs processor time.
constexpr auto preemption_interval = std::chrono::milliseconds(40);
// Steps of open occurrences without a run, of one job and of all: they bound the memory of
// schedules with many occurrences that are due. A plan examines 768 blocked steps.
constexpr std::size_t max_idle_steps_per_job = 256;
constexpr std::size_t max_idle_steps = 8192;

waiting_scan::outcome blocked_outcome(cap_effect effect) {
    switch (effect) {
    case cap_effect::none:
        return waiting_scan::outcome::blocked;
    case cap_effect::step:
        return waiting_scan::outcome::capped;
    case cap_effect::customer:
        return waiting_scan::outcome::held;
    }
    return waiting_scan::outcome::blocked;
}

std::size_t count_open_tasks(const job_entry& job) {
    std::size_t tasks = 0;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const auto& step : occurrence.steps) {
            tasks += step.tasks.own().size();
        }
    }
    return tasks;
}

} // namespace

const queue_settings* dispatcher::queue_of(const job_spec& spec) const {
    const auto position = m_queues.find(spec.queue);
    return position == m_queues.end() ? nullptr : &position->second;
}

bool dispatcher::is_in_service(const worker_entry& worker, common::time_point now) const {
    const bool listed = worker.listed || now < worker.unlisted_since + m_settings.unlisted_grace;
    return listed && worker.described && worker.adopted && worker.reachable &&
           !worker.report.draining && now >= worker.stale_lease_until &&
           m_recorded_workers.contains(worker.report.id);
}

bool dispatcher::is_usable(const worker_entry& worker, common::time_point now) const {
    return is_in_service(worker, now) && now >= worker.excluded_until &&
           now >= worker.isolated_until;
}

std::vector<worker_free_capacity> dispatcher::collect_free_capacities(common::time_point now) {
    std::vector<worker_free_capacity> free_capacities(m_workers.slots().size());
    for (const auto* const worker : m_workers.slots()) {
        if (worker != nullptr && is_usable(*worker, now)) {
            free_capacities[worker->slot] = {worker, worker->free(), {}};
        }
    }
    for (const auto& [id, run] : m_pending_stops) {
        const auto* const worker = m_workers.find(id);
        if (worker != nullptr && free_capacities[worker->slot].worker != nullptr) {
            if (const auto placed = worker->runs.find(run); placed != worker->runs.end()) {
                free_capacities[worker->slot].stopping += placed->second.demand;
            }
        }
    }
    return free_capacities;
}

void dispatcher::note_all_waiting() {
    m_waiting.clear();
    m_scheduled_jobs.clear();
    for (const auto& entry : m_jobs) {
        m_jobs_to_order.insert(m_jobs_to_order.end(), entry.first);
    }
}

// The order is kept between plans, because thousands of jobs may wait after an outage.
void dispatcher::order_waiting_steps(common::time_point now) {
    update_shares(now);
    const auto now_ms = unix_ms(now);
    while (!m_scheduled_jobs.empty() && m_scheduled_jobs.begin()->first <= now_ms) {
        m_jobs_to_order.insert(m_scheduled_jobs.begin()->second);
        m_scheduled_jobs.erase(m_scheduled_jobs.begin());
    }
    for (const auto& id : m_jobs_to_order) {
        m_waiting.erase_job(id);
        if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
            order_steps_of(now, job->second);
        }
    }
    m_jobs_to_order.clear();
}

void dispatcher::update_shares(common::time_point now) {
    if (m_shares.has_unsettled()) {
        placement::resources fleet;
        for (const auto* const worker : m_workers.slots()) {
            if (worker != nullptr) {
                fleet += worker->report.capacity;
            }
        }
        m_shares.settle(now, fleet);
    }
    for (const auto& id : m_shares.take_aged(now)) {
        note_waiting(id);
    }
}

void dispatcher::order_steps_of(common::time_point now, job_entry& job) {
    const auto* const queue = queue_of(job.spec);
    if (queue == nullptr || is_final(job.state) || may_have_unreported_runs(job)) {
        return;
    }
    open_due_occurrences(now, job);
    job.open_tasks = count_open_tasks(job);
    std::size_t examined = 0;
    for (auto& [number, occurrence] : job.occurrences) {
        if (!is_due(now, job.spec, number)) {
            m_scheduled_jobs.emplace(due_ms(job.spec, number), job.spec.id);
            break;
        }
        examined += occurrence.steps.size();
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& state = occurrence.steps[s];
            if (!state.any_waiting() || !occurrence.ready(job.spec, s) ||
                (job.spec.steps[s].gang && state.any_current())) {
                continue;
            }
            mark_ready(now, job, s, state);
            const task_key step{job.spec.id, number, s, 0};
            const auto position = position_of(job, step, state, *queue, m_settings.order);
            const bool by_deadline = m_settings.order == placement_order::deadline;
            const auto objective = std::chrono::milliseconds(by_deadline ? objective_ms(job) : 0);
            m_waiting.insert(queue->name,
                             m_shares.place(now, position, {state.latest_start, objective}));
        }
    }
    m_counters.get("plan_steps_examined_total").add(static_cast<std::int64_t>(examined));
}

// Only occurrences without a run are limited: the others are as many as fit on the workers.
void dispatcher::open_due_occurrences(common::time_point now, job_entry& job) {
    if (job.spec.schedule.repeats == 0) {
        return;
    }
    const auto idle = std::count_if(job.occurrences.begin(), job.occurrences.end(),
                                    [](const auto& o) { return !o.second.any_current(); });
    const auto share = max_idle_steps / std::max<std::size_t>(1, m_scheduled_job_count);
    const auto limit =
        std::max<std::size_t>(1, std::min(share, max_idle_steps_per_job) / job.spec.steps.size());
    for (auto count = static_cast<std::size_t>(idle); count < limit; ++count) {
        const auto next = job.next_occurrence();
        if (!next) {
            return;
        }
        if (!is_due(now, job.spec, *next)) {
            m_scheduled_jobs.emplace(due_ms(job.spec, *next), job.spec.id);
            return;
        }
        job.open(*next);
    }
}

bool dispatcher::is_waiting(common::time_point now, const task_key& step) {
    auto& job = m_jobs.at(step.job);
    if (!is_due(now, job.spec, step.occurrence)) {
        // The wall clock has been set back.
        m_scheduled_jobs.emplace(due_ms(job.spec, step.occurrence), step.job);
        return false;
    }
    const auto* const state = job.find_step(step);
    return state != nullptr && state->any_waiting() &&
           !(job.spec_of(step).gang && state->any_current());
}

bool dispatcher::may_start_new_tasks(const job_entry& job, const step_spec& step) const {
    return step.gang || job.open_tasks < max_open_tasks(m_settings.max_record_bytes);
}

std::optional<waiting_step> dispatcher::find_startable(common::time_point now,
                                                       const step_position& position) {
    const auto& step = position.step;
    auto& job = m_jobs.at(step.job);
    auto& state = *job.find_step(step);
    const auto& spec = job.spec_of(step);
    const auto& tasks = state.tasks;
    const bool any_new = may_start_new_tasks(job, spec);
    for (auto index = tasks.next_candidate(0, any_new); index < tasks.size();
         index = tasks.next_candidate(index + 1, any_new)) {
        if (state.may_start(spec, index, now, m_settings.crashes.attributed_limit)) {
            return waiting_step{step,
                                &spec,
                                queue_of(job.spec),
                                &state,
                                index,
                                job.possible_runs,
                                job.customer,
                                is_excess(position),
                                memory_of_start(job.spec.payload.size()),
                                m_workers.runs_of(step.job),
                                job.open_tasks};
        }
    }
    return std::nullopt;
}

void dispatcher::on_wall_clock(common::time_point now, std::int64_t unix_ms) {
    m_unix_offset_ms = unix_ms - common::to_milliseconds(now);
}

std::int64_t dispatcher::due_ms(const job_spec& spec, std::uint32_t occurrence) {
    return spec.schedule.first_ms + occurrence * spec.schedule.interval_ms;
}

std::int64_t dispatcher::unix_ms(common::time_point now) const {
    return common::to_milliseconds(now) + m_unix_offset_ms;
}

bool dispatcher::is_due(common::time_point now, const job_spec& spec,
                        std::uint32_t occurrence) const {
    return spec.schedule.repeats == 0 || unix_ms(now) >= due_ms(spec, occurrence);
}

std::int64_t dispatcher::objective_ms(const job_entry& job) const {
    const auto* const queue = queue_of(job.spec);
    if (queue == nullptr) {
        return 0;
    }
    const auto chain = static_cast<double>(job.critical_path_ms(0));
    return queue->target_ms + static_cast<std::int64_t>(queue->slack_factor * chain);
}

void dispatcher::mark_ready(common::time_point now, const job_entry& job, std::uint32_t step,
                            step_state& state) {
    if (state.ready_since) {
        return;
    }
    state.ready_since = now;
    state.latest_start = job.first_seen_at + std::chrono::milliseconds(objective_ms(job)) -
                         std::chrono::milliseconds(job.critical_path_ms(step));
}

plan_limits dispatcher::limits_of_plan(common::time_point now) {
    plan_limits limits;
    limits.suspect_distance = m_settings.crashes.window;
    limits.crash_limit = m_settings.crashes.attributed_limit;
    limits.pending_starts = m_pending_starts;
    if (m_settings.max_pending_starts > 0) {
        limits.max_pending_starts = m_settings.max_pending_starts;
    }
    if (m_settings.max_starts_per_turn > 0) {
        limits.max_starts = m_settings.max_starts_per_turn;
    }
    if (m_settings.max_runs > 0) {
        limits.max_runs = m_settings.max_runs;
    }
    limits.runs = m_workers.run_count() + (m_launch ? m_launch->unsent : 0);
    limits.max_open_tasks = max_open_tasks(m_settings.max_record_bytes);
    limits.largest_gang = limits.max_starts;
    limits.pending_start_memory = m_pending_start_memory;
    if (m_settings.max_start_memory > 0) {
        limits.max_start_memory = m_settings.max_start_memory;
    }
    limits.largest_gang_memory = limits.max_start_memory / 2;
    limits.launching = m_launch.has_value();
    if (m_launch) {
        // The members have to start soon after each other. They do not count as other starts.
        limits.max_starts = std::max<std::size_t>(1, limits.max_starts / launch_divisor);
        limits.max_pending_starts /= launch_divisor;
        limits.max_start_memory /= launch_divisor;
        limits.pending_starts -= m_launch->under_way;
        limits.pending_start_memory -=
            static_cast<std::int64_t>(m_launch->under_way) * m_launch->start_memory;
    }
    limits.advice = m_advice_slots;
    if (m_requesting_nodes > 0) {
        const auto most =
            std::max<std::size_t>(1, m_requesting_nodes * optional_request_percent / 100);
        limits.optional_requests = most - std::min(most, m_advice_calls.size());
    }
    limits.preemption = now >= m_next_preemption;
    if (m_workers.usage().any_caps()) {
        limits.caps = &m_workers.usage();
        limits.cap_holds = &m_cap_holds;
    }
    if (m_shares.is_active()) {
        limits.steady_gangs = true;
        limits.kept_for_gangs = m_kept_for_gangs;
        limits.holds = m_gang_holds;
        limits.starts_kept = m_settings.max_pending_starts / entitled_divisor;
        limits.advice_kept = {m_requesting_nodes / entitled_divisor,
                              m_requesting_nodes / (2 * entitled_divisor)};
    }
    limits.learnt = &m_observer.learnt();
    return limits;
}

void dispatcher::plan(common::time_point now) {
    order_waiting_steps(now);
    m_blocked_steps = {};
    if (m_waiting.empty()) {
        return;
    }
    m_workers.usage().set_unreported(find_unreported_runs());
    const auto limits = limits_of_plan(now);
    step_planner planner(collect_free_capacities(now), limits, now);
    waiting_scan scan(m_waiting);
    std::size_t examined = 0;
    std::size_t planned = 0;
    for (const auto* position = scan.next(); position != nullptr; position = scan.next()) {
        ++examined;
        if (!is_waiting(now, position->step)) {
            scan.report(waiting_scan::outcome::gone);
            continue;
        }
        const auto step = find_startable(now, *position);
        planned += step ? 1U : 0U;
        const bool placed = step && planner.plan(*step);
        if (!placed) {
            note_blocked(now, position->step, step, planner);
        }
        scan.report(placed ? waiting_scan::outcome::placed
                    : step ? blocked_outcome(planner.effect_of_cap())
                           : waiting_scan::outcome::blocked);
    }
    m_blocked_steps.add(wait_cause::cap, scan.held_steps());
    m_counters.get("plan_steps_examined_total").add(static_cast<std::int64_t>(examined));
    if (planned == 0) {
        return;
    }
    m_counters.get("plans_total").add();
    if (limits.preemption) {
        m_next_preemption = now + preemption_interval;
    }
    const auto result = planner.take();
    m_counters.get("plan_candidates_examined_total")
        .add(static_cast<std::int64_t>(result.candidates_examined));
    m_kept_for_gangs = result.kept_for_gangs;
    m_gang_holds = result.holds;
    // More may be startable, as soon as the events that are ready have been handled.
    m_replan_needed |= result.starts.size() >= limits.max_starts;
    execute_plan(now, result);
}

wait_cause dispatcher::cause_of_delay(job_entry& job, const task_key& step) const {
    const auto& own = job.find_step(step)->tasks.own();
    const bool suspected = std::any_of(own.begin(), own.end(), [](const auto& task) {
        return !task.second.current && task.second.is_suspected();
    });
    return suspected                                      ? wait_cause::suspected
           : !may_start_new_tasks(job, job.spec_of(step)) ? wait_cause::record_limit
                                                          : wait_cause::delayed;
}

void dispatcher::note_blocked(common::time_point now, const task_key& key,
                              const std::optional<waiting_step>& step,
                              const step_planner& planner) {
    auto& job = m_jobs.at(key.job);
    const auto& state = *job.find_step(key);
    const auto cause = step ? planner.cause_of_wait(*step) : cause_of_delay(job, key);
    m_blocked_steps.add(cause);
    const auto since = state.ready_since.value_or(now);
    if (!state.any_current() && m_wait_log.admit(key, since, now)) {
        const auto& granted = state.tickets.granted;
        const auto valid =
            std::count_if(granted.begin(), granted.end(),
                          [now](const ticket_state& ticket) { return ticket.expires > now; });
        const auto usable =
            std::count_if(granted.begin(), granted.end(), [&](const ticket_state& ticket) {
                const auto* const worker = m_workers.at(ticket.worker);
                return worker != nullptr && is_usable(*worker, now);
            });
        log_event(severity::info, "step_waits",
                  {{"step", to_string(key)},
                   {"cause", wait_cause_names.name(cause)},
                   {"waited_ms", common::to_milliseconds(now - since)},
                   {"last_run", state.last_run()},
                   {"calls", state.tickets.calls.size()},
                   {"granted", granted.size()},
                   {"usable", usable},
                   {"valid", valid}});
    }
}

bool dispatcher::is_stalled(common::time_point now) const {
    return now > m_last_start_at + stalled_after;
}

wait_counts dispatcher::waiting() const {
    auto counts = m_blocked_steps;
    for (const auto& [id, job] : m_jobs) {
        if (is_final(job.state)) {
            continue;
        }
        if (queue_of(job.spec) == nullptr) {
            counts.add(wait_cause::unknown_queue);
        } else if (may_have_unreported_runs(job)) {
            counts.add(wait_cause::recovery);
        }
    }
    return counts;
}

void dispatcher::execute_plan(common::time_point now, const plan_result& plan) {
    for (const auto& planned : plan.starts) {
        start_task(now, planned);
    }
    if (plan.launch) {
        begin_launch(now, *plan.launch);
        continue_launch(now);
    }
    for (const auto& planned_request : plan.ticket_requests) {
        send_ticket_request(now, planned_request);
    }
    for (const auto& [slot, run] : plan.preemptions) {
        const auto& worker = m_workers.at(slot)->report.id;
        m_counters.get("preemptions_total").add();
        log_event(severity::info, "preempted",
                  {{"task", to_string(run.task)}, {"run", run.run}, {"worker", worker}});
        request_stop(now, worker, run);
    }
}

void dispatcher::describe_run(common::time_point now, placed_run& placed, job_entry& job,
                              const task_key& task) {
    const auto& spec = job.spec_of(task);
    const auto* const queue = queue_of(job.spec);
    placed.priority = queue == nullptr ? 0 : queue->priority;
    placed.preemptible = spec.checkpointing && !spec.gang && !spec.long_running;
    placed.excess = m_shares.is_excess(task.job);
    if (auto* const step = job.find_step(task)) {
        mark_ready(now, job, task.step, *step);
        placed.latest_end = step->latest_start + std::chrono::milliseconds(spec.estimate_ms);
    }
}

common::time_point dispatcher::starts_permitted_until() const {
    return std::min(m_cancels_known_until + m_settings.cancel_bound,
                    m_drains_known_until + m_settings.drain_bound) -
           start_bound_margin;
}

bool dispatcher::may_start(common::time_point now) const {
    return now + min_start_validity <= starts_permitted_until();
}

// The worker enforces the end of the permission, so that it also holds for an order that is sent or
// delivered late.
std::int64_t dispatcher::grant_start_validity(worker_entry& worker, common::time_point now) {
    return m_workers.grant_start_validity(
        worker, now,
        std::min<common::duration>(m_settings.leases.start_validity,
                                   starts_permitted_until() - now));
}

void dispatcher::start_task(common::time_point now, const planned_start& planned) {
    auto& job = m_jobs.at(planned.task.job);
    auto& step = *job.find_step(planned.task);
    job.open_tasks += step.tasks.own().contains(planned.task.index) ? 0U : 1U;
    auto& task = job.edit(planned.task);
    auto& worker = *m_workers.at(planned.worker);
    const auto& spec = job.spec_of(planned.task);
    const run_key run{planned.task, planned.run};

    start_order order;
    order.worker = worker.report.id;
    order.run = run;
    order.payload = job.share_payload();
    order.checkpoint = spec.gang ? step.gang_checkpoint : task.progress.checkpoint;
    order.ticket = planned.ticket;
    order.fence = m_fence;
    order.valid_until_ms = grant_start_validity(worker, now);

    auto& placed = m_workers.place(worker, run, spec.allocation(), now, job.customer);
    placed.start_valid_until_ms = order.valid_until_ms;
    placed.open_orders = 1;
    placed.last_order_at = now;
    describe_run(now, placed, job, planned.task);
    m_shares.on_begun(planned.task.job);
    m_observer.on_start(worker, run, placed, {spec, job.spec.queue, order.checkpoint.empty()});
    placed.expected_end = now + m_observer.expected_duration(worker, run, spec, job.spec.queue);
    step.set_current(planned.task.index, {worker.report.id, planned.run});
    task.progress.last_run = planned.run;
    if (m_settings.order == placement_order::smallest || job.spec.schedule.repeats > 0) {
        // The position depends on the number of waiting tasks, and further occurrences may be
        // opened.
        note_waiting(planned.task.job);
    }
    isolate_suspect(now, worker, step, run);
    if (spec.gang) {
        step.gang_run = planned.run;
        step.gang_since = now;
    }
    m_counters.get("starts_total").add();
    log_event(severity::info, "start",
              {{"task", to_string(planned.task)},
               {"run", planned.run},
               {"worker", worker.report.id},
               {"waited_ms", common::to_milliseconds(now - *step.ready_since)},
               {"free_cpu_milli", worker.free().cpu_milli},
               {"clock_age_ms", common::to_milliseconds(now - worker.clock_at)},
               {"jobs_age_ms", common::to_milliseconds(now - m_cancels_known_until)},
               {"fence", m_fence}});
    send_start(std::move(order));
    schedule_poll(worker, now);
}

bool dispatcher::is_start_limit_reached() const {
    const bool starts =
        m_settings.max_pending_starts > 0 && m_pending_starts >= m_settings.max_pending_starts;
    // The next start may need more than what is left.
    const bool memory = m_settings.max_start_memory > 0 &&
                        2 * m_pending_start_memory >= m_settings.max_start_memory;
    return starts || memory;
}

void dispatcher::send_start(start_order order) {
    ++m_pending_starts;
    m_pending_start_memory += memory_of(order);
    if (m_launch && m_launch->contains(order.run)) {
        ++m_launch->under_way;
    }
    note_order(*m_workers.find(order.worker));
    m_actions.emplace_back(std::move(order));
}

void dispatcher::send_ticket_request(common::time_point now,
                                     const ticket_request& planned_request) {
    auto& tickets = m_jobs.at(planned_request.step.job).find_step(planned_request.step)->tickets;
    advice_call call;
    call.id = m_next_call++;
    call.request.step = planned_request.step;
    for (const auto slot : planned_request.workers) {
        call.request.workers.push_back(m_workers.at(slot)->report.id);
    }
    call.priority = planned_request.queue->priority;
    call.excess = planned_request.excess;
    call.expected = advice_time(*planned_request.queue, planned_request.workers.size());
    take_slot(m_advice_slots, call.expected);
    tickets.calls[call.id] = planned_request.workers;
    m_advice_calls[call.id] = {planned_request.step, now};
    m_counters.get("advice_calls_total", "reason", planned_request.reason).add();
    log_event(severity::info, "tickets_asked",
              {{"step", to_string(planned_request.step)},
               {"reason", planned_request.reason},
               {"workers", planned_request.workers.size()},
               {"age_ms",
                common::to_milliseconds(now - m_jobs.at(planned_request.step.job).first_seen_at)}});
    m_actions.emplace_back(std::move(call));
}

// The other members end within a fraction of a second. The tickets for the capacity that they free
// are requested meanwhile, so that the gang can start again before others take it.
void dispatcher::renew_tickets_of_broken_gang(common::time_point now, job_entry& job,
                                              const task_key& task) {
    const auto* const queue = queue_of(job.spec);
    auto& step = *job.find_step(task);
    // Members that are listed as failed together meet the same state of the calls.
    if (queue == nullptr || !queue->needs_tickets || !step.tickets.calls.empty() ||
        now < step.tickets.not_before || std::exchange(step.tickets.renewal_tried_at, now) == now) {
        return;
    }
    ticket_request request;
    request.step = task;
    request.step.index = 0;
    request.queue = queue;
    request.reason = "broken";
    std::set<worker_slot> named;
    for (const auto& [index, member] : step.tasks.own()) {
        const auto* const worker =
            member.current ? m_workers.find(member.current->worker) : nullptr;
        if (worker != nullptr && is_usable(*worker, now) && named.insert(worker->slot).second) {
            request.workers.push_back(worker->slot);
        }
    }
    // The capacity of the failed member, and what others take meanwhile, is made up for elsewhere.
    const auto demand = job.spec_of(task).allocation();
    const auto wanted = request.workers.size() + request.workers.size() / broken_spare_divisor + 1;
    for (const auto& grant : step.tickets.granted) {
        const auto* const worker = m_workers.at(grant.worker);
        if (request.workers.size() >= wanted) {
            break;
        }
        if (worker != nullptr && is_usable(*worker, now) && demand.fits(worker->free()) &&
            named.insert(grant.worker).second) {
            request.workers.push_back(grant.worker);
        }
    }
    const bool has_slot =
        permitted_calls(m_advice_slots, advice_time(*queue, request.workers.size())) > 0;
    if (!request.workers.empty() && has_slot) {
        send_ticket_request(now, request);
    }
}

void dispatcher::on_advice_result(common::time_point now, std::uint64_t call,
                                  const advice_result& result) {
    const auto asked = m_advice_calls.find(call);
    if (asked == m_advice_calls.end()) {
        return;
    }
    const auto [step_key, asked_at] = asked->second;
    m_advice_calls.erase(asked);
    const auto job = m_jobs.find(step_key.job);
    if (job == m_jobs.end()) {
        return;
    }
    auto* const step = job->second.find_step(step_key);
    if (step == nullptr) {
        return;
    }
    auto& tickets = step->tickets;
    const auto named = tickets.calls.extract(call);
    if (named.empty()) {
        return;
    }
    m_replan_needed = true;
    if (!result.answered) {
        log_event(severity::info, "tickets_not_answered",
                  {{"step", to_string(step_key)},
                   {"busy", result.busy ? 1 : 0},
                   {"took_ms", common::to_milliseconds(now - asked_at)}});
        tickets.not_before = now + advice_retry;
        return;
    }
    const auto* const queue = queue_of(job->second.spec);
    const auto valid = std::chrono::milliseconds(queue->ticket_valid_ms) - ticket_transit;
    for (const auto slot : named.mapped()) {
        tickets.mark_asked(slot);
    }
    for (const auto& grant : result.granted) {
        if (const auto* const worker = m_workers.find(grant.worker)) {
            tickets.add_grant(worker->slot, grant.ticket, now + valid);
        }
    }
    log_event(severity::info, "tickets_granted",
              {{"step", to_string(step_key)},
               {"asked", named.mapped().size()},
               {"granted", result.granted.size()},
               {"took_ms", common::to_milliseconds(now - asked_at)},
               {"others_pending", m_advice_calls.size()}});
}

} // namespace buckthornspar::dispatch
