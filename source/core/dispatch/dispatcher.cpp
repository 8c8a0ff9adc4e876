#include "core/dispatch/dispatcher.h"

#include "core/common/logging.h"
#include "core/dispatch/shared_store.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Rows of a commit other than job records: the owner's key and the sequence key as expectations,
// the put of the sequence key, and the worker record.
constexpr std::size_t fixed_commit_rows = 4;
// No further record is added to a commit of this size. A commit is kept until the store has
// answered, in several encodings.
constexpr std::size_t max_commit_bytes = std::size_t{256} << 10U;
// A final record replaces the progress and removes the job and its cancel request, if any.
std::size_t row_count(const job_save& save) {
    return 1U + (save.final ? 1U : 0U) + (save.final && save.cancelled ? 1U : 0U);
}

// Delay before a failed poll is repeated; it is multiplied by the number of failures up to a limit.
constexpr auto poll_retry_delay = std::chrono::milliseconds(150);
constexpr unsigned max_poll_retry_factor = 6;
// A poll that the limit of pending polls holds back is looked at again after this time.
constexpr auto poll_limit_delay = std::chrono::milliseconds(10);
// Planning runs at least this often even without events, because tickets expire and exclusions end.
constexpr auto max_plan_interval = std::chrono::milliseconds(50);
// Shortest time between two plans, so that events arriving together are handled in one plan.
constexpr auto min_plan_interval = std::chrono::milliseconds(6);
// A process that was paused during a plan does not pause planning for as long.
constexpr auto max_plan_pause = std::chrono::milliseconds(200);
// Workers that answer for the first time within this time and, in large fleets, within a time in
// proportion to the record's size share one record: ten thousand records of a fleet of ten thousand
// would be 8 GB.
constexpr auto min_record_delay = std::chrono::milliseconds(15);
constexpr auto record_delay_per_worker = std::chrono::microseconds(50);
// The remaining waits for silent workers are recorded this often. A successor waits for longer by
// as much at most.
constexpr auto wait_record_interval = std::chrono::milliseconds(500);
// Interval at which leases, lost workers and unanswered stops are checked.
constexpr auto check_interval = std::chrono::milliseconds(40);

} // namespace

dispatcher::dispatcher(dispatcher_settings settings, common::counters& counters)
    : m_settings(std::move(settings)),
      m_counters(counters),
      m_workers(m_settings.leases),
      m_observer(m_settings.learning, counters),
      m_authority(m_settings.authority) {}

void dispatcher::on_queues(const std::vector<queue_settings>& queues) {
    for (const auto& queue : queues) {
        // Removed queues are kept, because their accepted jobs are still executed.
        m_queues[queue.name] = queue;
        m_unconfigured_queues.erase(queue.name);
    }
    note_all_waiting();
    m_replan_needed = true;
}

void dispatcher::on_customers(const std::vector<customers::customer_settings>& customers) {
    m_workers.usage().set_caps(customers);
    m_shares.set_customers(customers);
    note_all_waiting();
    m_replan_needed = true;
}

