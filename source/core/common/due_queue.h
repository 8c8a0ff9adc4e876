#pragma once

#include "core/common/clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace buckthornspar::common {

/// Keys with the times at which each is due, at most one time a key. All changes take logarithmic
/// time.
template <typename Key>
class due_queue {
public:
    due_queue() = default;
    // The positions refer to the elements of this object's order, which moves keep and copies do
    // not.
    due_queue(const due_queue&) = delete;
    due_queue& operator=(const due_queue&) = delete;
    due_queue(due_queue&&) noexcept = default;
    due_queue& operator=(due_queue&&) noexcept = default;
    ~due_queue() = default;

    /// Replaces the key's time; without a time the key is removed.
    void set(const Key& key, std::optional<time_point> due) {
        const auto position = m_positions.find(key);
        if (position != m_positions.end()) {
            if (due == position->second->first) {
                return;
            }
            m_order.erase(position->second);
            m_positions.erase(position);
        }
        if (due) {
            m_positions.emplace(key, m_order.emplace(*due, key));
        }
    }

    void clear() {
        m_order.clear();
        m_positions.clear();
    }

    [[nodiscard]] bool contains(const Key& key) const { return m_positions.contains(key); }

    /// The earliest time of a key.
    [[nodiscard]] std::optional<time_point> next() const {
        return m_order.empty() ? std::nullopt : std::optional(m_order.begin()->first);
    }

    /// The earliest time of a key that is later than the given one.
    [[nodiscard]] std::optional<time_point> next_after(time_point time) const {
        const auto position = m_order.upper_bound(time);
        return position == m_order.end() ? std::nullopt : std::optional(position->first);
    }

    /// Removes the keys that are due and returns them in the order of the keys.
    [[nodiscard]] std::vector<Key> take_due(time_point now) {
        std::vector<Key> due;
        while (!m_order.empty() && m_order.begin()->first <= now) {
            due.push_back(m_order.begin()->second);
            m_positions.erase(due.back());
            m_order.erase(m_order.begin());
        }
        std::sort(due.begin(), due.end());
        return due;
    }

private:
    std::multimap<time_point, Key> m_order;
    std::map<Key, typename std::multimap<time_point, Key>::iterator> m_positions;
};

} // namespace buckthornspar::common
