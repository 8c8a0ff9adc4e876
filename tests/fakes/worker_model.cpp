#include "fakes/worker_model.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::fakes {

using namespace scheduling;

worker_model::worker_model(std::string id, placement::resources capacity,
                           std::uint64_t first_incarnation)
    : m_id(std::move(id)), m_capacity(capacity), m_incarnation(first_incarnation) {}

std::optional<rejection> worker_model::check_epoch(std::uint64_t epoch) {
    if (m_faults.store_lower_epoch) {
        m_accepted_epoch = epoch;
        return std::nullopt;
    }
    if (epoch < m_accepted_epoch && !m_faults.skip_epoch_check) {
        return rejection{worker_error_kind::stale_epoch, m_accepted_epoch};
    }
    m_accepted_epoch = std::max(m_accepted_epoch, epoch);
    return std::nullopt;
}

adopt_result worker_model::adopt(std::int64_t now_ms, const adopt_request& request) {
    advance(now_ms);
    if (const auto rejected = check_epoch(request.epoch)) {
        return *rejected;
    }
    return inventory(now_ms);
}

sync_result worker_model::sync(std::int64_t now_ms, const sync_request& request) {
    advance(now_ms);
    if (request.incarnation != m_incarnation) {
        return rejection{worker_error_kind::stale_incarnation, 0};
    }
    if (const auto rejected = check_epoch(request.epoch)) {
        return *rejected;
    }
    for (const auto& attempt : request.acknowledge) {
        m_ended_attempts.erase(attempt);
    }
    if (request.renew) {
        renew(request);
    }
    sync_response answer;
    for (const auto& operation : request.operations) {
        answer.results.push_back(execute(now_ms, request, operation));
    }
    answer.stamp_ms = now_ms;
    answer.incarnation = m_incarnation;
    answer.ended = ended_after(0);
    answer.usage = usage();
    return answer;
}

events_response worker_model::events(std::int64_t now_ms, std::uint64_t after) {
    advance(now_ms);
    return {now_ms, m_incarnation, m_last_event, ended_after(after), usage()};
}

std::vector<usage_report> worker_model::usage() const {
    std::vector<usage_report> reports;
    for (const auto& [attempt, item] : m_held_attempts) {
        const auto reported = m_use.find(item.task.task);
        if (reported == m_use.end() || item.task.state != inventory_task_state::running) {
            continue;
        }
        const bool throttled = m_throttled_attempts.contains(attempt) && !m_faults.ignore_throttle;
        reports.push_back(
            {item.task.task, attempt, throttled ? item.task.demand : reported->second, 0});
    }
    return reports;
}

worker_inventory worker_model::inventory(std::int64_t now_ms) {
    advance(now_ms);
    worker_inventory result;
    result.worker = m_id;
    result.incarnation = m_incarnation;
    result.stamp_ms = now_ms;
    result.accepted_epoch = m_accepted_epoch;
    result.state = m_leaving ? worker_availability::leaving : worker_availability::live;
    result.capacity = m_capacity;
    for (const auto& [attempt, item] : m_held_attempts) {
        result.tasks.push_back(item.task);
    }
    result.ended = ended_after(0);
    return result;
}

void worker_model::advance(std::int64_t now_ms) {
    std::vector<std::pair<std::string, attempt_outcome>> due;
    for (const auto& [attempt, item] : m_held_attempts) {
        const bool run_ended = item.run_end_ms != 0 && item.run_end_ms <= now_ms;
        const bool lapsed = item.task.lease_end_ms <= now_ms && !m_faults.skip_lease_end;
        // A run whose end is not later than that of its lease completed normally, even if both have
        // passed by now.
        if (run_ended && (!lapsed || item.run_end_ms <= item.task.lease_end_ms)) {
            due.emplace_back(attempt, item.payload.fail ? attempt_outcome::failed
                                                        : attempt_outcome::succeeded);
        } else if (lapsed) {
            due.emplace_back(attempt, attempt_outcome::lapsed);
        }
    }
    for (const auto& [attempt, outcome] : due) {
        finish(attempt, outcome);
    }
}

std::optional<std::int64_t> worker_model::next_end() const {
    std::optional<std::int64_t> next;
    for (const auto& [attempt, item] : m_held_attempts) {
        std::int64_t due = item.task.lease_end_ms;
        if (item.run_end_ms != 0) {
            due = m_faults.skip_lease_end ? item.run_end_ms : std::min(due, item.run_end_ms);
        }
        next = std::min(next.value_or(due), due);
    }
    return next;
}

void worker_model::restart() {
    m_held_attempts.clear();
    m_ended_attempts.clear();
    m_seen_attempts.clear();
    m_cancelled_attempts.clear();
    m_accepted_epoch = 0;
    m_last_event = 0;
    ++m_incarnation;
}

placement::resources worker_model::committed() const {
    placement::resources sum;
    for (const auto& [attempt, item] : m_held_attempts) {
        sum += item.task.demand;
    }
    return sum;
}

std::vector<std::string> worker_model::running_tasks() const {
    std::vector<std::string> tasks;
    for (const auto& [attempt, item] : m_held_attempts) {
        if (item.task.state == inventory_task_state::running) {
            tasks.push_back(item.task.task);
        }
    }
    return tasks;
}