void dispatcher::on_worker(common::time_point now, const worker_report& report) {
    const auto* const known = m_workers.find(report.id);
    const bool was_listed = known != nullptr && known->listed;
    const auto change = m_workers.upsert(now, report);
    if (change.ambiguous) {
        schedule_poll(*m_workers.find(report.id), now);
        return;
    }
    if (change.restarted) {
        log_event(severity::info, "worker_restarted",
                  {{"worker", report.id}, {"born_ms", report.start_time_ms}});
        handle_worker_restart(now, report.id, change);
        // A start of a former owner may still begin there until the new incarnation has answered a
        // poll under this owner's fence.
        m_unreported_runs_possible |= is_waited_for(report.id);
    }
    if (change.draining_changed || change.added || !was_listed) {
        log_event(severity::info, "worker_listed",
                  {{"worker", report.id},
                   {"draining", report.draining ? 1 : 0},
                   {"cpu_milli", report.capacity.cpu_milli}});
    }
    if (change.capacity_changed) {
        m_counters.get("worker_capacity_changes_total").add();
        log_event(severity::info, "worker_resized",
                  {{"worker", report.id},
                   {"cpu_milli", report.capacity.cpu_milli},
                   {"free_cpu_milli", m_workers.find(report.id)->free().cpu_milli}});
    }
    if (change.added) {
        stop_open_starts(now, report.id);
    }
    if (change.restarted || (change.added && counts_towards_quorum(report.id))) {
        m_unconfirmed_incarnations[report.id] = now;
    }
    if (change.added || change.restarted) {
        schedule_poll(*m_workers.find(report.id), now);
    }
    // An empty worker that drains is not in the record; without an entry it would get no starts.
    m_workers_dirty |= change.draining_changed && !report.draining;
    if (change.reported) {
        withdraw_crash(std::exchange(m_workers.find(report.id)->pending_suspects, {}), false);
    }
    if (change.added) {
        withdraw_crash_of_returned_worker(report);
    }
    m_replan_needed = true;
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
    job.spec.accepted_queue.reset();
    job.customer = m_workers.usage().open_account(spec.customer);
    keep_accepted_queue(spec, revision);
    const auto state = job.state;
    m_queued_by_queue[spec.queue] += state == job_state::queued ? 1 : 0;
    m_scheduled_job_count += spec.schedule.repeats > 0 ? 1 : 0;
    m_job_memory += memory_of(job.spec);
    const auto* const queue = queue_of(job.spec);
    m_shares.add(job, queue != nullptr && queue->priority == 0);
    m_jobs.emplace(spec.id, std::move(job));
    note_waiting(spec.id);
    m_actions.emplace_back(
        state_change{spec.id, spec.queue, state, spec.accepted_by, spec.customer});
    m_replan_needed = true;
    count_recorded_suspects(now, spec.id);
    if (m_cancels_before_job.erase(spec.id) > 0) {
        on_cancel(now, spec.id);
    }
}

void dispatcher::keep_accepted_queue(const job_spec& spec, std::uint64_t revision) {
    if (!spec.accepted_queue) {
        return;
    }
    const auto [queue, added] = m_queues.try_emplace(spec.queue, *spec.accepted_queue);
    if (added) {
        m_unconfigured_queues[spec.queue] = revision;
        // Jobs of earlier versions, whose records have no settings.
        note_all_waiting();
        return;
    }
    const auto from = m_unconfigured_queues.find(spec.queue);
    if (from != m_unconfigured_queues.end() && from->second < revision) {
        from->second = revision;
        queue->second = *spec.accepted_queue;
    }
}

void dispatcher::on_cancel(common::time_point now, const std::string& id) {
    const auto position = m_jobs.find(id);
    if (position == m_jobs.end()) {
        // A full read of the store returns keys in name order, cancel requests before jobs. Cancel
        // requests of ended jobs stay here until the owner's term ends; there are only a few.
        m_cancels_before_job.insert(id);
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
    m_queued_by_queue[job.spec.queue] -= job.state == job_state::queued ? 1 : 0;
    job.state = state;
    m_waiting.erase_job(job.spec.id);
    m_shares.erase(job.spec.id);
    mark_dirty(job);
    log_event(severity::info, "job_ended",
              {{"job", job.spec.id},
               {"queue", job.spec.queue},
               {"state", job_state_names.name(state)},
               {"reason", reason},
               {"objective_ms", objective_ms(job)},
               {"age_ms", common::to_milliseconds(now - job.first_seen_at)}});
    if (m_launch && m_launch->planned.step.job == job.spec.id) {
        cancel_launch(m_launch->planned.step);
    }
    if (state == job_state::completed) {
        return;
    }
    for (const auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            for (const auto& [i, task] : occurrence.steps[s].tasks.own()) {
                if (task.current) {
                    request_stop(now, task.current->worker,
                                 {{job.spec.id, number, s, i}, task.current->run});
                }
            }
        }
    }
}

void dispatcher::mark_begun(const task_key& task, begin_evidence evidence) {
    const auto position = m_jobs.find(task.job);
    if (position == m_jobs.end() || position->second.state != job_state::queued ||
        position->second.find(task) == nullptr) {
        return;
    }
    auto& job = position->second;
    --m_queued_by_queue[job.spec.queue];
    job.state = job_state::running;
    log_event(severity::info, "job_begun",
              {{"job", job.spec.id},
               {"queue", job.spec.queue},
               {"evidence", begin_evidence_names.name(evidence)}});
    m_actions.emplace_back(state_change{job.spec.id, job.spec.queue, job.state,
                                        job.spec.accepted_by, job.spec.customer});
}

