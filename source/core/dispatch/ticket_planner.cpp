#include "core/dispatch/ticket_planner.h"

#include "core/dispatch/advice_calls.h"
#include "core/dispatch/capacity_fit.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// Maximum number of workers named in one ticket request. Fewer are named to a service that takes
// long for each worker, because the wait would cost more than the larger choice gains.
constexpr std::size_t max_advice_workers = 100;
constexpr std::size_t max_slow_advice_workers = 60;
constexpr double slow_advice_ms = 4.0;
// Steps whose tasks start one by one leave the long calls, of which each node sends one at a time,
// to gangs if a short call can name at least this many workers.
constexpr double min_short_call_workers = 20.0;
// Other granted workers with free capacity that a renewal names besides those that a gang is
// planned on, as a share of these: some of the capacity is taken before the tickets arrive.
constexpr std::size_t min_spare_renewals = 3;
constexpr std::size_t spare_renewals_divisor = 3;
// A gang requests further workers until the total capacity of its granted workers is this multiple
// of its demand.
constexpr std::int64_t gang_capacity_factor = 3;
// Tickets for a planned start are requested this much earlier than the expected call time requires.
constexpr auto early_request_margin = std::chrono::milliseconds(250);
// Workers to name for each expected grant under a strict policy.
constexpr std::int64_t workers_named_per_grant = 4;
// Maximum number of concurrent ticket requests for one step; each occupies one node's connection to
// the service.
constexpr std::size_t max_parallel_calls = 3;

} // namespace

std::size_t ticket_planner::max_named(const waiting_step& step) const {
    const auto& queue = *step.queue;
    const auto most =
        queue.ticket_per_worker_ms > slow_advice_ms ? max_slow_advice_workers : max_advice_workers;
    if (!m_plan.limits.steady_gangs || step.spec->gang || queue.ticket_per_worker_ms <= 0.0) {
        return most;
    }
    const std::chrono::duration<double, std::milli> longest_short = long_advice_call;
    const auto named = (longest_short.count() - queue.ticket_base_ms) / queue.ticket_per_worker_ms;
    return named < min_short_call_workers ? most : std::min(most, static_cast<std::size_t>(named));
}

bool ticket_planner::may_request(const waiting_step& step) const {
    const auto& tickets = step.state->tickets;
    return step.queue->needs_tickets && tickets.calls.empty() && m_plan.now >= tickets.not_before;
}

bool ticket_planner::has_slot(const waiting_step& step) const {
    const auto named = std::min(m_plan.candidates.size(), max_named(step));
    return permitted(step, advice_time(*step.queue, named)) > 0;
}

std::size_t ticket_planner::permitted(const waiting_step& step, common::duration expected) const {
    auto slots = m_plan.limits.advice;
    if (step.excess) {
        const auto& kept = m_plan.limits.advice_kept;
        slots.calls -= std::min(slots.calls, kept.calls);
        slots.long_calls -= std::min(slots.long_calls, kept.long_calls);
    }
    return permitted_calls(slots, expected);
}

void ticket_planner::request_for_tasks(const waiting_step& step) {
    if (!may_request(step)) {
        for (const auto& call : step.state->tickets.calls) {
            claim_room(step, call.second);
        }
        return;
    }
    if (step.state->tickets.asked.empty()) {
        request_from_unasked(step, "first");
        return;
    }
    std::vector<worker_slot> renew;
    bool any_room = false;
    for (const auto& c : m_plan.candidates) {
        if (has_unclaimed_room(step, c.worker)) {
            any_room = true;
            if (!m_plan.is_valid(c)) {
                renew.push_back(c.worker);
            }
        }
    }
    if (!renew.empty()) {
        request_and_claim(step, std::move(renew), "renew");
    } else if (!m_plan.has_eligible_workers) {
        request_from_unasked(step, "more");
    } else if (!any_room && has_slot(step)) {
        // Urgent work may keep the granted workers full for good, above all the few that are left
        // when most of them have gone.
        request_and_claim(step, unasked_with_room(step), "free");
    }
}

void ticket_planner::request_and_claim(const waiting_step& step, std::vector<worker_slot> workers,
                                       std::string_view reason) {
    if (add_requests(step, std::move(workers), reason)) {
        claim_room(step, m_plan.result.ticket_requests.back().workers);
    }
}

