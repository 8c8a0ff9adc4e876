#include "core/dispatch/dispatcher.h"

#include "core/common/logging.h"
#include "core/dispatch/shared_store.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Rows of a commit that are not job records: the owner's key and the sequence key, as expectations
// and as a put, and the record of workers.
constexpr std::size_t fixed_commit_rows = 4;
// A final record replaces the progress, and removes the job and a cancel request.
std::size_t rows_of(const job_save& save) {
    return 1U + (save.final ? 1U : 0U) + (save.final && save.cancelled ? 1U : 0U);
}

// Pause before a failed look is repeated, times the number of failures, and its bound.
constexpr auto look_retry = std::chrono::milliseconds(150);
constexpr unsigned max_look_retry_factor = 6;
// Interval of planning when nothing has changed: tickets expire and exclusions end.
constexpr auto plan_interval = std::chrono::milliseconds(50);
// Shortest time between two plans, so that events that come together are planned together.
constexpr auto plan_pause = std::chrono::milliseconds(6);
// Interval at which leases, lost workers and unanswered stops are checked.
constexpr auto check_interval = std::chrono::milliseconds(40);

} // namespace

dispatcher::dispatcher(dispatcher_settings settings, common::counters& counters)
    : m_settings(settings),
      m_counters(counters),
      m_workers(settings.leases),
      m_authority(settings.authority) {}

void dispatcher::on_queues(const std::vector<queue_settings>& queues) {
    for (const auto& queue : queues) {
        // Queues that have been removed stay: their accepted jobs are carried out.
        m_queues[queue.name] = queue;
    }
    m_replan = true;
}

void dispatcher::on_worker(common::time_point now, const worker_report& report) {
    const auto* const known = m_workers.find(report.id);
    const bool was_listed = known != nullptr && known->listed;
    const auto change = m_workers.upsert(now, report);
    if (change.restarted) {
        log_event(severity::info, "worker_restarted",
                  {{"worker", report.id}, {"born_ms", report.born_ms}});
        begin_new_life(now, report.id);
        m_runs_in_doubt |= m_unadopted.erase(report.id) > 0;
        m_silent.erase(report.id);
    }
    if (change.draining_changed || change.added || !was_listed) {
        log_event(severity::info, "worker_listed",
                  {{"worker", report.id},
                   {"draining", report.draining ? 1 : 0},
                   {"cpu_milli", report.capacity.cpu_milli}});
    }
    if (change.added || change.restarted) {
        schedule_look(*m_workers.find(report.id), now);
    }
    if (change.added) {
        m_workers_dirty = true;
        update_quorum();
    }
    m_replan = true;
}

void dispatcher::on_worker_unlisted(common::time_point now, const std::string& worker) {
    m_workers.set_unlisted(now, worker);
    log_event(severity::info, "worker_unlisted", {{"worker", worker}});
}

void dispatcher::on_job(common::time_point now, const job_spec& spec, const job_progress& progress,
                        std::uint64_t revision) {
    if (is_final(progress.state) || m_jobs.contains(spec.id)) {
        return;
    }
    auto job = make_job(spec, progress, revision, now);
    const auto state = job.state;
    m_queued[spec.queue] += state == job_state::queued ? 1 : 0;
    m_jobs.emplace(spec.id, std::move(job));
    m_actions.emplace_back(state_change{spec.id, spec.queue, state});
    m_replan = true;
    if (m_early_cancels.erase(spec.id) > 0) {
        on_cancel(now, spec.id);
    }
}

void dispatcher::on_cancel(common::time_point now, const std::string& id) {
    const auto position = m_jobs.find(id);
    if (position == m_jobs.end()) {
        // Keys that are read anew come in order of their names, cancels before jobs. Cancels of
        // jobs that have ended stay here until the owner's term ends; they are few.
        m_early_cancels.insert(id);
        return;
    }
    if (is_final(position->second.state)) {
        return;
    }
    position->second.cancel_stored = true;
    end_job(now, position->second, job_state::cancelled, "cancel_request");
}

void dispatcher::end_job(common::time_point now, job_entry& job, job_state state,
                         std::string_view reason) {
    m_queued[job.spec.queue] -= job.state == job_state::queued ? 1 : 0;
    job.state = state;
    mark_dirty(job);
    log_event(severity::info, "job_ended",
              {{"job", job.spec.id},
               {"queue", job.spec.queue},
               {"state", job_state_names.name(state)},
               {"reason", reason},
               {"objective_ms", objective_ms(job)},
               {"age_ms", common::to_milliseconds(now - job.learnt_at)}});
    if (state == job_state::completed) {
        return;
    }
    for (auto& occurrence : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            auto& step = occurrence.steps[s];
            for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
                if (const auto current = step.tasks[i].current) {
                    request_stop(now, current->worker,
                                 {{job.spec.id, occurrence.number, s, i}, current->run});
                }
            }
        }
    }
}

