#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// The other members of a gang end by themselves within this time after the first one.
constexpr auto gang_end_delay = std::chrono::milliseconds(600);
constexpr unsigned max_exclusion_doublings = 3;
// At most one worker in this many is excluded for failed runs at the same time.
constexpr std::size_t exclusion_divisor = 3;

} // namespace

void dispatcher::handle_running_run(common::time_point now, worker_entry& worker,
                                    const running_run& reported, std::int64_t clock_ms) {
    const auto position = worker.runs.find(reported.run);
    if (position == worker.runs.end()) {
        mark_begun(reported.run.task, begin_evidence::listed);
        adopt_run(now, worker, reported, clock_ms);
        return;
    }
    placed_run& placed = position->second;
    if (placed.phase == run_phase::ordered || placed.phase == run_phase::unanswered) {
        placed.phase = run_phase::running;
    }
    if (!std::exchange(placed.begun, true)) {
        m_last_start_at = now;
        mark_begun(reported.run.task, begin_evidence::listed);
    }
    placed.confirmed_clock_ms = std::max(placed.confirmed_clock_ms, clock_ms);
    placed.confirmed = true;
    placed.update_progress(now, reported.percent);
    if (reported.checkpoint != placed.checkpoint && !reported.checkpoint.empty()) {
        placed.checkpoint = reported.checkpoint;
    }
    // Stops unwanted runs: a copy of a task that has succeeded, or a task of an ended job.
    const auto job = m_jobs.find(reported.run.task.job);
    const auto* const task = job == m_jobs.end() ? nullptr : job->second.find(reported.run.task);
    const bool wanted = task != nullptr && !is_final(job->second.state) &&
                        task->current == run_location{worker.report.id, reported.run.run};
    if (wanted) {
        note_survival(now, job->second, reported.run.task, placed);
    }
    if (!wanted && placed.phase == run_phase::running && now > placed.ordered_at + gang_end_delay) {
        const bool gang_done = task != nullptr && task->progress.succeeded &&
                               job->second.spec_of(reported.run.task).gang;
        if (!gang_done || now > placed.percent_at + 2 * gang_end_delay) {
            request_stop(now, worker.report.id, reported.run);
        }
    }
}

void dispatcher::adopt_run(common::time_point now, worker_entry& worker,
                           const running_run& reported, std::int64_t clock_ms) {
    const auto job = m_jobs.find(reported.run.task.job);
    const auto* const task = job == m_jobs.end() ? nullptr : job->second.find(reported.run.task);
    if (task == nullptr) {
        // The demand of an unknown run is not known, so nothing else is started on this worker
        // until it has ended.
        auto& placed = m_workers.place(worker, reported.run, unknown_demand, now);
        placed.phase = run_phase::running;
        placed.confirmed_clock_ms = clock_ms;
        placed.begun = true;
        log_event(severity::warning, "stray_run",
                  {{"task", to_string(reported.run.task)},
                   {"run", reported.run.run},
                   {"worker", worker.report.id}});
        request_stop(now, worker.report.id, reported.run);
        return;
    }
    const auto& spec = job->second.spec_of(reported.run.task);
    auto& placed =
        m_workers.place(worker, reported.run, spec.allocation(), now, job->second.customer);
    placed.phase = run_phase::running;
    placed.confirmed_clock_ms = clock_ms;
    placed.confirmed = true;
    placed.begun = true;
    placed.update_progress(now, reported.percent);
    placed.checkpoint = reported.checkpoint;
    placed.expected_end =
        now + std::chrono::milliseconds(spec.estimate_ms * (100 - reported.percent) / 100);
    const auto* const known_step = job->second.find_step(reported.run.task);
    const bool current_gang = !spec.gang || known_step == nullptr || known_step->gang_run == 0 ||
                              known_step->gang_run == reported.run.run ||
                              !known_step->any_current();
    const bool wanted = !task->progress.succeeded && !task->current &&
                        !task->progress.is_processed(reported.run.run) && current_gang &&
                        !is_final(job->second.state);
    if (!task->progress.succeeded) {
        auto& last_run = job->second.edit(reported.run.task).progress.last_run;
        last_run = std::max(last_run, reported.run.run);
    }
    describe_run(now, placed, job->second, reported.run.task);
    m_observer.on_start(worker, reported.run, placed, {spec, job->second.spec.queue, false});
    log_event(severity::info, "run_adopted",
              {{"task", to_string(reported.run.task)},
               {"run", reported.run.run},
               {"worker", worker.report.id},
               {"wanted", wanted ? 1 : 0}});
    if (!wanted) {
        request_stop(now, worker.report.id, reported.run);
        return;
    }
    auto& step = *job->second.find_step(reported.run.task);
    step.set_current(reported.run.task.index, {worker.report.id, reported.run.run});
    isolate_suspect(now, worker, step, reported.run);
    if (spec.gang) {
        step.gang_run = reported.run.run;
        step.gang_since = now;
    }
}

