#include "core/placement/placement_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornspar::placement {

namespace {

/// Upper bound for m_failed_demands: comparing against a longer list costs more than it saves.
constexpr std::size_t max_failed_demands = 32;
/// Minimum interval between two attempts to start all-at-once jobs after capacity was freed. An
/// attempt visits every worker, about 45 us for 1,050 of them; at an interval of 10 ms the mean
/// cost of a decision was 6.7 us with a thousand tasks ending each second.
constexpr auto gang_attempt_interval = std::chrono::milliseconds(50);
} // namespace

decisions placement_engine::state::decide(common::time_point now, std::size_t max_assignments) {
    m_now = now;
    decisions result;
    report_overdue(result);
    refresh_plan();
    apply_changes();
    normalize_freed_workers();
    m_queue.start_round(capacity_of_freed_workers());
    std::size_t started = 0;
    if (m_plan.strict() && m_plan.gang() != no_gang && max_assignments > 0) {
        started += start_gang(m_plan.gang(), result) ? 1 : 0;
    }
    class_flags gangs_untried = untried_gangs();
    while (started < max_assignments) {
        const auto next = next_class(gangs_untried);
        if (!next) {
            break;
        }
        bool& untried = gangs_untried[static_cast<std::size_t>(*next)];
        if (untried) {
            const std::size_t gangs = start_gangs(*next, max_assignments - started, result);
            untried = false;
            started += gangs;
            if (gangs > 0) {
                update_credits(*next, gangs_untried);
            }
        } else if (assign_front(*next, result)) {
            ++started;
            update_credits(*next, gangs_untried);
        }
    }
    if (started < max_assignments) {
        // Every blocked task group that may fit into the freed capacity was tried.
        m_freed_workers.clear();
    }
    // Gangs of classes that were not reached are tried by the next call.
    m_gangs_changed = m_gangs_changed || std::any_of(gangs_untried.begin(), gangs_untried.end(),
                                                     [](bool untried) { return untried; });
    return result;
}

void placement_engine::state::normalize_freed_workers() {
    std::erase_if(m_freed_workers,
                  [this](worker_index worker) { return !m_workers[worker].usable(); });
    std::sort(m_freed_workers.begin(), m_freed_workers.end());
    m_freed_workers.erase(std::unique(m_freed_workers.begin(), m_freed_workers.end()),
                          m_freed_workers.end());
}

void placement_engine::state::update_freed_capacity(worker_index worker) {
    // Inexact freed capacity is not searched, so it need not be updated.
    if (m_freed_workers.size() <= freed_capacity::max_workers &&
        std::binary_search(m_freed_workers.begin(), m_freed_workers.end(), worker)) {
        m_queue.set_freed_capacity(capacity_of_freed_workers());
    }
}

freed_capacity placement_engine::state::capacity_of_freed_workers() const {
    freed_capacity freed;
    for (const worker_index worker : m_freed_workers) {
        if (m_workers[worker].usable()) {
            freed.add(m_workers[worker].free());
        }
    }
    return freed;
}

void placement_engine::state::apply_fleet_change() {
    if (m_fleet_changed) {
        m_queue.fleet_changed(m_workers.usable_capacity());
        m_fleet_changed = false;
    }
}

void placement_engine::state::apply_changes() {
    apply_fleet_change();
    auto& teams = m_changes.teams_with_headroom;
    std::sort(teams.begin(), teams.end());
    teams.erase(std::unique(teams.begin(), teams.end()), teams.end());
    m_queue.unblock(m_changes);
    m_changes = {};
}

placement_engine::state::class_flags placement_engine::state::untried_gangs() {
    class_flags untried{};
    const bool retry_due = m_capacity_freed && m_now >= m_next_gang_attempt;
    if (!m_gangs.any_startable() || (!m_gangs_changed && !retry_due)) {
        return untried;
    }
    m_gangs_changed = false;
    m_capacity_freed = false;
    m_next_gang_attempt = m_now + gang_attempt_interval;
    for (const gang_index gang : m_gangs.startable(max_gangs_considered)) {
        untried[static_cast<std::size_t>(m_gangs[gang].priority)] = true;
    }
    return untried;
}

bool placement_engine::state::has_work(std::size_t c, const class_flags& gangs_untried) {
    return gangs_untried[c] || m_queue.ready(static_cast<priority_class>(c));
}

std::optional<priority_class>
placement_engine::state::next_class(const class_flags& gangs_untried) {
    std::optional<priority_class> highest;
    for (std::size_t c = 0; c < priority_class_count; ++c) {
        const bool has_credit = m_credit[c] >= 100 - m_settings.lower_class_percent;
        if ((highest && !has_credit) || !has_work(c, gangs_untried)) {
            continue;
        }
        const auto candidate_class = static_cast<priority_class>(c);
        if (highest) {
            return candidate_class;
        }
        highest = candidate_class;
    }
    return highest;
}

