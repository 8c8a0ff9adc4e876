#include "core/common/logging.h"
#include "core/dispatch/advice_calls.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Paced orders to one worker under way. The rest of its connections is for polls and other starts.
constexpr std::size_t max_paced_orders_per_worker = 48;
// Remaining validity of the ticket of a start: the last one of a turn is sent when the processor
// has encoded all others.
constexpr common::duration launch_ticket_margin = std::chrono::milliseconds(250);
// The same, and the time of a call for tickets beyond its expected duration.
constexpr auto renewal_margin = launch_ticket_margin + std::chrono::milliseconds(200);
// Delay of a launch after one that took too long; it doubles up to a limit.
constexpr auto first_launch_delay = std::chrono::seconds(1);
constexpr unsigned max_launch_doublings = 5;

} // namespace

bool dispatcher::is_turn_over() const {
    return m_settings.max_starts_per_turn > 0 && m_orders_in_turn >= m_settings.max_starts_per_turn;
}

bool dispatcher::may_send_paced(const worker_entry& worker) const {
    const auto most = m_settings.max_paced_orders;
    const auto under_way = m_open_stops + (m_launch ? m_launch->under_way : 0);
    const auto workers = std::max<std::size_t>(1, m_workers.all().size());
    return most == 0 || (under_way < most &&
                         worker.open_orders < std::clamp<std::size_t>(most / workers, 1,
                                                                      max_paced_orders_per_worker));
}

bool dispatcher::may_send_member() const {
    const auto most = m_settings.max_start_memory;
    return most == 0 || m_launch->under_way == 0 ||
           m_pending_start_memory + m_launch->start_memory <= most;
}

void dispatcher::note_order(worker_entry& worker) {
    ++worker.open_orders;
    ++m_orders_in_turn;
}

void dispatcher::note_order_result(worker_entry& worker) {
    // The entry may have been removed and added since the order was sent.
    worker.open_orders -= std::min<std::size_t>(worker.open_orders, 1);
}

void dispatcher::send_unsent_stops(common::time_point now) {
    m_turn_was_short = false;
    for (auto position = m_unsent_stops.begin(); position != m_unsent_stops.end();) {
        auto* const worker = m_workers.find(position->first);
        auto& waiting = position->second;
        while (worker != nullptr && !waiting.empty() && may_send_paced(*worker)) {
            if (is_turn_over()) {
                m_turn_was_short = true;
                return;
            }
            const auto placed = worker->runs.find(waiting.front());
            if (placed != worker->runs.end()) {
                placed->second.stop_sent_at = now;
                emit_stop(*worker, waiting.front());
            }
            waiting.pop_front();
        }
        position = worker == nullptr || waiting.empty() ? m_unsent_stops.erase(position)
                                                        : std::next(position);
    }
}

void dispatcher::begin_launch(common::time_point now, const planned_launch& planned) {
    auto& job = m_jobs.at(planned.step.job);
    auto& step = *job.find_step(planned.step);
    auto& launch = m_launch.emplace();
    launch.planned = planned;
    launch.customer = job.customer;
    launch.start_memory = memory_of_start(job.spec.payload.size());
    launch.begun_at = now;
    for (const auto& part : planned.parts) {
        const auto members = part.end - part.next;
        launch.members += members;
        m_workers.reserve(*m_workers.at(part.worker), planned.demand * members, job.customer);
    }
    launch.unsent = launch.members;
    step.launching = true;
    step.gang_run = planned.run;
    step.gang_since = now;
    m_counters.get("gang_launches_total", "outcome", "begun").add();
    log_event(severity::info, "gang_launch_begins",
              {{"step", to_string(planned.step)},
               {"run", planned.run},
               {"members", launch.members},
               {"workers", planned.parts.size()}});
}

