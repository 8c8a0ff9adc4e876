#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace buckthornspar::common {

/// Bounded queue between two duties. A producer never waits: a full ring refuses the item, and the
/// producer turns that into a typed, counted refusal.
template <typename T>
class bounded_queue {
public:
    explicit bounded_queue(std::size_t capacity) : m_items(capacity) {}

    /// Returns false when the ring is full or closed; the item is then left untouched.
    [[nodiscard]] bool try_push(T& item) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full()) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_ready.notify_one();
        return true;
    }

    [[nodiscard]] bool try_push(T&& item) { return try_push(item); }

    /// Takes all items that are there; waits up to max_wait for the first one.
    [[nodiscard]] std::vector<T> pop_all(std::chrono::microseconds max_wait) {
        std::vector<T> taken;
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, max_wait, [this] { return m_closed || !m_items.empty(); });
        taken.reserve(m_items.size());
        while (!m_items.empty()) {
            taken.push_back(std::move(m_items.front()));
            m_items.pop_front();
        }
        return taken;
    }

    /// Takes one item if there is one.
    [[nodiscard]] std::optional<T> try_pop() {
        const std::lock_guard lock(m_mutex);
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /// Refuses further items and wakes the consumer. Items already inside can still be taken.
    void close() {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    [[nodiscard]] bool closed() const {
        const std::lock_guard lock(m_mutex);
        return m_closed;
    }

    [[nodiscard]] std::size_t size() const {
        const std::lock_guard lock(m_mutex);
        return m_items.size();
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace buckthornspar::common