void dispatcher::set_running(job_entry& job) {
    if (job.state == job_state::queued) {
        --m_queued[job.spec.queue];
        job.state = job_state::running;
        m_actions.emplace_back(state_change{job.spec.id, job.spec.queue, job.state});
    }
}

std::optional<save_batch> dispatcher::next_save() {
    if (m_save_pending) {
        return std::nullopt;
    }
    if (m_round.empty() && m_round_ends.empty()) {
        // The ends that have been counted so far are saved when the jobs that are dirty now are.
        m_round.swap(m_dirty);
        for (const auto& [id, worker] : m_workers.all()) {
            if (worker.ends_seen > worker.ends_saved) {
                m_round_ends[id] = worker.ends_seen;
            }
        }
    }
    if (m_round.empty() && m_round_ends.empty() && !m_workers_dirty) {
        return std::nullopt;
    }
    save_batch batch;
    std::size_t rows = fixed_commit_rows;
    // Callers wait for the ends of jobs; what else is recorded only serves a successor.
    fill_batch(batch, rows, true);
    fill_batch(batch, rows, false);
    if (m_workers_dirty) {
        m_workers_dirty = false;
        m_batch_workers.emplace();
        for (const auto& [id, worker] : m_workers.all()) {
            if (is_silent(worker)) {
                // A successor relies on it that nothing more is started here.
                m_recorded_workers.erase(id);
            } else if (worker.may_hold_runs()) {
                m_batch_workers->insert(id);
            }
        }
        batch.workers = write_worker_record(make_worker_record());
    }
    m_save_pending = true;
    return batch;
}

void dispatcher::fill_batch(save_batch& batch, std::size_t& rows, bool final) {
    for (auto position = m_round.begin(); position != m_round.end();) {
        const auto found = m_jobs.find(*position);
        if (found == m_jobs.end()) {
            position = m_round.erase(position);
            continue;
        }
        const auto& job = found->second;
        if (is_final(job.state) != final) {
            ++position;
            continue;
        }
        job_save record{*position, final, job.cancel_stored, ""};
        if (rows + rows_of(record) > max_commit_rows) {
            return;
        }
        rows += rows_of(record);
        record.progress = write_progress(job.progress());
        if (final) {
            m_batch_changes.push_back({record.job, job.spec.queue, job.state});
        }
        batch.jobs.push_back(std::move(record));
        position = m_round.erase(position);
    }
}

void dispatcher::on_saved(common::time_point now) {
    m_save_pending = false;
    if (m_batch_workers) {
        m_recorded_workers = *std::exchange(m_batch_workers, std::nullopt);
        m_term_recorded = true;
        m_replan = true;
    }
    for (const auto& change : m_batch_changes) {
        m_jobs.erase(change.job);
        m_dirty.erase(change.job);
        m_actions.emplace_back(change);
    }
    m_batch_changes.clear();
    if (!m_round.empty()) {
        return;
    }
    for (const auto& [id, number] : m_round_ends) {
        if (auto* const worker = m_workers.find(id)) {
            worker->ends_saved = std::max(worker->ends_saved, number);
            schedule_look(*worker, now);
        }
    }
    m_round_ends.clear();
}

void dispatcher::update_quorum() {
    std::set<std::string> ids;
    for (const auto& entry : m_workers.all()) {
        ids.insert(entry.first);
    }
    m_authority.set_quorums(ids, ids);
}

void dispatcher::check_workers(common::time_point now) {
    std::vector<std::string> gone;
    for (auto& [id, worker] : m_workers.all()) {
        const bool lease_over = now > worker.lease_end && !worker.reachable;
        if (lease_over && !worker.runs.empty()) {
            log_event(severity::warning, "worker_lost",
                      {{"worker", id}, {"runs", worker.runs.size()}});
            worker.adopted = false;
            lose_runs(now, id, m_workers.forget_runs(worker), "lease_over");
            m_workers_dirty = true;
        }
        if (m_recorded_workers.contains(id) && !worker.may_hold_runs()) {
            m_recorded_workers.erase(id);
            m_workers_dirty = true;
        }
        if (!worker.listed && now > worker.unlisted_since + m_settings.unlisted_grace &&
            worker.runs.empty() && !worker.reachable && now > worker.lease_end) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        log_event(severity::info, "worker_gone", {{"worker", id}});
        m_workers.erase(id);
        m_runs_in_doubt |= m_unadopted.erase(id) > 0;
        m_silent.erase(id);
        m_workers_dirty = true;
    }
    if (!gone.empty()) {
        update_quorum();
    }
}

