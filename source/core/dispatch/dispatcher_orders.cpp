#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Delay before a task whose start was refused is placed again, so that a transient cause can pass.
constexpr auto refused_start_delay = std::chrono::milliseconds(60);
constexpr unsigned max_start_repeats = 3;
// Retry interval of a stop that certainly did not reach its worker.
constexpr common::duration unsent_stop_retry = std::chrono::milliseconds(100);

} // namespace

void dispatcher::on_start_result(common::time_point now, const start_order& order,
                                 const order_result& result) {
    const bool limited = is_start_limit_reached();
    --m_pending_starts;
    m_pending_start_memory -= memory_of(order);
    m_replan_needed |= limited;
    if (m_launch && m_launch->contains(order.run)) {
        --m_launch->under_way;
    }
    if (result.status == order_status::accepted) {
        m_last_start_at = now;
        // The run may have been given up meanwhile.
        mark_begun(order.run.task, begin_evidence::accepted);
    }
    auto* const worker = m_workers.find(order.worker);
    if (worker == nullptr) {
        return;
    }
    note_order_result(*worker);
    const auto position = worker->runs.find(order.run);
    if (position != worker->runs.end() && result.clock_ms != 0) {
        auto& placed = position->second;
        // The crash of the incarnation that the owner knows is older than the run.
        placed.crash_counted |=
            m_workers.is_of_next_incarnation(*worker, placed.ordered_at, result.clock_ms);
    }
    if (result.clock_ms != 0) {
        m_workers.update_clock(*worker, now, result.clock_ms);
    }
    if (position == worker->runs.end()) {
        return;
    }
    placed_run& placed = position->second;
    if (result.status != order_status::no_answer && placed.open_orders > 0) {
        --placed.open_orders;
    }
    if (result.status == order_status::accepted) {
        if (placed.phase != run_phase::stopping) {
            placed.phase = run_phase::running;
        }
        placed.confirmed_clock_ms = std::max(placed.confirmed_clock_ms, result.clock_ms);
        placed.begun = true;
        // A repeated order may have reached the next incarnation.
        placed.confirmed |= placed.unanswered_orders == 0;
        return;
    }
    if (result.status == order_status::stale_fence) {
        m_actions.emplace_back(fenced{order.worker});
        return;
    }
    if (result.status == order_status::no_answer) {
        ++placed.unanswered_orders;
        m_workers.note_open_lease(order.worker, now);
        if (placed.phase == run_phase::running || placed.phase == run_phase::stopping) {
            return;
        }
        placed.phase = run_phase::unanswered;
        if (placed.unanswered_orders <= max_start_repeats && may_order(now) && may_start(now) &&
            !worker->report.draining && m_jobs.contains(order.run.task.job)) {
            // Repeats the same run; the worker executes it at most once.
            auto repeated = order;
            repeated.valid_until_ms = grant_start_validity(*worker, now);
            placed.start_valid_until_ms =
                std::max(placed.start_valid_until_ms, repeated.valid_until_ms);
            ++placed.open_orders;
            placed.last_order_at = now;
            m_counters.get("start_repeats_total").add();
            send_start(std::move(repeated));
        }
        return;
    }
    if (placed.unanswered_orders > 0 || placed.phase == run_phase::running) {
        // An earlier order of this run may have been executed; the next poll shows whether it was.
        return;
    }
    handle_start_not_executed(now, *worker, order.run, order_status_names.name(result.status));
    if (result.status == order_status::no_ticket) {
        if (const auto job = m_jobs.find(order.run.task.job); job != m_jobs.end()) {
            auto* const step = job->second.find_step(order.run.task);
            auto* const ticket = step == nullptr ? nullptr : step->tickets.find(worker->slot);
            if (ticket != nullptr) {
                ticket->expires = now;
            }
        }
        return;
    }
    worker->excluded_until = std::max(worker->excluded_until, now + m_settings.refused_start_pause);
}

void dispatcher::handle_start_not_executed(common::time_point now, worker_entry& worker,
                                           const run_key& run, std::string_view reason) {
    m_workers.release(worker, run);
    m_counters.get("start_refusals_total", "reason", reason).add();
    log_event(severity::info, "start_refused",
              {{"task", to_string(run.task)},
               {"run", run.run},
               {"worker", worker.report.id},
               {"reason", reason}});
    const auto job = m_jobs.find(run.task.job);
    const auto* const task = job == m_jobs.end() ? nullptr : job->second.find(run.task);
    if (task == nullptr || task->current != run_location{worker.report.id, run.run}) {
        return;
    }
    const bool open = !task->progress.succeeded;
    job->second.find_step(run.task)->clear_current(run.task.index);
    note_waiting(run.task.job);
    if (open) {
        job->second.edit(run.task).not_before = now + refused_start_delay;
    }
    m_replan_needed = true;
    if (job->second.spec_of(run.task).gang) {
        stop_gang(now, job->second, run.task);
    }
}