void dispatcher::continue_launch(common::time_point now) {
    if (!m_launch || !may_order(now) || !may_start(now)) {
        return;
    }
    const auto step = m_launch->planned.step;
    auto& job = m_jobs.at(step.job);
    renew_launch_tickets(now, job);
    // In turn, so that all workers get their members at the same time.
    for (bool any_sent = true; any_sent && m_launch->unsent > 0;) {
        any_sent = false;
        for (auto& part : m_launch->planned.parts) {
            auto* const worker = m_workers.at(part.worker);
            if (part.next == part.end) {
                continue;
            }
            if (worker == nullptr || !is_in_service(*worker, now) ||
                !worker->allocated.fits(worker->report.capacity)) {
                log_event(severity::warning, "gang_launch_fails",
                          {{"step", to_string(step)},
                           {"run", m_launch->planned.run},
                           {"unsent", m_launch->unsent},
                           {"worker", worker == nullptr ? "" : worker->report.id}});
                stop_gang(now, job, step);
                return;
            }
            if (!may_send_paced(*worker) || !may_send_member()) {
                continue;
            }
            const auto* const ticket = job.find_step(step)->tickets.find(part.worker);
            if (ticket != nullptr && ticket->expires <= now + launch_ticket_margin) {
                continue;
            }
            if (is_turn_over()) {
                m_turn_was_short = true;
                return;
            }
            planned_start next{step, part.worker,
                               ticket == nullptr ? std::string() : ticket->ticket,
                               m_launch->planned.run};
            next.task.index = part.next++;
            --m_launch->unsent;
            m_workers.unreserve(worker, m_launch->planned.demand, m_launch->customer);
            start_task(now, next);
            any_sent = true;
        }
    }
    if (m_launch->unsent == 0) {
        m_counters.get("gang_launches_total", "outcome", "complete").add();
        log_event(severity::info, "gang_launched",
                  {{"step", to_string(step)},
                   {"run", m_launch->planned.run},
                   {"took_ms", common::to_milliseconds(now - m_launch->begun_at)}});
        job.find_step(step)->launching = false;
        m_launch.reset();
    }
}

// The owner, or a worker, is too slow for the size of the gang, at least now. Launching it again at
// once would keep both busy, to the harm of all other jobs.
void dispatcher::postpone_launch(common::time_point now, step_state& step, std::uint32_t run) {
    if (std::exchange(step.last_late_run, run) != run) {
        step.launch_not_before = now + first_launch_delay * (1U << step.late_runs);
        step.late_runs = std::min(step.late_runs + 1, max_launch_doublings);
    }
}

// A launch may take longer than a ticket is valid. The call for new ones is sent early enough for
// the members to go on without a pause.
void dispatcher::renew_launch_tickets(common::time_point now, job_entry& job) {
    const auto& planned = m_launch->planned;
    const auto* const queue = queue_of(job.spec);
    auto& tickets = job.find_step(planned.step)->tickets;
    if (queue == nullptr || !queue->needs_tickets || !tickets.calls.empty() ||
        now < tickets.not_before) {
        return;
    }
    ticket_request request;
    request.step = planned.step;
    request.queue = queue;
    request.reason = "launch";
    request.excess = m_shares.is_excess(planned.step.job);
    auto expires = common::time_point::max();
    for (const auto& part : planned.parts) {
        if (part.next == part.end) {
            continue;
        }
        request.workers.push_back(part.worker);
        if (const auto* const ticket = tickets.find(part.worker)) {
            expires = std::min(expires, ticket->expires);
        }
    }
    const auto call = advice_time(*queue, request.workers.size());
    const auto sent = m_launch->members - m_launch->unsent;
    const auto left = sent == 0 ? common::duration(0)
                                : (now - m_launch->begun_at) *
                                      static_cast<std::int64_t>(m_launch->unsent) /
                                      static_cast<std::int64_t>(sent);
    const bool due =
        expires <= now + launch_ticket_margin ||
        (expires < now + left + launch_ticket_margin && expires < now + call + renewal_margin);
    if (!request.workers.empty() && due && permitted_calls(m_advice_slots, call) > 0) {
        send_ticket_request(now, request);
    }
}

void dispatcher::cancel_launch(const task_key& step) {
    if (!m_launch || !m_launch->is_of_step(step)) {
        return;
    }
    for (const auto& part : m_launch->planned.parts) {
        m_workers.unreserve(m_workers.at(part.worker),
                            m_launch->planned.demand * (part.end - part.next), m_launch->customer);
    }
    m_counters.get("gang_launches_total", "outcome", "cancelled").add();
    if (const auto job = m_jobs.find(step.job); job != m_jobs.end()) {
        if (auto* const state = job->second.find_step(step)) {
            state->launching = false;
            if (!state->any_current()) {
                state->gang_run = 0;
            }
        }
        note_waiting(step.job);
    }
    m_launch.reset();
    m_replan_needed = true;
}

} // namespace buckthornspar::dispatch