operation_result worker_model::execute(std::int64_t now_ms, const sync_request& request,
                                       const worker_operation& operation) {
    operation_result result;
    result.attempt = operation.attempt;
    switch (operation.op) {
    case worker_op::start:
    case worker_op::reserve:
        result.reason = admit(now_ms, request, operation);
        if (result.reason == operation_reason::none) {
            start(now_ms, request, operation);
        }
        break;
    case worker_op::release: {
        const auto position = m_held_attempts.find(operation.attempt);
        if (position != m_held_attempts.end() &&
            position->second.task.state == inventory_task_state::reserved) {
            m_held_attempts.erase(position);
        }
        break;
    }
    case worker_op::cancel:
        cancel(operation.attempt, operation.task);
        break;
    case worker_op::stop:
        result.reason =
            stop(operation.attempt) ? operation_reason::none : operation_reason::unknown_attempt;
        break;
    case worker_op::throttle:
        m_throttled_attempts.insert(operation.attempt);
        break;
    case worker_op::resume:
        m_throttled_attempts.erase(operation.attempt);
        break;
    case worker_op::checkpoint:
        result.reason = m_held_attempts.contains(operation.attempt)
                            ? operation_reason::none
                            : operation_reason::unknown_attempt;
        break;
    }
    if (result.reason != operation_reason::none) {
        result.status = operation_status::refused;
    }
    return result;
}

operation_reason worker_model::admit(std::int64_t now_ms, const sync_request& request,
                                     const worker_operation& operation) const {
    if (m_cancelled_attempts.contains(operation.attempt)) {
        return operation_reason::cancelled;
    }
    if (m_seen_attempts.contains(operation.attempt)) {
        return operation_reason::duplicate;
    }
    if (request.stamp_ms + request.start_validity_ms <= now_ms && !m_faults.skip_start_validity) {
        return operation_reason::expired;
    }
    const auto reservation = m_held_attempts.find(operation.reservation);
    if (!operation.reservation.empty() && reservation == m_held_attempts.end()) {
        return operation_reason::expired;
    }
    if (m_leaving && reservation == m_held_attempts.end()) {
        return operation_reason::leaving;
    }
    placement::resources after = committed() + operation.demand;
    if (reservation != m_held_attempts.end()) {
        after -= reservation->second.task.demand;
    }
    if (!after.fits(m_capacity) && !m_faults.skip_capacity_check) {
        return operation_reason::full;
    }
    return operation_reason::none;
}

void worker_model::start(std::int64_t now_ms, const sync_request& request,
                         const worker_operation& operation) {
    m_seen_attempts.insert(operation.attempt);
    held_attempt item;
    item.task.task = operation.task;
    item.task.attempt = operation.attempt;
    item.task.demand = operation.demand;
    if (operation.op == worker_op::reserve) {
        item.task.state = inventory_task_state::reserved;
        item.task.lease_end_ms = request.stamp_ms + request.start_validity_ms;
        m_held_attempts.emplace(operation.attempt, std::move(item));
        return;
    }
    m_held_attempts.erase(operation.reservation);
    item.task.state = inventory_task_state::running;
    item.task.lease_end_ms = request.stamp_ms + request.lease_ms;
    item.payload = operation.payload;
    if (m_faults.fail_every_task) {
        item.payload = {1, true};
    }
    item.run_end_ms = item.payload.run_ms == 0 ? 0 : now_ms + item.payload.run_ms;
    m_held_attempts.emplace(operation.attempt, std::move(item));
    m_started_tasks.push_back(operation.task);
}

void worker_model::cancel(const std::string& attempt, const std::string& task) {
    m_cancelled_attempts.insert(attempt);
    const auto position = m_held_attempts.find(attempt);
    if (position != m_held_attempts.end()) {
        finish(attempt, attempt_outcome::cancelled);
        return;
    }
    if (!m_seen_attempts.contains(attempt)) {
        m_seen_attempts.insert(attempt);
        add_ended({task, attempt, attempt_outcome::cancelled, false, 0});
    }
}

bool worker_model::stop(const std::string& attempt) {
    if (!m_held_attempts.contains(attempt)) {
        return false;
    }
    finish(attempt, attempt_outcome::stopped);
    return true;
}

void worker_model::renew(const sync_request& request) {
    const std::int64_t end = request.stamp_ms + request.lease_ms;
    for (auto& [attempt, item] : m_held_attempts) {
        if (item.task.state == inventory_task_state::running) {
            item.task.lease_end_ms = std::max(item.task.lease_end_ms, end);
        }
    }
}

void worker_model::finish(const std::string& attempt, attempt_outcome outcome) {
    const auto position = m_held_attempts.find(attempt);
    const held_attempt item = position->second;
    m_held_attempts.erase(position);
    // A reservation has no started task, so there is no end to report.
    if (item.task.state == inventory_task_state::reserved) {
        return;
    }
    const int exit_code = outcome == attempt_outcome::failed ? 1 : 0;
    add_ended({item.task.task, attempt, outcome, true, exit_code});
}

void worker_model::add_ended(ended_attempt attempt) {
    const std::string id = attempt.attempt;
    m_ended_attempts[id] = {++m_last_event, std::move(attempt)};
}

std::vector<ended_attempt> worker_model::ended_after(std::uint64_t event) const {
    std::vector<ended_attempt> result;
    for (const auto& [attempt, item] : m_ended_attempts) {
        if (item.event > event) {
            result.push_back(item.attempt);
        }
    }
    return result;
}

} // namespace buckthornspar::fakes