void dispatcher::handle_ended_run(common::time_point now, worker_entry& worker,
                                  const ended_run& reported) {
    if (reported.number <= worker.ends_received) {
        return;
    }
    worker.ends_received = reported.number;
    m_unsaved_workers.insert(worker.report.id);
    const auto position = worker.runs.find(reported.run);
    const auto started = position == worker.runs.end() ? now : position->second.ordered_at;
    const auto job = m_jobs.find(reported.run.task.job);
    if (position != worker.runs.end() && job != m_jobs.end() &&
        position->second.observed.comparable) {
        m_observer.on_end(now, worker, reported, position->second,
                          {job->second.spec_of(reported.run.task), job->second.spec.queue, true});
    }
    m_workers.release(worker, reported.run);
    m_counters.get("runs_ended_total", "how", run_end_names.name(reported.how)).add();
    log_event(severity::info, "run_ended",
              {{"task", to_string(reported.run.task)},
               {"run", reported.run.run},
               {"worker", worker.report.id},
               {"how", run_end_names.name(reported.how)},
               {"number", reported.number},
               {"after_ms", common::to_milliseconds(now - started)}});
    update_exclusion(now, worker, reported.how);
    mark_begun(reported.run.task, begin_evidence::ended);
    handle_run_end(now, worker.report.id, reported.run, reported.how, reported.checkpoint);
    m_replan_needed = true;
}

void dispatcher::update_exclusion(common::time_point now, worker_entry& worker, run_end how) {
    if (how == run_end::succeeded) {
        worker.failures_in_row = 0;
        worker.exclusions = 0;
        return;
    }
    if (how != run_end::failed || ++worker.failures_in_row < m_settings.failures_to_exclude ||
        now < worker.excluded_until) {
        return;
    }
    // Runs that fail on many workers at once are themselves at fault. Without workers all other
    // work would stand as well.
    const auto excluded = static_cast<std::size_t>(
        std::count_if(m_workers.all().begin(), m_workers.all().end(), [now](const auto& entry) {
            return entry.second.exclusions > 0 && now < entry.second.excluded_until;
        }));
    if (excluded >= std::max<std::size_t>(1, m_workers.all().size() / exclusion_divisor)) {
        m_counters.get("exclusions_withheld_total").add();
        return;
    }
    const auto doublings = std::min(worker.exclusions++, max_exclusion_doublings);
    worker.excluded_until = now + m_settings.exclusion * (1U << doublings);
    log_event(severity::warning, "worker_excluded",
              {{"worker", worker.report.id},
               {"failures_in_row", worker.failures_in_row},
               {"for_ms", common::to_milliseconds(worker.excluded_until - now)}});
}

void dispatcher::handle_run_end(common::time_point now, const std::string& worker,
                                const run_key& run, run_end how, const std::string& checkpoint) {
    const auto position = m_jobs.find(run.task.job);
    if (position == m_jobs.end()) {
        return;
    }
    job_entry& job = position->second;
    const auto* const task = job.find(run.task);
    if (task == nullptr) {
        return;
    }
    note_waiting(run.task.job);
    const bool known = task->progress.is_processed(run.run) || task->progress.succeeded;
    if (task->current == run_location{worker, run.run}) {
        job.find_step(run.task)->clear_current(run.task.index);
    }
    if (known) {
        return;
    }
    auto& state = job.edit(run.task);
    auto& progress = state.progress;
    progress.mark_processed(run.run);
    mark_dirty(job);
    if (is_final(job.state)) {
        return;
    }
    auto& step = *job.find_step(run.task);
    if (!checkpoint.empty()) {
        progress.checkpoint = checkpoint;
        step.gang_checkpoint = checkpoint;
    }
    const bool ended_by_itself = how == run_end::succeeded || how == run_end::failed;
    if (ended_by_itself && state.is_suspected()) {
        step.probe_passed = true;
        clear_suspicion(job, run.task);
    }
    if (how == run_end::succeeded) {
        handle_task_success(now, job, run.task);
        return;
    }
    if (how == run_end::alone) {
        postpone_launch(now, step, run.run);
    }
    if (step.launching && step.gang_run == run.run) {
        // The gang will not be complete.
        stop_gang(now, job, run.task);
    }
    if (how == run_end::failed) {
        handle_task_failure(now, job, run.task, run.run, worker);
    }
    if (!step.any_current()) {
        step.gang_run = 0;
    }
}

