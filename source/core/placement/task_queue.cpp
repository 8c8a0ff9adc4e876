#include "core/placement/task_queue.h"

#include "core/placement/bucket_index.h"

#include <algorithm>
#include <bit>
#include <functional>

namespace buckthornspar::placement {

namespace {

/// A task without a deadline is ordered as if it were due this long after its submission, so that a
/// stream of tasks with deadlines cannot keep it waiting forever.
constexpr auto due_without_deadline = std::chrono::minutes(10);

std::size_t combine(std::size_t seed, std::size_t value) {
    // The odd constant is 2^64 divided by the golden ratio, the usual multiplier for mixing.
    return (seed ^ value) * 0x9e3779b97f4a7c15ULL + (seed >> 29U);
}

// Run times decide only which work fits before a planned start; a factor of four is fine enough.
unsigned magnitude(common::duration run) {
    return static_cast<unsigned>(std::bit_width(static_cast<std::uint64_t>(run.count()))) / 2;
}

} // namespace

std::size_t task_queue::lane_key_hash::operator()(const lane_key& key) const {
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
    const lane_index index = lane_of({request.kind, request.priority, entry.team,
                                      bucket_level(request.demand.cpu_milli / cpu_milli_per_unit),
                                      bucket_level(request.demand.memory_mb / memory_mb_per_unit),
                                      request.demand.accelerators, magnitude(request.expected_run),
                                      by_job ? request.job : std::string()});
    if (task >= m_places.size()) {
        m_places.resize(task + 1);
    }
    const task_rank added = make_rank(task);
    m_places[task] = {index, added};
    ++m_size;
    lane& l = m_lanes[index];
    const bool goes_first = l.tasks.empty() || added < *l.tasks.begin();
    const bool stays_blocked =
        l.blocked != wait_reason::none && (!goes_first || first_demand(l) == request.demand);
    if (stays_blocked || !goes_first) {
        l.tasks.insert(added);
        return;
    }
    take_out(index);
    l.tasks.insert(added);
    add_ready(index);
}

void task_queue::remove(task_index task) {
    const auto [index, removed] = m_places[task];
    lane& l = m_lanes[index];
    --m_size;
    if (removed != *l.tasks.begin()) {
        l.tasks.erase(removed);
        return;
    }
    take_out(index);
    l.tasks.erase(removed);
    if (l.tasks.empty()) {
        erase_lane(index);
    } else {
        add_ready(index);
    }
}

void task_queue::take_out(lane_index index) {
    if (m_lanes[index].blocked == wait_reason::none) {
        remove_ready(index);
    } else {
        remove_blocked(index);
    }
}

void task_queue::remove_started(task_index task, common::time_point now) {
    m_lanes[m_places[task].lane].last_start = now;
    remove(task);
}

std::optional<task_index> task_queue::front(priority_class c) const {
    const class_queue& queue = m_classes[static_cast<std::size_t>(c)];
    if (queue.teams.empty()) {
        return std::nullopt;
    }
    const class_team& team = queue.by_team[queue.teams.begin()->team];
    return team.lanes.begin()->first.task;
}

void task_queue::block(task_index task, wait_reason reason) {
    const lane_index index = m_places[task].lane;
    remove_ready(index);
    lane& l = m_lanes[index];
    auto& blocked = queue_of(l).blocked;
    l.blocked = reason;
    l.blocked_slot = blocked.size();
    blocked.push_back({first_demand(l), *l.tasks.begin(), m_round, index, l.key.team, reason});
}

void task_queue::unblock(const queue_changes& changes) {
    if (!changes.any()) {
        return;
    }
    for (class_queue& queue : m_classes) {
        for (std::size_t i = queue.blocked.size(); i-- > 0;) {
            const blocked_lane& b = queue.blocked[i];
            if (!concerns(changes, b)) {
                continue;
            }
            const lane_index index = b.lane;
            remove_blocked(index);
            add_ready(index);
        }
    }
}

bool task_queue::concerns(const queue_changes& changes, const blocked_lane& b) {
    if (b.reason == wait_reason::quota_exceeded) {
        const auto& relieved = changes.relieved_teams;
        return std::binary_search(relieved.begin(), relieved.end(), b.team);
    }
    return b.reason == wait_reason::gang_reserved && changes.plan_changed;
}

bool task_queue::unblock_first(priority_class c, const resources& room, std::size_t limit) {
    m_candidates.clear();
    for (const blocked_lane& b : m_classes[static_cast<std::size_t>(c)].blocked) {
        if (b.demand.fits(room) && b.round != m_round && b.reason != wait_reason::quota_exceeded) {
            m_candidates.push_back({m_quotas.share(b.team, m_fleet), b.first, b.lane});
        }
    }
    if (m_candidates.size() > limit) {
        std::nth_element(
            m_candidates.begin(), m_candidates.begin() + static_cast<std::ptrdiff_t>(limit),
            m_candidates.end(), [](const candidate& x, const candidate& y) { return x < y; });
        m_candidates.resize(limit);
    }
    for (const candidate& chosen : m_candidates) {
        remove_blocked(chosen.lane);
        add_ready(chosen.lane);
    }
    return !m_candidates.empty();
}

wait_reason task_queue::reason(task_index task) const {
    const lane& l = m_lanes[m_places[task].lane];
    const bool tried = m_tasks[task].request.demand == first_demand(l);
    return l.blocked == wait_reason::none || !tried ? wait_reason::queued : l.blocked;
}

void task_queue::team_changed(team_index team, const resources& fleet) {
    m_fleet = fleet;
    const double share = m_quotas.share(team, fleet);
    for (class_queue& queue : m_classes) {
        if (team >= queue.by_team.size() || queue.by_team[team].lanes.empty()) {
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
    }
}

std::optional<task_index> task_queue::longest_blocked(common::time_point before) const {
    std::optional<task_index> longest;
    for (const class_queue& queue : m_classes) {
        for (const blocked_lane& b : queue.blocked) {
            if (b.reason != wait_reason::no_capacity && b.reason != wait_reason::gang_reserved) {
                continue;
            }
            const lane& l = m_lanes[b.lane];
            const task_index task = l.tasks.begin()->task;
            const auto since = std::max(m_tasks[task].request.submitted, l.last_start);
            if (since < before) {
                longest = task;
                before = since;
            }
        }
    }
    return longest;
}

void task_queue::for_each_over_quota(const quota_visitor& visit) const {
    for (const class_queue& queue : m_classes) {
        for (const blocked_lane& b : queue.blocked) {
            if (b.reason == wait_reason::quota_exceeded) {
                visit(b.team, b.demand, m_lanes[b.lane].tasks.size());
            }
        }
    }
}

task_queue::task_rank task_queue::make_rank(task_index task) const {
    const task_entry& entry = m_tasks[task];
    const task_request& request = entry.request;
    const auto due = request.deadline.value_or(request.submitted + due_without_deadline);
    if (request.priority == priority_class::urgent) {
        return {due, 0.0, entry.sequence, task};
    }
    return {std::chrono::floor<std::chrono::seconds>(due), -dominant_share(request.demand, m_fleet),
            entry.sequence, task};
}

task_queue::lane_index task_queue::lane_of(const lane_key& key) {
    const auto next =
        static_cast<lane_index>(m_unused_lanes.empty() ? m_lanes.size() : m_unused_lanes.back());
    const auto [position, inserted] = m_lane_index.emplace(key, next);
    if (!inserted) {
        return position->second;
    }
    if (m_unused_lanes.empty()) {
        m_lanes.emplace_back();
    } else {
        m_unused_lanes.pop_back();
    }
    m_lanes[next].key = key;
    return next;
}

void task_queue::add_ready(lane_index index) {
    lane& l = m_lanes[index];
    class_queue& queue = queue_of(l);
    const team_index team = l.key.team;
    if (team >= queue.by_team.size()) {
        queue.by_team.resize(team + 1);
    }
    class_team& entry = queue.by_team[team];
    if (entry.lanes.empty()) {
        entry.share = m_quotas.share(team, m_fleet);
        queue.teams.insert({entry.share, team});
    }
    entry.lanes.insert({*l.tasks.begin(), index});
}

void task_queue::remove_ready(lane_index index) {
    lane& l = m_lanes[index];
    if (l.tasks.empty()) {
        return;
    }
    class_queue& queue = queue_of(l);
    class_team& entry = queue.by_team[l.key.team];
    entry.lanes.erase({*l.tasks.begin(), index});
    if (entry.lanes.empty()) {
        queue.teams.erase({entry.share, l.key.team});
    }
}

void task_queue::remove_blocked(lane_index index) {
    lane& l = m_lanes[index];
    auto& blocked = queue_of(l).blocked;
    blocked[l.blocked_slot] = blocked.back();
    m_lanes[blocked[l.blocked_slot].lane].blocked_slot = l.blocked_slot;
    blocked.pop_back();
    l.blocked = wait_reason::none;
}

void task_queue::erase_lane(lane_index index) {
    lane& l = m_lanes[index];
    m_lane_index.erase(l.key);
    l = lane{};
    m_unused_lanes.push_back(index);
}

} // namespace buckthornspar::placement