// Weighted sharing between classes: each start of a class gives every lower class that has work a
// fraction of a start as credit. Credit is capped at one start, so that a class cannot delay urgent
// work with a burst of saved-up starts.
void placement_engine::state::update_credits(priority_class served,
                                             const class_flags& gangs_untried) {
    const auto index = static_cast<std::size_t>(served);
    const unsigned start_cost = 100 - m_settings.lower_class_percent;
    m_credit[index] -= std::min(m_credit[index], start_cost);
    for (std::size_t c = index + 1; c < priority_class_count; ++c) {
        if (has_work(c, gangs_untried)) {
            m_credit[c] = std::min(m_credit[c] + m_settings.lower_class_percent, start_cost);
        }
    }
}

bool placement_engine::state::assign_front(priority_class c, decisions& result) {
    const task_index task = *m_queue.front(c);
    const task_entry& entry = m_tasks[task];
    if (m_workers.usable_count() == 0) {
        m_queue.block(task, wait_reason::no_workers);
        return false;
    }
    if (!m_quotas.allows(entry.team, entry.request.demand)) {
        m_queue.block(task, wait_reason::quota_exceeded);
        return false;
    }
    const placement_choice choice = choose_worker(task);
    if (!choice.worker) {
        m_queue.block(task, choice.reason);
        return false;
    }
    m_queue.remove_started(task, m_now);
    allocate(task, *choice.worker, m_now);
    update_freed_capacity(*choice.worker);
    update_plan_after_start(task);
    result.tasks.push_back({entry.request.task, m_workers[*choice.worker].info.id});
    return true;
}

placement_choice placement_engine::state::choose_worker(task_index task) {
    const task_request& request = m_tasks[task].request;
    if (fits_no_worker(request.demand)) {
        return {std::nullopt, wait_reason::no_capacity};
    }
    const plan_filter filter(m_plan, request.demand);
    const bool restricted = bound_by_plan(task) && !ends_before_plan(request);
    workload_policy& chosen_policy = policy(request.kind);
    const placement_choice choice = chosen_policy.choose(
        {m_workers, m_scorers.of(request.kind), restricted ? &filter : nullptr}, request);
    if (choice.reason == wait_reason::no_capacity && chosen_policy.depends_on_demand_only()) {
        record_failed_demand(request.demand);
    }
    return choice;
}

void placement_engine::state::record_failed_demand(const resources& demand) {
    std::erase_if(m_failed_demands, [&](const resources& failed) { return demand.fits(failed); });
    if (m_failed_demands.size() == max_failed_demands) {
        m_failed_demands.erase(m_failed_demands.begin());
    }
    m_failed_demands.push_back(demand);
}

bool placement_engine::state::fits_no_worker(const resources& demand) const {
    return std::any_of(m_failed_demands.begin(), m_failed_demands.end(),
                       [&](const resources& failed) { return failed.fits(demand); });
}

bool placement_engine::state::bound_by_plan(task_index task) const {
    if (!m_plan.active() || m_plan.is_for(task)) {
        return false;
    }
    const task_entry& entry = m_tasks[task];
    if (entry.gang != no_gang && entry.gang == m_plan.gang()) {
        return false;
    }
    return m_plan.strict() || entry.request.priority >= m_plan.priority();
}

bool placement_engine::state::ends_before_plan(const task_request& request) const {
    return !m_plan.strict() && request.expected_run.count() > 0 &&
           expected_end(request, m_now) <= m_plan.start();
}

void placement_engine::state::update_plan_after_start(task_index task) {
    const task_entry& entry = m_tasks[task];
    if (!m_plan.active()) {
        return;
    }
    if (m_plan.is_for(task) || (entry.gang != no_gang && entry.gang == m_plan.gang())) {
        drop_plan();
    } else if (!ends_before_plan(entry.request)) {
        m_plan.consume_spare(entry.worker, entry.request.demand);
    }
}

std::size_t placement_engine::state::start_gangs(priority_class c, std::size_t limit,
                                                 decisions& result) {
    std::size_t started = 0;
    for (const gang_index gang : m_gangs.startable(max_gangs_considered)) {
        if (m_gangs[gang].priority != c) {
            continue;
        }
        if (started == limit) {
            m_gangs_changed = true;
            break;
        }
        started += start_gang(gang, result) ? 1 : 0;
    }
    return started;
}

bool placement_engine::state::start_gang(gang_index gang, decisions& result) {
    gang_entry& entry = m_gangs[gang];
    const std::vector<resources> demands = demands_of(gang);
    const auto chosen =
        quota_allows(gang) ? pack_gang(availability_for(gang), demands) : std::nullopt;
    if (!chosen) {
        entry.reason = gang_wait_reason(gang);
        return false;
    }
    gang_assignment started{entry.job, {}};
    const std::vector<task_index> tasks = std::exchange(entry.waiting, {});
    m_waiting_in_gangs -= tasks.size();
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const worker_index worker = (*chosen)[i];
        allocate(tasks[i], worker, m_now);
        update_freed_capacity(worker);
        update_plan_after_start(tasks[i]);
        started.tasks.push_back({m_tasks[tasks[i]].request.task, m_workers[worker].info.id});
    }
    std::sort(started.tasks.begin(), started.tasks.end(),
              [](const assignment& a, const assignment& b) {
                  return std::tie(a.worker, a.task) < std::tie(b.worker, b.task);
              });
    entry.reason = wait_reason::queued;
    result.gangs.push_back(std::move(started));
    return true;
}

} // namespace buckthornspar::placement
