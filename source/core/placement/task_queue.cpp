#include "core/placement/task_queue.h"

#include "core/placement/bucket_index.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <utility>

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
        if (goes_first) {
            queue_of(l).blocked.set_first(index, added);
        }
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

void task_queue::start_round(freed_room room) {
    ++m_round;
    m_room = std::move(room);
    for (class_queue& queue : m_classes) {
        queue.candidate.reset();
        // Trying many lanes one after the other costs less when they are all made ready first.
        queue.searched = m_room.empty() || !m_room.exact();
        if (!m_room.exact()) {
            unblock(queue.blocked.all_fitting(m_room));
        }
    }
}

void task_queue::set_room(freed_room room) {
    m_room = std::move(room);
    for (class_queue& queue : m_classes) {
        search_again(queue);
    }
}

void task_queue::search_again(class_queue& queue) {
    if (queue.candidate) {
        queue.candidate.reset();
        queue.searched = false;
    }
}

const std::optional<blocked_lanes::candidate>& task_queue::find_candidate(class_queue& queue) {
    if (!queue.searched) {
        queue.candidate = queue.blocked.first_fitting(m_room, m_round);
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
    const task_rank& first = queue.by_team[team.team].lanes.begin()->first;
    const bool blocked_goes_first = candidate && candidate->rank < front_rank{team, first};
    return blocked_goes_first ? candidate->rank.first.task : first.task;
}

bool task_queue::ready(priority_class c) {
    class_queue& queue = m_classes[static_cast<std::size_t>(c)];
    return !queue.teams.empty() || find_candidate(queue);
}

void task_queue::block(task_index task, wait_reason reason) {
    const lane_index index = m_places[task].lane;
    take_out(index);
    lane& l = m_lanes[index];
    class_queue& queue = queue_of(l);
    l.blocked = reason;
    const team_index team = l.key.team;
    queue.blocked.insert(index, {first_demand(l), *l.tasks.begin(), m_round, team, reason},
                         m_quotas.share(team, m_fleet));
}

void task_queue::unblock(const queue_changes& changes) {
    for (class_queue& queue : m_classes) {
        for (const team_index team : changes.relieved_teams) {
            unblock(queue.blocked.over_quota(team));
        }
        if (changes.plan_changed) {
            unblock(queue.blocked.with_reason(wait_reason::gang_reserved));
        }
    }
}

void task_queue::unblock(const std::vector<lane_index>& lanes) {
    for (const lane_index index : lanes) {
        remove_blocked(index);
        add_ready(index);
    }
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
        queue.blocked.set_share(team, share);
        search_again(queue);
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
        for (const team_index team : queue.blocked.teams()) {
            queue.blocked.set_share(team, m_quotas.share(team, fleet));
        }
    }
}

std::optional<task_index> task_queue::longest_blocked(common::time_point before) const {
    std::optional<task_index> longest;
    for (const class_queue& queue : m_classes) {
        for (const wait_reason reason : {wait_reason::no_capacity, wait_reason::gang_reserved}) {
            for (const lane_index index : queue.blocked.with_reason(reason)) {
                const lane& l = m_lanes[index];
                const task_index task = l.tasks.begin()->task;
                const auto since = std::max(m_tasks[task].request.submitted, l.last_start);
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
        for (const lane_index index : queue.blocked.all_over_quota()) {
            const lane& l = m_lanes[index];
            visit(l.key.team, first_demand(l), l.tasks.size());
        }
    }
}

task_rank task_queue::make_rank(task_index task) const {
    const task_entry& entry = m_tasks[task];
    const task_request& request = entry.request;
    const auto due = request.deadline.value_or(request.submitted + due_without_deadline);
    if (request.priority == priority_class::urgent) {
        return {due, 0.0, entry.sequence, task};
    }
    return {std::chrono::floor<std::chrono::seconds>(due), -dominant_share(request.demand, m_fleet),
            entry.sequence, task};
}

lane_index task_queue::lane_of(const lane_key& key) {
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
    class_queue& queue = queue_of(l);
    search_again(queue);
    queue.blocked.erase(index);
    l.blocked = wait_reason::none;
}

void task_queue::erase_lane(lane_index index) {
    lane& l = m_lanes[index];
    m_lane_index.erase(l.key);
    l = lane{};
    m_unused_lanes.push_back(index);
}

} // namespace buckthornspar::placement
