#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::bench {

/// Write latency of the store, and the periods in which it is slow or unavailable.
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

    /// Returns the completion time of a write. A write that overlaps an outage completes after it.
    [[nodiscard]] common::time_point end_of_write(common::time_point begin) const;
};

/// Model of how submissions are written to the journal: in batches, one write at a time. A
/// submission is refused if its call deadline passes before its write begins. The limits are the
/// defaults of the scheduler and of the entry.
class cell_acceptance {
public:
    explicit cell_acceptance(store_model store) : m_store(store) {}

    struct outcome {
        std::vector<std::string> accepted;
        std::vector<std::string> refused;
    };

    /// Returns false if too many submissions are waiting.
    [[nodiscard]] bool add(const std::string& task, common::time_point now);
    [[nodiscard]] outcome step(common::time_point now);
    /// Time at which step() must be called next; empty if nothing is waiting.
    [[nodiscard]] std::optional<common::time_point> next_step() const;

private:
    struct submission {
        std::string task;
        common::time_point deadline;
    };

    void refuse_expired(common::time_point now, outcome& result);
    void begin_write(common::time_point now);

    store_model m_store;
    std::deque<submission> m_waiting;
    std::vector<std::string> m_batch;
    std::optional<common::time_point> m_write_ends;
    common::time_point m_next_flush{};
};

} // namespace buckthornspar::bench