void dispatcher::schedule_look(worker_entry& worker, common::time_point due) {
    if (!worker.look_pending) {
        m_look_due.set(worker.slot, due);
    }
}

void dispatcher::send_looks(common::time_point now) {
    for (const auto slot : m_look_due.take_due(now)) {
        auto* const worker = m_workers.at(slot);
        if (worker == nullptr || worker->look_pending) {
            continue;
        }
        look_call call;
        call.id = m_next_call++;
        call.order.worker = worker->report.id;
        call.order.fence = m_fence;
        call.order.ends_saved = worker->ends_saved;
        // A look without an answer may still be carried out. At a silent worker it must not renew
        // the lease, or the end of its runs would never be certain.
        call.order.valid_until_ms = worker->reachable ? m_workers.grant_lease(*worker, now) : 0;
        const bool wait = worker->adopted && worker->look_failures == 0 && !worker->runs.empty() &&
                          worker->ends_seen == worker->ends_saved && !worker->has_doubtful_runs();
        call.order.wait = wait ? m_settings.look_wait : common::duration(0);
        worker->look_pending = true;
        worker->look_call = call.id;
        m_actions.emplace_back(std::move(call));
    }
}

void dispatcher::on_look(common::time_point now, const look_call& call, common::time_point sent_at,
                         const look_result& result) {
    auto* worker = m_workers.find(call.order.worker);
    if (worker == nullptr || worker->look_call != call.id) {
        return;
    }
    worker->look_pending = false;
    if (result.status != order_status::accepted) {
        if (result.status == order_status::stale_fence) {
            m_actions.emplace_back(fenced{call.order.worker});
            return;
        }
        ++worker->look_failures;
        if (worker->look_failures < m_settings.silent_looks) {
            schedule_look(*worker, now);
            return;
        }
        if (worker->reachable) {
            log_event(severity::warning, "worker_unreachable",
                      {{"worker", call.order.worker},
                       {"status", order_status_names.name(result.status)}});
        }
        m_workers_dirty |= worker->reachable;
        worker->reachable = false;
        schedule_look(*worker,
                      now + look_retry * std::min(worker->look_failures, max_look_retry_factor));
        return;
    }
    if (result.born_ms != 0 && result.born_ms != worker->report.born_ms) {
        auto report = worker->report;
        report.born_ms = result.born_ms;
        report.clock_ms = 0;
        const bool listed = worker->listed;
        const auto change = m_workers.upsert(now, report);
        worker = m_workers.find(call.order.worker);
        worker->listed = listed;
        if (change.restarted) {
            log_event(severity::info, "worker_restarted",
                      {{"worker", call.order.worker}, {"born_ms", result.born_ms}});
            begin_new_life(now, call.order.worker);
            m_runs_in_doubt |= m_unadopted.contains(call.order.worker);
        }
    }
    m_workers.note_clock(*worker, now, result.clock_ms);
    worker->last_contact = now;
    m_workers_dirty |= !worker->reachable || m_silent.contains(call.order.worker);
    worker->reachable = true;
    worker->look_failures = 0;
    worker->adopted = true;
    worker->known = true;
    m_unadopted.erase(call.order.worker);
    m_silent.erase(call.order.worker);
    m_authority.record_acceptance(call.order.worker, sent_at);
    for (const auto& row : result.ended) {
        note_ended(now, *worker, row);
    }
    for (const auto& row : result.running) {
        note_running(now, *worker, row, result.clock_ms);
    }
    note_vanished(now, *worker, result);
    // With ends that are not saved yet the next look would be answered at once.
    const bool unsaved = worker->ends_seen > worker->ends_saved;
    if (worker->runs.empty() && !unsaved) {
        schedule_look(*worker, now + m_settings.idle_look);
    } else {
        schedule_look(*worker, unsaved ? now + m_settings.idle_look / 4 : now);
    }
    m_replan = true;
}

void dispatcher::on_time(common::time_point now) {
    if (now >= m_next_check) {
        m_next_check = now + check_interval;
        check_workers(now);
        check_stops(now);
    }
    check_recovery(now);
    if ((m_replan && now >= m_next_plan) || now >= m_next_plan + plan_interval) {
        m_replan = false;
        if (!m_draining && m_authority.held(now)) {
            plan(now);
        }
        m_next_plan = now + plan_pause;
    }
    send_looks(now);
}

common::time_point dispatcher::next_wakeup(common::time_point now) const {
    auto next = m_next_plan + (m_replan ? common::duration(0) : common::duration(plan_interval));
    next = std::min(next, m_next_check);
    if (const auto look = m_look_due.next()) {
        next = std::min(next, *look);
    }
    return std::max(next, now);
}

std::vector<dispatch_action> dispatcher::take_actions() {
    return std::exchange(m_actions, {});
}

} // namespace buckthornspar::dispatch
