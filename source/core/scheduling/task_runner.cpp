#include "core/scheduling/task_runner.h"

#include "core/common/error.h"
#include "core/common/name_table.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr common::name_table<task_phase, 9>
    phase_names("task phase", {"recovering", "waiting", "logging_intent", "reserving", "reserved",
                               "starting", "running", "unwinding", "ending"});

bool is_gang(const job_run& job) {
    return job.spec.kind == placement::workload_kind::all_at_once;
}

execution_status execution_status_after(const task_run& run, attempt_outcome outcome) {
    if (outcome == attempt_outcome::unknown) {
        return execution_status::unknown;
    }
    if (run.has_started) {
        return execution_status::ran;
    }
    return run.may_have_started ? execution_status::unknown : execution_status::not_run;
}

} // namespace

std::string_view to_string(task_phase phase) {
    return phase_names.name(phase);
}

task_runner::task_runner(task_runner_settings settings, placement::placement_settings placement,
                         worker_fleet& fleet, journal& log, common::counters& counters)
    : m_settings(settings),
      m_placement_settings(std::move(placement)),
      m_fleet(fleet),
      m_journal(log),
      m_counters(counters),
      m_health(settings.health) {
    m_placement.emplace(m_placement_settings);
}

void task_runner::end() {
    m_jobs.clear();
    m_pending_by_team.clear();
    m_on_worker.clear();
    m_entries.clear();
    m_deadlines.clear();
    m_excluded.clear();
    m_takeover_workers.clear();
    m_takeover_unknown_worker.clear();
    m_recovering = false;
    m_recovery_bound.reset();
    reset_placement();
    m_health = worker_health(m_settings.health);
}

void task_runner::reset_placement() {
    m_placement.emplace(m_placement_settings);
    m_quota_parts.clear();
    apply_quotas();
    apply_workloads();
}

void task_runner::apply_quotas() {
    for (const auto& [team, limit] : m_policy.quotas) {
        m_placement->set_quota(team, limit);
        if (m_settings.shared_quotas) {
            m_placement->set_quota_part(team, m_quota_parts[team]);
        }
    }
}

void task_runner::set_quota_part(const std::string& team, const placement::resources& part) {
    m_quota_parts[team] = part;
    if (m_policy.quotas.contains(team)) {
        m_placement->set_quota_part(team, part);
    }
}

void task_runner::set_policy(common::time_point now, shard_policy policy) {
    const shard_policy former = std::exchange(m_policy, std::move(policy));
    for (const auto& [team, limit] : former.quotas) {
        if (!m_policy.quotas.contains(team)) {
            m_placement->clear_quota(team);
            m_quota_parts.erase(team);
        }
    }
    apply_quotas();
    apply_workloads();
    for (const auto& worker : m_fleet.present()) {
        refresh_worker(now, worker);
    }
}

// Jobs.

std::optional<placement::infeasibility> task_runner::check_feasible(const job_spec& job) const {
    placement::task_request request;
    request.task = task_id(job.id, 0);
    request.job = job.id;
    request.team = job.team;
    request.kind = job.kind;
    request.priority = job.priority;
    request.demand = job.demand;
    const bool together = job.kind == placement::workload_kind::all_at_once;
    return m_placement->check_feasible(request, together ? job.tasks : 1);
}

void task_runner::accept(common::time_point now, const job_spec& spec) {
    const auto [position, inserted] = m_jobs.try_emplace(spec.id);
    if (!inserted) {
        return;
    }
    job_run& job = position->second;
    job.spec = spec;
    job.tasks.resize(spec.tasks);
    job.accepted_at = now;
    set_pending(job, true);
    if (spec.deadline_ms > 0) {
        m_deadlines.emplace(now + std::chrono::milliseconds(spec.deadline_ms), spec.id);
    }
    if (is_gang(job)) {
        submit_gang(job);
        return;
    }
    for (std::uint32_t index = 0; index < spec.tasks; ++index) {
        submit({&job, index});
    }
}

placement::task_request task_runner::request_of(const task_ref& ref) const {
    const job_spec& spec = ref.job->spec;
    placement::task_request request;
    request.task = ref.id();
    request.job = spec.id;
    request.team = spec.team;
    request.kind = spec.kind;
    request.priority = spec.priority;
    request.demand = spec.demand;
    // Declared run times are inaccurate; planning uses the observed run times of the family.
    request.expected_run =
        m_usage.expected_run(spec.family, std::chrono::milliseconds(spec.run_ms));
    request.submitted = ref.job->accepted_at;
    if (spec.deadline_ms > 0) {
        request.deadline = ref.job->accepted_at + std::chrono::milliseconds(spec.deadline_ms);
    }
    request.family = spec.family;
    return request;
}