std::optional<save_batch> dispatcher::next_save() {
    if (m_save_pending) {
        return std::nullopt;
    }
    if (m_save_round.empty() && m_save_round_ends.empty()) {
        // The ended runs processed so far are saved once all jobs that are dirty now are written.
        m_save_round.swap(m_dirty_jobs);
        for (const auto& id : m_unsaved_workers) {
            const auto* const worker = m_workers.find(id);
            if (worker != nullptr && worker->ends_received > worker->ends_saved) {
                m_save_round_ends[id] = worker->ends_received;
            }
        }
        m_unsaved_workers.clear();
    }
    if (m_save_round.empty() && m_save_round_ends.empty() && !m_workers_dirty) {
        return std::nullopt;
    }
    save_batch batch;
    batch_size size{fixed_commit_rows, 0};
    // Final records come first: callers wait for them. All other records only serve a successor.
    fill_batch(batch, size, true);
    fill_batch(batch, size, false);
    if (m_workers_dirty) {
        m_workers_dirty = false;
        m_record_due.reset();
        m_batch_workers.emplace();
        for (const auto& [id, worker] : m_workers.all()) {
            if (is_unresponsive(worker) || has_recordable_wait(worker)) {
                // A successor relies on no further runs being started on this worker.
                m_recorded_workers.erase(id);
            } else if (is_recordable(worker)) {
                m_batch_workers->insert(id);
            }
        }
        const auto record = make_worker_record();
        m_pending_quorum = record.quorum_or_all();
        m_quorum_outdated = true;
        m_pending_waits.clear();
        for (const auto& entry : record.remaining_waits) {
            m_pending_waits.insert(entry.first);
        }
        m_waits_due = m_recovery_checked_at + wait_record_interval;
        batch.workers = write_worker_record(record);
    }
    m_save_pending = true;
    return batch;
}

void dispatcher::fill_batch(save_batch& batch, batch_size& size, bool final) {
    for (auto position = m_save_round.begin(); position != m_save_round.end();) {
        const auto found = m_jobs.find(*position);
        if (found == m_jobs.end()) {
            position = m_save_round.erase(position);
            continue;
        }
        auto& job = found->second;
        if (is_final(job.state) != final) {
            ++position;
            continue;
        }
        job_save record{*position, final, job.cancel_stored, ""};
        if (size.rows + row_count(record) > max_commit_rows || size.bytes >= max_commit_bytes) {
            return;
        }
        record.progress = write_progress(job.progress(), m_settings.max_record_bytes);
        size.rows += row_count(record);
        size.bytes += record.progress.size();
        if (record.progress.size() > m_settings.max_record_bytes) {
            m_counters.get("records_too_large_total").add();
            log_event(severity::error, "record_too_large",
                      {{"job", record.job}, {"bytes", record.progress.size()}});
        }
        note_batch_crashes(job);
        if (final) {
            m_batch_changes.push_back(
                {record.job, job.spec.queue, job.state, job.spec.accepted_by, job.spec.customer});
        }
        batch.jobs.push_back(std::move(record));
        position = m_save_round.erase(position);
    }
}

void dispatcher::on_saved(common::time_point now) {
    m_save_pending = false;
    if (m_batch_workers) {
        m_recorded_workers = *std::exchange(m_batch_workers, std::nullopt);
        m_stored_quorum = *std::exchange(m_pending_quorum, std::nullopt);
        m_stored_waits = std::exchange(m_pending_waits, {});
        m_quorum_outdated = true;
        m_term_recorded = true;
        m_replan_needed = true;
    }
    confirm_batch_crashes();
    for (const auto& change : m_batch_changes) {
        if (const auto job = m_jobs.find(change.job); job != m_jobs.end()) {
            m_scheduled_job_count -= job->second.spec.schedule.repeats > 0 ? 1 : 0;
            m_job_memory -= memory_of(job->second.spec);
            m_jobs.erase(job);
        }
        m_dirty_jobs.erase(change.job);
        m_actions.emplace_back(change);
    }
    m_batch_changes.clear();
    if (!m_save_round.empty()) {
        return;
    }
    for (const auto& [id, number] : m_save_round_ends) {
        if (auto* const worker = m_workers.find(id)) {
            worker->ends_saved = std::max(worker->ends_saved, number);
            schedule_poll(*worker, now);
        }
    }
    m_save_round_ends.clear();
}

