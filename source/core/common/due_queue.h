#pragma once

#include "core/common/clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace buckthornspar::common {

/// Timer queue: a set of keys, each with the time at which it is due. All modifications take
/// logarithmic time.
template <typename Key>
class due_queue {
public:
    due_queue() = default;
    // m_by_key holds iterators into m_by_time; these stay valid when the object is moved, but not
    // when it is copied.
    due_queue(const due_queue&) = delete;
    due_queue& operator=(const due_queue&) = delete;
    due_queue(due_queue&&) noexcept = default;
    due_queue& operator=(due_queue&&) noexcept = default;
    ~due_queue() = default;

    /// Sets the due time of the key; std::nullopt removes the key.
    void set(const Key& key, std::optional<time_point> due) {
        const auto position = m_by_key.find(key);
        if (position != m_by_key.end()) {
            if (due == position->second->first) {
                return;
            }
            m_by_time.erase(position->second);
            m_by_key.erase(position);
        }
        if (due) {
            m_by_key.emplace(key, m_by_time.emplace(*due, key));
        }
    }

    void clear() {
        m_by_time.clear();
        m_by_key.clear();
    }

    [[nodiscard]] bool contains(const Key& key) const { return m_by_key.contains(key); }

    /// The earliest due time; empty if there are no keys.
    [[nodiscard]] std::optional<time_point> next() const {
        return m_by_time.empty() ? std::nullopt : std::optional(m_by_time.begin()->first);
    }

    /// The earliest due time after the given time; empty if there is none.
    [[nodiscard]] std::optional<time_point> next_after(time_point time) const {
        const auto position = m_by_time.upper_bound(time);
        return position == m_by_time.end() ? std::nullopt : std::optional(position->first);
    }

    /// Removes and returns the keys that are due, sorted by key.
    [[nodiscard]] std::vector<Key> take_due(time_point now) {
        std::vector<Key> due;
        while (!m_by_time.empty() && m_by_time.begin()->first <= now) {
            due.push_back(m_by_time.begin()->second);
            m_by_key.erase(due.back());
            m_by_time.erase(m_by_time.begin());
        }
        std::sort(due.begin(), due.end());
        return due;
    }

private:
    std::multimap<time_point, Key> m_by_time;
    std::map<Key, typename std::multimap<time_point, Key>::iterator> m_by_key;
};

} // namespace buckthornspar::common