void dispatcher::handle_task_success(common::time_point now, job_entry& job, const task_key& task) {
    auto& step = *job.find_step(task);
    if (job.spec_of(task).long_running) {
        // Long-running tasks are restarted however they end.
        return;
    }
    if (job.spec_of(task).gang) {
        cancel_launch(task);
        // The members succeed together: the success of one counts for all.
        for (std::uint32_t member = 0; member < step.tasks.size(); ++member) {
            step.clear_current(member);
            step.set_succeeded(member);
        }
    } else {
        const auto copy = step.tasks[task.index].current;
        step.set_succeeded(task.index);
        if (copy) {
            request_stop(now, copy->worker, {task, copy->run});
        }
    }
    job.close_if_complete(task.occurrence);
    if (job.complete()) {
        end_job(now, job, job_state::completed, "all_tasks_succeeded");
    }
}

void dispatcher::handle_task_failure(common::time_point now, job_entry& job, const task_key& task,
                                     std::uint32_t run, const std::string& worker) {
    auto& state = job.edit(task);
    auto& step = *job.find_step(task);
    state.failed_on.insert(worker);
    // Members that fail in the same run are one failed attempt of the gang. The first one decides:
    // going through all members for each of them would take minutes for a gang of thousands.
    if (job.spec_of(task).gang && std::exchange(step.failed_gang_run, run) == run) {
        renew_tickets_of_broken_gang(now, job, task);
        return;
    }
    ++state.progress.failures;
    if (job.spec_of(task).long_running) {
        return;
    }
    const auto* const queue = queue_of(job.spec);
    const auto failures = job.spec_of(task).gang ? step.failures() : state.progress.failures;
    if (queue != nullptr && failures >= queue->max_attempts) {
        log_event(severity::info, "attempts_exhausted",
                  {{"task", to_string(task)},
                   {"failures", state.progress.failures},
                   {"step_failures", step.failures()},
                   {"last_run", state.progress.last_run},
                   {"limit", queue->max_attempts}});
        end_job(now, job, job_state::failed, "attempts_exhausted");
        return;
    }
    if (job.spec_of(task).gang) {
        renew_tickets_of_broken_gang(now, job, task);
    }
}

void dispatcher::handle_vanished_runs(common::time_point now, worker_entry& worker,
                                      const poll_result& result) {
    if (result.may_omit_ends()) {
        return;
    }
    std::set<run_key> listed;
    for (const auto& reported : result.running) {
        listed.insert(reported.run);
    }
    std::vector<lost_run> vanished;
    for (const auto& [run, placed] : worker.runs) {
        if (listed.contains(run)) {
            continue;
        }
        const bool refused_by_now =
            placed.confirmed_clock_ms == 0 && result.clock_ms > placed.start_valid_until_ms;
        const bool confirmed_before =
            placed.confirmed_clock_ms != 0 && result.clock_ms > placed.confirmed_clock_ms;
        if ((placed.phase != run_phase::ordered && refused_by_now) || confirmed_before) {
            vanished.push_back({run, placed.checkpoint, placed.begun});
        }
    }
    std::vector<run_key> abandoned;
    for (const auto& run : vanished) {
        const auto& placed = worker.runs.at(run.run);
        m_workers_dirty |= placed.uncertain;
        if (placed.abandoned) {
            abandoned.push_back(run.run);
        }
        m_workers.release(worker, run.run);
    }
    std::erase_if(vanished, [&abandoned](const lost_run& run) {
        return std::find(abandoned.begin(), abandoned.end(), run.run) != abandoned.end();
    });
    handle_lost_runs(now, worker.report.id, vanished, "not_listed");
}

void dispatcher::handle_lost_runs(common::time_point now, const std::string& worker,
                                  const std::vector<lost_run>& runs, std::string_view reason) {
    for (const auto& [run, checkpoint, begun] : runs) {
        log_event(severity::info, begun ? "run_lost" : "start_lost",
                  {{"task", to_string(run.task)},
                   {"run", run.run},
                   {"worker", worker},
                   {"reason", reason}});
        auto& lost = begun ? m_counters.get("runs_lost_total", "reason", reason)
                           : m_counters.get("starts_lost_total", "reason", reason);
        lost.add();
        handle_run_end(now, worker, run, run_end::lapsed, checkpoint);
        const auto job = m_jobs.find(run.task.job);
        if (job != m_jobs.end() && job->second.find(run.task) != nullptr &&
            job->second.spec_of(run.task).gang && !is_final(job->second.state)) {
            stop_gang(now, job->second, run.task);
        }
    }
    m_replan_needed = true;
}

} // namespace buckthornspar::dispatch
