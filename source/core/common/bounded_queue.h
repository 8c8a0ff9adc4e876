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

/// Bounded queue between threads. Producers never block: a full queue rejects the item, and the
/// producer reports that as a typed error and counts it.
template <typename T>
class bounded_queue {
public:
    explicit bounded_queue(std::size_t capacity) : m_items(capacity) {}

    /// Returns false, and leaves the item unchanged, if the queue is full or closed.
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

    /// Removes and returns all queued items; waits up to max_wait for the first one.
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

    /// Removes and returns the oldest item; empty if there is none.
    [[nodiscard]] std::optional<T> try_pop() {
        const std::lock_guard lock(m_mutex);
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /// Rejects further items and wakes waiting consumers. Queued items can still be popped.
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