void task_runner::submit(const task_ref& ref) {
    if (awaits_recovery(*ref.job)) {
        ref.run().phase = task_phase::recovering;
        return;
    }
    ref.run().phase = task_phase::waiting;
    m_placement->submit(request_of(ref));
}

void task_runner::submit_gang(job_run& job) {
    std::vector<placement::task_request> requests;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].phase != task_phase::ending) {
            job.tasks[index].phase = task_phase::waiting;
            requests.push_back(request_of({&job, index}));
        }
    }
    if (!requests.empty()) {
        m_placement->submit_gang(std::move(requests));
    }
}

std::optional<task_runner::task_ref> task_runner::find_task(const std::string& task) {
    try {
        const task_name name = split_task_id(task);
        const auto position = m_jobs.find(name.job);
        if (position != m_jobs.end() && name.index < position->second.tasks.size()) {
            return task_ref{&position->second, name.index};
        }
    } catch (const common::format_error&) {
        return std::nullopt;
    }
    return std::nullopt;
}

const job_run* task_runner::find(const std::string& job) const {
    const auto position = m_jobs.find(job);
    return position == m_jobs.end() ? nullptr : &position->second;
}

placement::wait_reason task_runner::wait_reason_of(const std::string& task) const {
    return m_placement->explain(task);
}

// Ending jobs and tasks.

void task_runner::cancel(common::time_point now, const std::string& job) {
    const auto position = m_jobs.find(job);
    if (position != m_jobs.end()) {
        stop_job(now, position->second);
    }
}

void task_runner::stop_job(common::time_point now, job_run& job) {
    if (job.stopping) {
        return;
    }
    job.stopping = true;
    job.unwinding = false;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        stop_task(now, {&job, index});
    }
}

void task_runner::stop_task(common::time_point now, const task_ref& ref) {
    task_run& run = ref.run();
    switch (run.phase) {
    case task_phase::recovering:
    case task_phase::ending:
        return;
    case task_phase::waiting:
    case task_phase::logging_intent:
    case task_phase::unwound:
        finish(now, ref, attempt_outcome::cancelled);
        return;
    case task_phase::reserving:
    case task_phase::reserved:
        if (!m_fleet.remove_queued(run.worker, run.attempt)) {
            m_fleet.queue(run.worker, {worker_op::release, run.attempt, ref.id(), {}, {}, ""});
        }
        finish(now, ref, attempt_outcome::cancelled);
        return;
    case task_phase::starting:
        if (m_fleet.remove_queued(run.worker, run.attempt)) {
            m_counters.get("cancelled_before_send_total").add();
            finish(now, ref, attempt_outcome::cancelled);
            return;
        }
        request_end(ref, worker_op::cancel);
        return;
    case task_phase::running:
        request_end(ref, worker_op::cancel);
        return;
    }
}

void task_runner::request_end(const task_ref& ref, worker_op op) {
    task_run& run = ref.run();
    if (!run.end_requested) {
        run.end_requested = true;
        m_fleet.queue(run.worker, {op, run.attempt, ref.id(), {}, {}, ""});
    }
}

void task_runner::fail_job(common::time_point now, job_run& job, job_reason reason) {
    if (job.stopping) {
        return;
    }
    m_counters.get("jobs_ended_total", "reason", to_string(reason)).add();
    const std::uint64_t tag = m_journal.add(job_ended_entry{job.spec.id, reason});
    m_entries[tag] = {pending_entry::kind::job_ended, {}, {}, {}};
    stop_job(now, job);
}

void task_runner::finish(common::time_point now, const task_ref& ref, attempt_outcome outcome) {
    m_usage.task_ended_early(ref.id());
    task_run& run = ref.run();
    const execution_status execution = execution_status_after(run, outcome);
    if (outcome == attempt_outcome::unknown) {
        m_counters.get("attempts_unknown_total").add();
    }
    if (!m_placement->withdraw(ref.id())) {
        m_placement->release(ref.id(), now);
    }
    const std::uint64_t tag =
        m_journal.add(task_ended_entry{ref.job->spec.id, {ref.index}, outcome, execution});
    m_entries[tag] = {pending_entry::kind::ended, ref.id(), run.worker, run.attempt};
    clear_worker(ref);
    run.phase = task_phase::ending;
    if (ref.job->unwinding) {
        finish_unwinding(now, *ref.job);
    }
}

bool task_runner::on_written(common::time_point now, std::uint64_t tag) {
    const auto position = m_entries.find(tag);
    if (position == m_entries.end()) {
        return false;
    }
    const pending_entry entry = std::move(position->second);
    m_entries.erase(position);
    if (entry.what == pending_entry::kind::intent) {
        on_intent_written(now, entry);
        return true;
    }
    if (entry.what != pending_entry::kind::ended) {
        return true;
    }
    if (!entry.attempt.empty()) {
        m_fleet.acknowledge(entry.worker, entry.attempt);
    }
    const std::string job = split_task_id(entry.task).job;
    const job_record* const record = m_journal.table().find(job);
    if (record == nullptr || record->ended()) {
        const auto ended = m_jobs.find(job);
        if (ended != m_jobs.end()) {
            set_pending(ended->second, false);
            m_jobs.erase(ended);
        }
        m_health.forget_job(job);
    }
    return true;
}