void dispatcher::note_answer(common::time_point now, const std::string& worker) {
    if (!m_proven_workers.insert(worker).second || m_record_due) {
        return;
    }
    m_record_due = now + min_record_delay +
                   record_delay_per_worker * static_cast<std::int64_t>(m_workers.all().size());
}

// Silence towards this owner alone does not show that a worker is dead: the owner's link may be
// slow, and runs of the worker may have succeeded. Their tasks wait for a sign from another source,
// but not for good: there may be no other node that could give one.
bool dispatcher::is_dead(const worker_entry& worker, common::time_point now) const {
    // A successor that this owner does not know of may have polled the worker before its lease
    // ended, and have stored what the worker reported.
    if (worker.reachable || m_key_seen_at <= worker.lease_end) {
        return false;
    }
    const bool removed = !worker.listed && now > worker.unlisted_since + m_settings.unlisted_grace;
    const bool reports_stopped =
        m_list_known_until > worker.reported_at + m_settings.report_silence;
    const bool silent_too_long = now > worker.lease_end + m_settings.silence_limit;
    return worker.silence_confirmed || removed || reports_stopped || silent_too_long;
}

void dispatcher::check_workers(common::time_point now) {
    m_workers.forget_open_orders(now);
    std::vector<std::string> removable;
    for (auto& [id, worker] : m_workers.all()) {
        const bool lease_over = now > worker.lease_end && is_dead(worker, now);
        if (lease_over && !worker.runs.empty()) {
            log_event(severity::warning, "worker_lost",
                      {{"worker", id},
                       {"runs", worker.begun_runs()},
                       {"starts", worker.runs.size() - worker.begun_runs()}});
            worker.adopted = false;
            if (!worker.report.draining) {
                count_crash(now, worker, worker.silent_since,
                            worker.connection_refused ? loss_evidence::refused
                                                      : loss_evidence::silent);
            }
            handle_lost_runs(now, id, m_workers.remove_runs(worker), "lease_over");
            m_workers_dirty = true;
        }
        if (m_recorded_workers.contains(id) && !worker.may_hold_runs()) {
            m_recorded_workers.erase(id);
            m_workers_dirty = true;
        }
        if (!worker.listed && now > worker.unlisted_since + m_settings.unlisted_grace &&
            worker.runs.empty() && !worker.reachable && now > worker.lease_end &&
            (!is_waited_for(id) || m_key_seen_at > former_leases_end())) {
            removable.push_back(id);
        }
    }
    for (const auto& id : removable) {
        auto& worker = *m_workers.find(id);
        log_event(severity::info, "worker_gone",
                  {{"worker", id},
                   {"fence", m_fence},
                   {"answered", worker.known ? 1 : 0},
                   {"term_ms", common::to_milliseconds(now - m_taken_over_at)}});
        confirm_crash(now, worker, loss_evidence::removed);
        m_workers.erase(id);
        m_unreported_runs_possible |= is_waited_for(id);
        m_unadopted.erase(id);
        m_unresponsive_workers.erase(id);
        m_recorded_wait_ends.erase(id);
        // Workers that are gone must not keep the successor of their owner from its majority.
        m_former_quorum.erase(id);
        m_unconfirmed_incarnations.erase(id);
        m_workers_dirty |= m_proven_workers.erase(id) > 0;
    }
}

void dispatcher::schedule_poll(worker_entry& worker, common::time_point due) {
    if (!worker.poll_pending) {
        m_polls_due.set(worker.slot, due);
    }
}

bool dispatcher::is_poll_limit_reached() const {
    return m_settings.max_pending_polls != 0 && m_pending_polls >= m_settings.max_pending_polls;
}