bool ticket_planner::has_unclaimed_room(const waiting_step& step, worker_slot w) const {
    return m_plan.demand.fits(m_plan.available_capacity(step, w) - m_plan.requested[w]) &&
           m_plan.remaining_tasks_on(step, w) > 0;
}

bool ticket_planner::is_unasked(const waiting_step& step, worker_slot w) const {
    return !step.state->tickets.was_asked(w) && m_plan.is_eligible(step, w);
}

std::vector<worker_slot> ticket_planner::unasked(const waiting_step& step) const {
    std::vector<worker_slot> result;
    for (worker_slot w = 0; w < m_plan.capacities.size(); ++w) {
        if (is_unasked(step, w)) {
            result.push_back(w);
        }
    }
    return result;
}

void ticket_planner::claim_room(const waiting_step& step, const std::vector<worker_slot>& workers) {
    const auto& state = *step.state;
    auto waiting = std::int64_t{state.tasks.size()} - state.succeeded - state.placed;
    for (const auto w : workers) {
        if (waiting <= 0 || w >= m_plan.requested.size()) {
            return;
        }
        if (m_plan.capacities[w].worker == nullptr) {
            continue;
        }
        const auto room = m_plan.available_capacity(step, w) - m_plan.requested[w];
        const auto tasks = std::min({count_fitting_tasks(m_plan.demand, room),
                                     m_plan.remaining_tasks_on(step, w), waiting});
        if (tasks > 0) {
            m_plan.requested[w] += m_plan.demand * tasks;
            waiting -= tasks;
        }
    }
}

// Requests tickets for the workers with the most free processor capacity, fast ones first.
bool ticket_planner::add_requests(const waiting_step& step, std::vector<worker_slot> workers,
                                  std::string_view reason, std::size_t calls) {
    auto& slots = m_plan.limits.advice;
    const auto named_by_one = std::min(workers.size(), max_named(step));
    const auto expected = advice_time(*step.queue, named_by_one);
    calls = std::min(calls, permitted(step, expected));
    if (workers.empty() || calls == 0) {
        return false;
    }
    const auto count = std::min(workers.size(), max_named(step) * calls);
    std::vector<std::pair<std::int64_t, worker_slot>> order;
    order.reserve(workers.size());
    for (const auto w : workers) {
        order.emplace_back(-m_plan.preference.effective_cpu(m_plan.capacities[w]), w);
    }
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    for (std::size_t i = 0; i < count; ++i) {
        workers[i] = order[i].second;
    }
    // Distributes the workers over the calls so that each call names some of the best.
    for (std::size_t call = 0; call < calls && call < count; ++call) {
        std::vector<worker_slot> named;
        for (std::size_t i = call; i < count; i += calls) {
            named.push_back(workers[i]);
        }
        m_plan.result.ticket_requests.push_back(
            {step.step, step.queue, std::move(named), reason, step.excess});
        take_slot(slots, expected);
    }
    return true;
}

// Steps with room for their tasks come first, also when they are less urgent: their tickets are
// used as soon as they arrive.
void ticket_planner::defer_requests(const waiting_step& step, std::vector<worker_slot> workers,
                                    std::string_view reason, std::size_t calls) {
    calls = std::min(calls, m_plan.limits.optional_requests);
    if (calls == 0 || workers.empty()) {
        return;
    }
    m_plan.limits.optional_requests -= calls;
    m_deferred.push_back({step, std::move(workers), reason, calls});
}

void ticket_planner::add_deferred_requests() {
    for (auto& request : std::exchange(m_deferred, {})) {
        add_requests(request.step, std::move(request.workers), request.reason, request.calls);
    }
}

// A gang needs many granted workers at the same time, so they are named in concurrent calls by
// several nodes.
void ticket_planner::request_from_unasked(const waiting_step& step, std::string_view reason) {
    const auto workers = unasked(step);
    std::int64_t tasks_per_worker = 1;
    for (const auto w : workers) {
        tasks_per_worker = std::max(
            tasks_per_worker,
            count_fitting_tasks(m_plan.demand, m_plan.capacities[w].worker->report.capacity));
    }
    std::size_t calls = 1;
    if (step.spec->gang) {
        const auto missing = gang_capacity_factor * static_cast<std::int64_t>(step.spec->count) -
                             m_plan.total_task_capacity(step);
        const auto named =
            std::max<std::int64_t>(1, missing) * workers_named_per_grant / tasks_per_worker;
        calls = std::clamp<std::size_t>(1 + static_cast<std::size_t>(named) / max_named(step), 1,
                                        max_parallel_calls);
    }
    add_requests(step, workers, reason, calls);
}

