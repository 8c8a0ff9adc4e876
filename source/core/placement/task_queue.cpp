#include "core/placement/task_queue.h"

#include "core/placement/bucket_index.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

namespace buckthornspar::placement {

namespace {

/// For ordering, a task without a deadline is due this long after its submission, so that a stream
/// of tasks with deadlines cannot starve it.
constexpr auto default_time_to_deadline = std::chrono::minutes(10);

std::size_t combine(std::size_t seed, std::size_t value) {
    // 2^64 divided by the golden ratio, the usual multiplier for hash mixing.
    return (seed ^ value) * 0x9e3779b97f4a7c15ULL + (seed >> 29U);
}

// Run times only decide which work fits before a planned start, so a resolution of a factor of four
// is sufficient.
unsigned magnitude(common::duration run) {
    return static_cast<unsigned>(std::bit_width(static_cast<std::uint64_t>(run.count()))) / 2;
}

} // namespace

std::size_t task_queue::group_key_hash::operator()(const group_key& key) const {
    std::size_t hash = std::hash<std::string>{}(key.job);
    hash = combine(hash, static_cast<std::size_t>(key.kind));
    hash = combine(hash, static_cast<std::size_t>(key.priority));
    hash = combine(hash, key.team);
    hash = combine(hash, key.cpu_level);
    hash = combine(hash, key.memory_level);
    hash = combine(hash, static_cast<std::size_t>(key.accelerators));
    return combine(hash, key.run_magnitude);
}

void task_queue::push(task_index task, bool by_job) {
    const task_entry& entry = m_tasks[task];
    const task_request& request = entry.request;
    const group_index index = group_of(
        {request.kind, request.priority, entry.team,
         bucket_level(request.demand.cpu_milli / cpu_milli_per_unit),
         bucket_level(request.demand.memory_mb / memory_mb_per_unit), request.demand.accelerators,
         magnitude(request.expected_run), by_job ? request.job : std::string()});
    if (task >= m_task_positions.size()) {
        m_task_positions.resize(task + 1);
    }
    const task_rank added = make_rank(task);
    m_task_positions[task] = {index, added};
    ++m_size;
    task_group& waiting_group = m_task_groups[index];
    const bool becomes_first = waiting_group.tasks.empty() || added < *waiting_group.tasks.begin();
    const bool stays_blocked = waiting_group.blocked != wait_reason::none &&
                               (!becomes_first || first_demand(waiting_group) == request.demand);
    if (stays_blocked || !becomes_first) {
        waiting_group.tasks.insert(added);
        if (becomes_first) {
            queue_of(waiting_group).blocked.set_first(index, added);
        }
        return;
    }
    unlink(index);
    waiting_group.tasks.insert(added);
    add_ready(index);
}

void task_queue::remove(task_index task) {
    const auto [index, removed] = m_task_positions[task];
    task_group& waiting_group = m_task_groups[index];
    --m_size;
    if (removed != *waiting_group.tasks.begin()) {
        waiting_group.tasks.erase(removed);
        return;
    }
    unlink(index);
    waiting_group.tasks.erase(removed);
    if (waiting_group.tasks.empty()) {
        erase_group(index);
    } else {
        add_ready(index);
    }
}

void task_queue::unlink(group_index index) {
    if (m_task_groups[index].blocked == wait_reason::none) {
        remove_ready(index);
    } else {
        remove_blocked(index);
    }
}

void task_queue::remove_started(task_index task, common::time_point now) {
    m_task_groups[m_task_positions[task].task_group].last_start = now;
    remove(task);
}

void task_queue::start_round(freed_capacity freed) {
    ++m_round;
    m_freed = std::move(freed);
    for (class_queue& queue : m_classes) {
        queue.candidate.reset();
        // With many candidates it is cheaper to make all fitting groups ready than to search for
        // one at a time.
        queue.searched = m_freed.empty() || !m_freed.exact();
        if (!m_freed.exact()) {
            unblock(queue.blocked.all_fitting(m_freed));
        }
    }
}

void task_queue::set_freed_capacity(freed_capacity freed) {
    m_freed = std::move(freed);
    for (class_queue& queue : m_classes) {
        invalidate_candidate(queue);
    }
}

void task_queue::invalidate_candidate(class_queue& queue) {
    if (queue.candidate) {
        queue.candidate.reset();
        queue.searched = false;
    }
}

const std::optional<blocked_groups::candidate>& task_queue::find_candidate(class_queue& queue) {
    if (!queue.searched) {
        queue.candidate = queue.blocked.first_fitting(m_freed, m_round);
        queue.searched = true;
    }
    return queue.candidate;
}

std::optional<task_index> task_queue::front(priority_class c) {
    class_queue& queue = m_classes[static_cast<std::size_t>(c)];
    const auto& candidate = find_candidate(queue);
    if (queue.teams.empty()) {
        return candidate ? std::optional(candidate->rank.first.task) : std::nullopt;
    }
    const team_rank& team = *queue.teams.begin();
    const task_rank& first = queue.by_team[team.team].groups.begin()->first;
    const bool blocked_group_first = candidate && candidate->rank < front_rank{team, first};
    return blocked_group_first ? candidate->rank.first.task : first.task;
}

bool task_queue::ready(priority_class c) {
    class_queue& queue = m_classes[static_cast<std::size_t>(c)];
    return !queue.teams.empty() || find_candidate(queue);
}

void task_queue::block(task_index task, wait_reason reason) {
    const group_index index = m_task_positions[task].task_group;
    unlink(index);
    task_group& waiting_group = m_task_groups[index];
    class_queue& queue = queue_of(waiting_group);
    waiting_group.blocked = reason;
    const team_index team = waiting_group.key.team;
    queue.blocked.insert(
        index, {first_demand(waiting_group), *waiting_group.tasks.begin(), m_round, team, reason},
        m_quotas.share(team, m_fleet));
}

void task_queue::unblock(const queue_changes& changes) {
    for (class_queue& queue : m_classes) {
        for (const team_index team : changes.teams_with_headroom) {
            unblock(queue.blocked.over_quota(team));
        }
        if (changes.plan_changed) {
            unblock(queue.blocked.with_reason(wait_reason::gang_reserved));
        }
    }
}

void task_queue::unblock(const std::vector<group_index>& groups) {
    for (const group_index index : groups) {
        remove_blocked(index);
        add_ready(index);
    }
}

wait_reason task_queue::reason(task_index task) const {
    const task_group& waiting_group = m_task_groups[m_task_positions[task].task_group];
    const bool tried = m_tasks[task].request.demand == first_demand(waiting_group);
    return waiting_group.blocked == wait_reason::none || !tried ? wait_reason::queued
                                                                : waiting_group.blocked;
}

void task_queue::team_changed(team_index team, const resources& fleet) {
    m_fleet = fleet;
    const double share = m_quotas.share(team, fleet);
    for (class_queue& queue : m_classes) {
        queue.blocked.set_share(team, share);
        invalidate_candidate(queue);
        if (team >= queue.by_team.size() || queue.by_team[team].groups.empty()) {
            continue;
        }
        class_team& entry = queue.by_team[team];
        auto node = queue.teams.extract({entry.share, team});
        entry.share = share;
        node.value().share = share;
        queue.teams.insert(std::move(node));
    }
}

void task_queue::fleet_changed(const resources& fleet) {
    m_fleet = fleet;
    for (class_queue& queue : m_classes) {
        std::set<team_rank> teams;
        for (const team_rank& old : queue.teams) {
            const double share = m_quotas.share(old.team, fleet);
            queue.by_team[old.team].share = share;
            teams.insert({share, old.team});
        }
        queue.teams = std::move(teams);
        for (const team_index team : queue.blocked.teams()) {
            queue.blocked.set_share(team, m_quotas.share(team, fleet));
        }
    }
}

std::optional<task_index> task_queue::longest_blocked(common::time_point before) const {
    std::optional<task_index> longest;
    for (const class_queue& queue : m_classes) {
        for (const wait_reason reason : {wait_reason::no_capacity, wait_reason::gang_reserved}) {
            for (const group_index index : queue.blocked.with_reason(reason)) {
                const task_group& waiting_group = m_task_groups[index];
                const task_index task = waiting_group.tasks.begin()->task;
                const auto since =
                    std::max(m_tasks[task].request.submitted, waiting_group.last_start);
                if (since < before) {
                    longest = task;
                    before = since;
                }
            }
        }
    }
    return longest;
}

void task_queue::for_each_over_quota(const quota_visitor& visit) const {
    for (const class_queue& queue : m_classes) {
        for (const group_index index : queue.blocked.all_over_quota()) {
            const task_group& waiting_group = m_task_groups[index];
            visit(waiting_group.key.team, first_demand(waiting_group), waiting_group.tasks.size());
        }
    }
}

task_rank task_queue::make_rank(task_index task) const {
    const task_entry& entry = m_tasks[task];
    const task_request& request = entry.request;
    const auto due = request.deadline.value_or(request.submitted + default_time_to_deadline);
    if (request.priority == priority_class::urgent) {
        return {due, 0.0, entry.sequence, task};
    }
    return {std::chrono::floor<std::chrono::seconds>(due), -dominant_share(request.demand, m_fleet),
            entry.sequence, task};
}

group_index task_queue::group_of(const group_key& key) {
    const auto next = static_cast<group_index>(m_unused_groups.empty() ? m_task_groups.size()
                                                                       : m_unused_groups.back());
    const auto [position, inserted] = m_group_index.emplace(key, next);
    if (!inserted) {
        return position->second;
    }
    if (m_unused_groups.empty()) {
        m_task_groups.emplace_back();
    } else {
        m_unused_groups.pop_back();
    }
    m_task_groups[next].key = key;
    return next;
}

void task_queue::add_ready(group_index index) {
    task_group& waiting_group = m_task_groups[index];
    class_queue& queue = queue_of(waiting_group);
    const team_index team = waiting_group.key.team;
    if (team >= queue.by_team.size()) {
        queue.by_team.resize(team + 1);
    }
    class_team& entry = queue.by_team[team];
    if (entry.groups.empty()) {
        entry.share = m_quotas.share(team, m_fleet);
        queue.teams.insert({entry.share, team});
    }
    entry.groups.insert({*waiting_group.tasks.begin(), index});
}

void task_queue::remove_ready(group_index index) {
    task_group& waiting_group = m_task_groups[index];
    if (waiting_group.tasks.empty()) {
        return;
    }
    class_queue& queue = queue_of(waiting_group);
    class_team& entry = queue.by_team[waiting_group.key.team];
    entry.groups.erase({*waiting_group.tasks.begin(), index});
    if (entry.groups.empty()) {
        queue.teams.erase({entry.share, waiting_group.key.team});
    }
}

void task_queue::remove_blocked(group_index index) {
    task_group& waiting_group = m_task_groups[index];
    class_queue& queue = queue_of(waiting_group);
    invalidate_candidate(queue);
    queue.blocked.erase(index);
    waiting_group.blocked = wait_reason::none;
}

void task_queue::erase_group(group_index index) {
    task_group& waiting_group = m_task_groups[index];
    m_group_index.erase(waiting_group.key);
    waiting_group = task_group{};
    m_unused_groups.push_back(index);
}

} // namespace buckthornspar::placement