void dispatcher::send_polls(common::time_point now) {
    const bool permitted = may_order(now);
    for (const auto slot : m_polls_due.take_due(now)) {
        auto* const worker = m_workers.at(slot);
        if (worker == nullptr || worker->poll_pending) {
            continue;
        }
        if (is_poll_limit_reached()) {
            schedule_poll(*worker, now + poll_limit_delay);
            continue;
        }
        poll_call call;
        call.id = m_next_call++;
        call.order.worker = worker->report.id;
        call.order.fence = m_fence;
        // A poll in transit may reach the next incarnation, which numbers its ended runs from 1 and
        // would forget them unread. Only polls that have to name a number do so.
        call.order.ends_saved =
            worker->ends_saved > worker->ends_forgotten ? worker->ends_saved : 0;
        // Every second poll of an unreachable worker tries another way to it.
        call.through_peer = !worker->reachable && worker->poll_failures % 2 == 1;
        // An unanswered poll may still take effect. It must not renew the lease of a silent worker,
        // or it would never be certain that the worker's runs have ended. A poll without permission
        // still finds out whether this owner has been replaced.
        const bool answers =
            worker->reachable || (call.through_peer && worker->answers_through_peer);
        worker->poll_renews = answers && permitted && !is_wait_recorded(worker->report.id);
        if (worker->poll_renews) {
            call.order.valid_until_ms = m_workers.grant_lease(*worker, now);
        } else if (answers) {
            m_counters.get("renewals_withheld_total").add();
        }
        const bool wait = worker->adopted && worker->poll_failures == 0 && !worker->runs.empty() &&
                          worker->ends_received == worker->ends_saved &&
                          !worker->has_uncertain_runs();
        call.order.wait = wait ? m_settings.poll_wait : common::duration(0);
        m_pending_polls += wait ? 0 : 1;
        worker->poll_pending = true;
        worker->poll_call = call.id;
        m_actions.emplace_back(std::move(call));
    }
}

