#include "core/dispatch/waiting_steps.h"

#include <algorithm>

namespace buckthornspar::dispatch {

namespace {

// Number of blocked steps after which a plan ends, shared equally by the queues with waiting steps.
// The design allows 1 ms for a decision (1.7); a plan with 715 examined steps on 540 workers takes
// 3.3 ms (buckthornspar-bench plan-backlog, beside load). Fewer would change the decisions of
// backlogs of a few hundred steps. Starts are limited by the capacity that becomes free, and the
// steps that come first take most of it.
constexpr std::size_t max_blocked_steps = 768;
constexpr std::size_t min_blocked_steps = 64;
// Part of these that is left for the steps behind the most urgent ones. Steps that can never start
// must not keep the others waiting forever: each step is examined within
// (waiting steps) / (depth / turn_divisor) plans.
constexpr std::size_t turn_divisor = 4;
// Steps that a cap forbids cost a plan little, because no worker is searched for them, and those
// that are not even visited cost less. A blocked step counts as much as this, so that a plan beside
// thousands of them is bounded and the other steps get their turn.
constexpr std::size_t capped_weight = 8;
constexpr std::size_t held_weight = 1;
constexpr std::size_t blocked_weight = 64;

} // namespace

void waiting_steps::insert(const std::string& queue, const step_position& position) {
    auto& target = m_lanes[queue];
    m_by_job[position.step.job].emplace_back(&target, target.steps.insert(position).first);
}

void waiting_steps::erase_job(const std::string& job) {
    const auto found = m_by_job.find(job);
    if (found == m_by_job.end()) {
        return;
    }
    for (const auto& [queue, position] : found->second) {
        queue->steps.erase(position);
    }
    m_by_job.erase(found);
}

void waiting_steps::clear() {
    m_by_job.clear();
    m_lanes.clear();
}

void waiting_steps::forget(lane* queue, std::set<step_position>::iterator position) {
    const auto found = m_by_job.find(position->step.job);
    std::erase(found->second, entry(queue, position));
    if (found->second.empty()) {
        m_by_job.erase(found);
    }
}

waiting_scan::waiting_scan(waiting_steps& steps) : m_steps(steps) {
    for (auto& [name, queue] : steps.m_lanes) {
        if (!queue.steps.empty()) {
            m_cursors.push_back({&queue, queue.steps.begin(), queue.steps.size(), 0, false});
        }
    }
    if (!m_cursors.empty()) {
        m_depth = std::max(min_blocked_steps, max_blocked_steps / m_cursors.size());
    }
}

const step_position* waiting_scan::next() {
    for (;;) {
        const auto first = std::min_element(
            m_cursors.begin(), m_cursors.end(),
            [](const cursor& a, const cursor& b) { return *a.position < *b.position; });
        if (first == m_cursors.end()) {
            return nullptr;
        }
        m_current = static_cast<std::size_t>(first - m_cursors.begin());
        if (!is_held(*first->position)) {
            return &*first->position;
        }
        ++m_held_steps;
        const auto visited = first->position++;
        --first->remaining;
        count_capped(*first, *visited, held_weight);
        close_if_done();
    }
}

void waiting_scan::report(outcome result) {
    auto& at = m_cursors[m_current];
    const auto visited = at.position++;
    --at.remaining;
    if (result == outcome::gone) {
        m_steps.forget(at.queue, visited);
        at.queue->steps.erase(visited);
    } else if (result == outcome::blocked) {
        count_blocked(at, *visited);
    } else if (result == outcome::capped || result == outcome::held) {
        if (result == outcome::held) {
            hold(*visited);
        }
        count_capped(at, *visited, capped_weight);
    }
    close_if_done();
}

void waiting_scan::hold(const step_position& position) {
    if (position.customer == customers::no_customer) {
        return;
    }
    if (position.customer >= m_held.size()) {
        m_held.resize(position.customer + 1);
    }
    m_held[position.customer] = true;
}

void waiting_scan::count_capped(cursor& at, const step_position& visited, std::size_t weight) {
    at.capped += weight;
    if (at.capped >= blocked_weight) {
        at.capped -= blocked_weight;
        count_blocked(at, visited);
    }
}

void waiting_scan::close_if_done() {
    const auto& at = m_cursors[m_current];
    const bool at_end = at.position == at.queue->steps.end();
    if (at_end) {
        at.queue->resume_after.reset();
    }
    if (at_end || at.blocked >= m_depth) {
        m_cursors.erase(m_cursors.begin() + static_cast<std::ptrdiff_t>(m_current));
    }
}

void waiting_scan::count_blocked(cursor& at, const step_position& visited) {
    ++at.blocked;
    if (at.blocked >= m_depth) {
        at.queue->resume_after = visited;
        return;
    }
    const bool all_fit = at.remaining <= m_depth - at.blocked;
    if (at.beyond_head || all_fit || at.blocked < m_depth - m_depth / turn_divisor) {
        return;
    }
    at.beyond_head = true;
    if (at.queue->resume_after) {
        const auto resumed = at.queue->steps.upper_bound(*at.queue->resume_after);
        if (resumed != at.queue->steps.end() && *at.position < *resumed) {
            at.position = resumed;
        }
    }
}

} // namespace buckthornspar::dispatch