void dispatcher::on_stop_result(common::time_point now, const stop_order& order,
                                const order_result& result) {
    m_open_stops -= std::min<std::size_t>(m_open_stops, 1);
    auto* const worker = m_workers.find(order.worker);
    if (worker != nullptr) {
        note_order_result(*worker);
    }
    if (result.status == order_status::stale_fence) {
        m_actions.emplace_back(fenced{order.worker});
        return;
    }
    if (worker == nullptr) {
        return;
    }
    const auto position = worker->runs.find(order.run);
    if (position != worker->runs.end()) {
        auto& placed = position->second;
        placed.stop_due = placed.stop_sent_at + (result.status == order_status::not_sent
                                                     ? unsent_stop_retry
                                                     : m_settings.stop_retry_interval);
    }
    if (result.clock_ms == 0) {
        return;
    }
    m_workers.update_clock(*worker, now, result.clock_ms);
    if (position != worker->runs.end() && result.status == order_status::accepted) {
        // Polls after this response list the run, unless it was never started and never will be.
        position->second.confirmed_clock_ms =
            std::max(position->second.confirmed_clock_ms, result.clock_ms);
        if (position->second.uncertain) {
            schedule_poll(*worker, now);
        }
    }
}

void dispatcher::request_stop(common::time_point now, const std::string& id, const run_key& run) {
    auto* const worker = m_workers.find(id);
    if (worker == nullptr) {
        return;
    }
    const auto position = worker->runs.find(run);
    if (position == worker->runs.end() || position->second.phase == run_phase::stopping) {
        return;
    }
    position->second.phase = run_phase::stopping;
    send_stop(now, *worker, run, position->second);
}

void dispatcher::send_stop(common::time_point now, worker_entry& worker, const run_key& run,
                           placed_run& placed) {
    const auto& id = worker.report.id;
    placed.stop_sent_at = now;
    placed.stop_due = common::time_point::max();
    m_pending_stops.emplace(id, run);
    if (m_unsent_stops.contains(id) || is_turn_over() || !may_send_paced(worker)) {
        m_unsent_stops[id].push_back(run);
        return;
    }
    emit_stop(worker, run);
}

void dispatcher::emit_stop(worker_entry& worker, const run_key& run) {
    ++m_open_stops;
    note_order(worker);
    m_actions.emplace_back(stop_order{worker.report.id, run, m_fence});
}

// A start that was sent before a restart may be executed by the new incarnation, which has the same
// id. Only a response of the new incarnation to a stop rules this out. This also holds for runs
// that have been released meanwhile.
void dispatcher::handle_worker_restart(common::time_point now, const std::string& id,
                                       const worker_registry::update& change) {
    auto& worker = *m_workers.find(id);
    m_observer.on_restart(worker.slot);
    m_workers_dirty = true;
    // It holds for the former incarnation only.
    m_recorded_wait_ends.erase(id);
    if (!change.was_draining) {
        count_crash(now, worker, change.was_silent_since.value_or(now),
                    change.was_cut_off ? loss_evidence::silent : loss_evidence::restarted);
        confirm_crash(now, worker, loss_evidence::restarted);
    }
    // The new incarnation numbers its ended runs from 1 again.
    m_save_round_ends.erase(id);
    static_cast<void>(m_workers.place_open_starts(worker, now));
    // All of them follow.
    m_unsent_stops.erase(id);
    for (auto& [run, placed] : worker.runs) {
        send_stop(now, worker, run, placed);
    }
}

void dispatcher::stop_open_starts(common::time_point now, const std::string& id) {
    auto& worker = *m_workers.find(id);
    for (const auto& run : m_workers.place_open_starts(worker, now)) {
        send_stop(now, worker, run, worker.runs.at(run));
    }
}

void dispatcher::check_stops(common::time_point now) {
    for (auto position = m_pending_stops.begin(); position != m_pending_stops.end();) {
        auto* const worker = m_workers.find(position->first);
        const auto run = worker == nullptr ? decltype(worker->runs.begin()){}
                                           : worker->runs.find(position->second);
        if (worker == nullptr || run == worker->runs.end()) {
            position = m_pending_stops.erase(position);
            continue;
        }
        if (worker->reachable && now > run->second.stop_due) {
            send_stop(now, *worker, position->second, run->second);
        }
        ++position;
    }
}

void dispatcher::stop_gang(common::time_point now, job_entry& job, const task_key& task) {
    cancel_launch(task);
    auto* const step = job.find_step(task);
    // Called for each member that fails to start or is lost: thousands at a time may be.
    if (step == nullptr || std::exchange(step->gang_stopped, true)) {
        return;
    }
    for (const auto& [i, member] : step->tasks.own()) {
        if (member.current) {
            auto key = task;
            key.index = i;
            request_stop(now, member.current->worker, {key, member.current->run});
        }
    }
}

} // namespace buckthornspar::dispatch