void dispatcher::on_poll_result(common::time_point now, const poll_call& call,
                                common::time_point sent_at, const poll_result& result) {
    if (call.order.wait == common::duration(0)) {
        m_pending_polls -= std::min<std::size_t>(m_pending_polls, 1);
    }
    auto* worker = m_workers.find(call.order.worker);
    if (worker == nullptr || worker->poll_call != call.id) {
        return;
    }
    worker->poll_pending = false;
    if (result.status == order_status::no_answer && call.order.valid_until_ms != 0) {
        m_workers.note_open_lease(call.order.worker, sent_at);
    }
    if (result.status != order_status::accepted) {
        if (result.status == order_status::stale_fence) {
            m_actions.emplace_back(fenced{call.order.worker});
            return;
        }
        if (worker->poll_failures++ == 0) {
            worker->silent_since = now;
        }
        worker->silence_confirmed |= result.silence_confirmed;
        worker->answers_through_peer &= !call.through_peer;
        if (worker->poll_failures < m_settings.unreachable_after_polls) {
            schedule_poll(*worker, now);
            return;
        }
        if (worker->reachable) {
            log_event(severity::warning, "worker_unreachable",
                      {{"worker", call.order.worker},
                       {"status", order_status_names.name(result.status)}});
            // What later polls meet may come from a restart behind a cut.
            worker->connection_refused = result.status == order_status::not_sent &&
                                         now < sent_at + m_settings.crashes.refusal_time;
        }
        m_workers_dirty |= worker->reachable;
        worker->reachable = false;
        schedule_poll(*worker, now + poll_retry_delay *
                                         std::min(worker->poll_failures, max_poll_retry_factor));
        return;
    }
    if (result.start_time_ms != 0 && result.start_time_ms != worker->report.start_time_ms) {
        if (sent_at < worker->incarnation_known_at) {
            // Sent before the current incarnation was known, and answered by a former one. The time
            // of day may be set back between two incarnations, so that their start times do not
            // tell which one is the later.
            schedule_poll(*worker, now);
            return;
        }
        auto report = worker->report;
        report.start_time_ms = result.start_time_ms;
        report.clock_ms = 0;
        const bool listed = worker->listed;
        const auto change = m_workers.upsert_answering(now, report);
        worker = m_workers.find(call.order.worker);
        worker->listed = listed;
        if (change.restarted) {
            worker->described = false;
            m_unconfirmed_incarnations[call.order.worker] = now;
            log_event(severity::info, "worker_restarted",
                      {{"worker", call.order.worker}, {"born_ms", result.start_time_ms}});
            handle_worker_restart(now, call.order.worker, change);
            m_unreported_runs_possible |= is_waited_for(call.order.worker);
            if (call.order.valid_until_ms != 0) {
                m_workers.assume_longest_lease(*worker, now);
            }
        }
    }
    if (worker->ends_saved >= call.order.ends_saved) {
        // A restart has set the number back.
        worker->ends_forgotten = std::max(worker->ends_forgotten, call.order.ends_saved);
    }
    m_workers.update_clock(*worker, now, result.clock_ms);
    worker->last_contact = now;
    withdraw_crash(std::exchange(worker->pending_suspects, {}), false);
    worker->silence_confirmed = false;
    worker->connection_refused = false;
    worker->answers_through_peer = call.through_peer;
    if (call.through_peer) {
        // The lists are as good as from a direct poll, but orders would not arrive.
        ++worker->poll_failures;
    } else {
        m_workers_dirty |= !worker->reachable;
        worker->reachable = true;
        worker->poll_failures = 0;
    }
    if (!worker->answered) {
        // Until now the worker obeyed a former owner, which may just have renewed its lease.
        m_workers.assume_lease(*worker, now);
        log_adoption(now, *worker, result, call.through_peer);
    }
    worker->answered = true;
    m_workers_dirty |= is_wait_recorded(call.order.worker);
    if (!result.may_omit_ends()) {
        worker->adopted = true;
        worker->known = true;
        m_unadopted.erase(call.order.worker);
        m_workers_dirty |= m_unresponsive_workers.erase(call.order.worker) > 0;
    }
    note_answer(now, call.order.worker);
    record_acceptance(call.order.worker, sent_at);
    for (const auto& reported : result.ended) {
        handle_ended_run(now, *worker, reported);
    }
    for (const auto& reported : result.running) {
        handle_running_run(now, *worker, reported, result.clock_ms);
    }
    handle_vanished_runs(now, *worker, result);
    // While ended runs are unsaved, the worker would respond to the next poll at once, so it is
    // delayed.
    const bool unsaved = worker->ends_received > worker->ends_saved;
    if (worker->runs.empty() && !unsaved) {
        schedule_poll(*worker, now + m_settings.idle_poll_interval);
    } else {
        schedule_poll(*worker, unsaved ? now + m_settings.ended_poll_pause : now);
    }
    m_replan_needed = true;
}

void dispatcher::on_time(common::time_point now) {
    if (now >= m_next_check) {
        m_next_check = now + check_interval;
        check_workers(now);
        check_stops(now);
    }
    if (m_record_due && now >= *m_record_due) {
        m_workers_dirty = true;
    }
    send_unsent_stops(now);
    continue_launch(now);
    log_authority(now);
    check_recovery(now);
    if ((m_replan_needed && now >= m_next_plan) || now >= m_next_plan + max_plan_interval) {
        m_replan_needed = false;
        if (!m_draining && may_order(now)) {
            if (may_start(now)) {
                plan(now);
            } else {
                m_counters.get("plans_skipped_total", "reason", "outdated_information").add();
            }
        }
        m_next_plan = now + min_plan_interval;
    }
    send_polls(now);
}

void dispatcher::on_planned(common::time_point now, common::duration took) {
    m_next_plan = std::max(m_next_plan, now + std::min<common::duration>(took, max_plan_pause));
}

common::time_point dispatcher::next_wakeup(common::time_point now) const {
    auto next =
        m_next_plan + (m_replan_needed ? common::duration(0) : common::duration(max_plan_interval));
    next = std::min(next, m_next_check);
    next = std::min(next, m_record_due.value_or(next));
    if (const auto poll = m_polls_due.next()) {
        next = std::min(next, *poll);
    }
    if (m_turn_was_short) {
        next = now;
    }
    return std::max(next, now);
}

std::vector<dispatch_action> dispatcher::take_actions() {
    m_orders_in_turn = 0;
    return std::exchange(m_actions, {});
}

} // namespace buckthornspar::dispatch
