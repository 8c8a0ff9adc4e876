#pragma once

#include "core/dispatch/step_order.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// The steps that may have waiting tasks, by queue and in placement order.
class waiting_steps {
public:
    /// The step must not be contained.
    void insert(const std::string& queue, const step_position& position);
    void erase_job(const std::string& job);
    void clear();
    [[nodiscard]] bool empty() const { return m_by_job.empty(); }

private:
    friend class waiting_scan;

    struct lane {
        std::set<step_position> steps;
        /// The last step examined beyond the most urgent ones; the next scan continues behind it.
        std::optional<step_position> resume_after;
    };
    using entry = std::pair<lane*, std::set<step_position>::iterator>;

    void forget(lane* queue, std::set<step_position>::iterator position);

    std::map<std::string, lane> m_lanes;
    std::unordered_map<std::string, std::vector<entry>> m_by_job;
};

/// Selects the steps that one plan examines. In each queue, these are the most urgent steps until a
/// limited number of them could not be placed, and, when more are waiting, some of the others in
/// turn. The steps of all queues are visited in placement order.
class waiting_scan {
public:
    /// How the plan ended for a step.
    enum class outcome {
        placed,  ///< tasks were placed
        blocked, ///< nothing was placed
        capped,  ///< the cap of the customer forbids the step now
        held,    ///< as capped; the further steps of the customer are not visited
        gone,    ///< the step is not waiting; it is removed
    };

    explicit waiting_scan(waiting_steps& steps);

    /// The next step to be examined, or nullptr. Each requires one call of report().
    [[nodiscard]] const step_position* next();
    void report(outcome result);
    /// Number of steps that were not visited because of outcome::held.
    [[nodiscard]] std::size_t held_steps() const { return m_held_steps; }

private:
    struct cursor {
        waiting_steps::lane* queue = nullptr;
        std::set<step_position>::iterator position;
        /// Steps of the queue that have not been visited, those at the position included.
        std::size_t remaining = 0;
        std::size_t blocked = 0;
        bool beyond_head = false;
        /// Weight of the steps that a cap forbids, below that of one blocked step.
        std::size_t capped = 0;
    };

    [[nodiscard]] bool is_held(const step_position& position) const {
        return position.customer < m_held.size() && m_held[position.customer];
    }
    void hold(const step_position& position);
    void count_capped(cursor& at, const step_position& visited, std::size_t weight);
    /// Ends the scan of the current queue when it has no further steps or too many were blocked.
    void close_if_done();

    void count_blocked(cursor& at, const step_position& visited);

    waiting_steps& m_steps;
    std::vector<cursor> m_cursors;
    std::size_t m_current = 0;
    /// Customers whose further steps are not visited.
    std::vector<bool> m_held;
    std::size_t m_held_steps = 0;
    /// Number of blocked steps in a queue after which its scan ends.
    std::size_t m_depth = 0;
};

} // namespace buckthornspar::dispatch
