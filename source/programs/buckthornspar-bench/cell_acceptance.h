#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::bench {

/// How long the store takes for a write, and when it is slow or down.
struct store_model {
    struct period {
        common::time_point from;
        common::time_point to;
        [[nodiscard]] bool contains(common::time_point t) const { return from <= t && t < to; }
    };

    common::duration write = std::chrono::milliseconds(5);
    common::duration slow_write = std::chrono::milliseconds(300);
    std::optional<period> slow;
    std::optional<period> down;

    /// A write that meets the time in which the store is down ends after it.
    [[nodiscard]] common::time_point end_of_write(common::time_point begin) const;
};

/// Submissions on their way into the journal: batched, one write at a time, refused when a call's
/// deadline passes before its write begins. The limits are the defaults of the scheduler and of
/// the entry.
class cell_acceptance {
public:
    explicit cell_acceptance(store_model store) : m_store(store) {}

    struct outcome {
        std::vector<std::string> accepted;
        std::vector<std::string> refused;
    };

    /// False when too many submissions wait.
    [[nodiscard]] bool add(const std::string& task, common::time_point now);
    [[nodiscard]] outcome step(common::time_point now);
    /// Empty when nothing waits.
    [[nodiscard]] std::optional<common::time_point> next_step() const;

private:
    struct submission {
        std::string task;
        common::time_point deadline;
    };

    void refuse_late(common::time_point now, outcome& result);
    void begin_write(common::time_point now);

    store_model m_store;
    std::deque<submission> m_waiting;
    std::vector<std::string> m_batch;
    std::optional<common::time_point> m_write_ends;
    common::time_point m_next_flush{};
};

} // namespace buckthornspar::bench