std::vector<worker_slot> ticket_planner::unasked_with_room(const waiting_step& step) const {
    std::vector<worker_slot> result;
    for (worker_slot w = 0; w < m_plan.capacities.size(); ++w) {
        if (m_plan.demand.fits(m_plan.capacities[w].free) && is_unasked(step, w) &&
            has_unclaimed_room(step, w)) {
            result.push_back(w);
        }
    }
    return result;
}

// Keeps the tickets of a blocked gang valid, so that it starts as soon as it fits. Otherwise the
// capacity would be reserved, and idle, while the tickets are requested.
bool ticket_planner::renew_expiring(const waiting_step& step) {
    const auto named_most = std::min(m_plan.candidates.size(), max_named(step));
    const auto expiry = m_plan.now + advice_time(*step.queue, named_most) + early_request_margin;
    std::vector<worker_slot> expiring;
    for (const auto& c : m_plan.candidates) {
        if (c.ticket != nullptr && c.ticket->expires < expiry) {
            expiring.push_back(c.worker);
        }
    }
    if (expiring.empty()) {
        return false;
    }
    defer_requests(step, std::move(expiring), "fresh", 1);
    return true;
}

// A gang whose granted workers are busy asks about others that have room now.
void ticket_planner::request_from_free(const waiting_step& step) {
    if (m_plan.limits.optional_requests == 0) {
        return;
    }
    std::int64_t missing = step.spec->count;
    for (const auto& c : m_plan.candidates) {
        missing -= count_fitting_tasks(m_plan.demand, m_plan.available_capacity(step, c.worker));
    }
    std::vector<worker_slot> free;
    for (worker_slot w = 0; w < m_plan.capacities.size(); ++w) {
        if (m_plan.demand.fits(m_plan.capacities[w].free) && is_unasked(step, w) &&
            m_plan.demand.fits(m_plan.available_capacity(step, w))) {
            free.push_back(w);
        }
    }
    const auto named =
        static_cast<std::size_t>(std::max<std::int64_t>(1, missing) * workers_named_per_grant);
    const auto calls = std::clamp<std::size_t>(1 + named / max_named(step), 1, max_parallel_calls);
    defer_requests(step, std::move(free), "free", calls);
}

void ticket_planner::request_for_blocked_gang(const waiting_step& step) {
    if (!may_request(step)) {
        return;
    }
    const auto before = m_plan.result.ticket_requests.size();
    if (!has_sufficient_capacity(step)) {
        request_from_unasked(step, "more");
    }
    if (m_plan.result.ticket_requests.size() == before && !renew_expiring(step)) {
        request_from_free(step);
    }
}

// A gang that needs most of its granted workers to be empty at the same time may never start.
bool ticket_planner::has_sufficient_capacity(const waiting_step& step) const {
    return m_plan.total_task_capacity(step) >=
           gang_capacity_factor * static_cast<std::int64_t>(step.spec->count);
}

bool ticket_planner::renew_for_gang(const waiting_step& step, std::vector<worker_slot> workers) {
    if (!may_request(step)) {
        return false;
    }
    const auto max_spare = std::max(min_spare_renewals, workers.size() / spare_renewals_divisor);
    std::size_t spare = 0;
    for (const auto& c : m_plan.candidates) {
        if (spare == max_spare) {
            break;
        }
        if (std::find(workers.begin(), workers.end(), c.worker) == workers.end() &&
            m_plan.demand.fits(m_plan.available_capacity(step, c.worker))) {
            workers.push_back(c.worker);
            ++spare;
        }
    }
    return add_requests(step, std::move(workers), "renew");
}

void ticket_planner::request_ahead(const waiting_step& step, std::vector<worker_slot> workers,
                                   common::time_point start) {
    const auto call = advice_time(*step.queue, workers.size());
    if (may_request(step) && start < m_plan.now + call + early_request_margin) {
        defer_requests(step, std::move(workers), "ahead", 1);
    }
}

} // namespace buckthornspar::dispatch
