#pragma once

#include "core/routing/request.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace buckthornspar::routing {

struct queue_limits {
    std::size_t max_waiting = 2000;
    /// Share of dispatches reserved for lower classes while higher classes are waiting.
    double lower_class_share = 0.1;
};

/// Priority queue of the requests of one service that wait for a runner. Ordered by class, then by
/// earliest deadline.
class admission_queue {
public:
    explicit admission_queue(queue_limits limits) : m_limits(limits) {}

    struct item {
        std::uint64_t key;
        request_class priority;
        time_point deadline;
    };

    enum class push_result { accepted, full };

    /// When the queue is full, evicts the last request of the lowest class below that of the new
    /// item and stores its key in evicted. Returns full when there is none.
    push_result push(const item& i, std::optional<std::uint64_t>& evicted);

    /// Inserts a request that has been admitted before, regardless of the limit.
    void reinsert(const item& i) { insert(i); }

    /// The request to send next. Does not change until the queue changes.
    [[nodiscard]] std::optional<std::uint64_t> front() const;
    void pop_front();
    /// The request that would be sent last.
    [[nodiscard]] std::optional<std::uint64_t> back() const;
    void remove(const item& i);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool empty() const { return size() == 0; }

    /// Number of waiting requests that precede a new one with this class and deadline. Approximate
    /// when the class has many waiting requests.
    [[nodiscard]] std::size_t count_ahead(request_class priority, time_point deadline) const;

private:
    using level = std::set<std::pair<time_point, std::uint64_t>>;

    void insert(const item& i) { m_levels[index(i.priority)].emplace(i.deadline, i.key); }
    static std::size_t index(request_class c) { return static_cast<std::size_t>(c); }
    [[nodiscard]] std::optional<std::size_t> highest_level(std::size_t from) const;
    [[nodiscard]] std::optional<std::size_t> next_level() const;

    queue_limits m_limits;
    std::array<level, request_class_count> m_levels;
    double m_lower_class_credit = 0;
};

} // namespace buckthornspar::routing
