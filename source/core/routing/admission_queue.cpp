#include "core/routing/admission_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace buckthornspar::routing {

namespace {

// std::set computes ranks in linear time. Beyond this size, an approximate rank is sufficient for
// the early refusal.
constexpr std::size_t max_counted_ahead = 256;

} // namespace

admission_queue::push_result admission_queue::push(const item& i,
                                                   std::optional<std::uint64_t>& evicted) {
    evicted.reset();
    if (size() < m_limits.max_waiting) {
        insert(i);
        return push_result::accepted;
    }
    for (std::size_t lower = request_class_count - 1; lower > index(i.priority); --lower) {
        if (!m_levels[lower].empty()) {
            const auto last = std::prev(m_levels[lower].end());
            evicted = last->second;
            m_levels[lower].erase(last);
            insert(i);
            return push_result::accepted;
        }
    }
    return push_result::full;
}

std::optional<std::size_t> admission_queue::highest_level(std::size_t from) const {
    for (std::size_t l = from; l < request_class_count; ++l) {
        if (!m_levels[l].empty()) {
            return l;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> admission_queue::next_level() const {
    const auto top = highest_level(0);
    if (!top || m_lower_class_credit < 1) {
        return top;
    }
    const auto lower = highest_level(*top + 1);
    return lower ? lower : top;
}

std::optional<std::uint64_t> admission_queue::front() const {
    const auto l = next_level();
    if (!l) {
        return std::nullopt;
    }
    return m_levels[*l].begin()->second;
}

void admission_queue::pop_front() {
    const auto l = next_level();
    if (!l) {
        return;
    }
    const auto top = highest_level(0);
    const bool lower_waits = highest_level(*top + 1).has_value();
    if (*l != *top) {
        m_lower_class_credit -= 1;
    } else if (lower_waits) {
        m_lower_class_credit += m_limits.lower_class_share;
    }
    m_levels[*l].erase(m_levels[*l].begin());
}

std::optional<std::uint64_t> admission_queue::back() const {
    for (auto l = m_levels.rbegin(); l != m_levels.rend(); ++l) {
        if (!l->empty()) {
            return std::prev(l->end())->second;
        }
    }
    return std::nullopt;
}

void admission_queue::remove(const item& i) {
    m_levels[index(i.priority)].erase({i.deadline, i.key});
}

std::size_t admission_queue::size() const {
    std::size_t total = 0;
    for (const auto& l : m_levels) {
        total += l.size();
    }
    return total;
}

std::size_t admission_queue::count_ahead(request_class priority, time_point deadline) const {
    std::size_t ahead = 0;
    for (std::size_t l = 0; l < index(priority); ++l) {
        ahead += m_levels[l].size();
    }
    const auto& own = m_levels[index(priority)];
    if (own.size() <= max_counted_ahead) {
        // A new item is placed behind those with the same deadline.
        const auto position =
            own.upper_bound({deadline, std::numeric_limits<std::uint64_t>::max()});
        return ahead + static_cast<std::size_t>(std::distance(own.begin(), position));
    }
    return ahead + (deadline > std::prev(own.end())->first ? own.size() : own.size() / 2);
}

} // namespace buckthornspar::routing