// Time.

void task_runner::on_time(common::time_point now, bool may_start) {
    check_recovery(now);
    check_exclusions(now);
    check_deadlines(now);
    if (may_start) {
        place(now);
    }
}

void task_runner::place(common::time_point now) {
    bool more = true;
    while (more) {
        const auto decided = m_placement->decide(now, m_settings.max_assignments);
        more = decided.tasks.size() + decided.gangs.size() >= m_settings.max_assignments;
        apply_decisions(now, decided);
    }
}

void task_runner::apply_decisions(common::time_point now, const placement::decisions& decided) {
    for (const auto& item : decided.tasks) {
        if (const auto ref = find_task(item.task)) {
            assign(now, *ref, item.worker);
        }
    }
    for (const auto& gang : decided.gangs) {
        assign_gang(now, gang);
    }
    m_counters.get("gangs_overdue_total")
        .add(static_cast<std::int64_t>(decided.overdue_gangs.size()));
}

void task_runner::check_deadlines(common::time_point now) {
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const std::string id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        const auto position = m_jobs.find(id);
        if (position == m_jobs.end()) {
            continue;
        }
        job_run& job = position->second;
        const bool started = std::any_of(job.tasks.begin(), job.tasks.end(), [](const task_run& t) {
            return t.may_have_started || t.has_started || t.phase == task_phase::starting ||
                   t.phase == task_phase::recovering;
        });
        if (!started) {
            m_counters.get("refusals_total", "reason", "deadline_passed").add();
            fail_job(now, job, job_reason::deadline_passed);
        }
    }
}

void task_runner::check_exclusions(common::time_point now) {
    for (const auto& worker : m_excluded.take_due(now)) {
        if (m_health.excluded(worker, now)) {
            // The exclusion was prolonged in the meantime.
            m_excluded.set(worker, m_health.excluded_until(worker));
        } else {
            refresh_worker(now, worker);
        }
    }
}

std::optional<common::time_point> task_runner::next_wakeup(common::time_point now) const {
    std::optional<common::time_point> next = m_health.next_change(now);
    const auto earlier = [&](common::time_point t) { next = std::min(next.value_or(t), t); };
    if (!m_deadlines.empty()) {
        earlier(m_deadlines.begin()->first);
    }
    if (m_recovering && m_recovery_bound) {
        earlier(std::max(*m_recovery_bound, now));
    }
    if (m_placement->waiting() > 0) {
        earlier(now + m_placement_settings.replan_interval);
    }
    return next;
}

void task_runner::refresh_worker(common::time_point now, const std::string& worker) {
    auto info = m_fleet.info(worker);
    if (!info) {
        return;
    }
    // The next owner does not know workers outside the logged set. It could start tasks that run
    // there a second time elsewhere, so such a worker is given no tasks.
    if (!m_journal.table().workers().contains(worker)) {
        info->state = placement::worker_state::unreachable;
    } else if (m_policy.excluded_workers.contains(worker)) {
        info->state = placement::worker_state::quarantined;
    } else if (info->state == placement::worker_state::available &&
               m_health.excluded(worker, now)) {
        info->state = placement::worker_state::quarantined;
        m_excluded.set(worker, m_health.excluded_until(worker));
    }
    m_placement->upsert_worker(*info);
}

std::set<std::string> task_runner::tasks_on(const std::string& worker) const {
    const auto position = m_on_worker.find(worker);
    return position == m_on_worker.end() ? std::set<std::string>() : position->second;
}

void task_runner::on_worker_changed(common::time_point now, const std::string& worker) {
    refresh_worker(now, worker);
    if (!m_fleet.leaving(worker)) {
        return;
    }
    for (const auto& task : tasks_on(worker)) {
        const auto ref = find_task(task);
        if (!ref) {
            continue;
        }
        task_run& run = ref->run();
        if (run.phase == task_phase::starting && m_fleet.remove_queued(worker, run.attempt)) {
            on_not_started(now, *ref, "leaving");
        } else if (run.phase == task_phase::running &&
                   ref->job->spec.kind == placement::workload_kind::service) {
            // A service does not end by itself, so it is moved while the worker still runs.
            request_end(*ref, worker_op::stop);
        }
    }
}

void task_runner::count_retry(std::string_view reason) {
    m_counters.get("retries_total", "reason", reason).add();
}

} // namespace buckthornspar::scheduling
