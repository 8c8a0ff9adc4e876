#pragma once

#include "core/learning/interference.h"
#include "core/learning/worker_speed.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace buckthornspar::learning {

/// What tasks of the same step took on different workers, for the latest steps. Durations are
/// natural logarithms of milliseconds. Takes at most 450 kB.
class step_baseline {
public:
    /// Identifies a step; a hash of its name.
    using step_id = std::uint64_t;
    struct entry {
        worker_index worker = 0;
        /// Without what the neighbours explain, and that.
        float log_duration = 0.0F;
        float explained = 0.0F;
        kind_index kind = no_kind;
        /// Kinds of the neighbours at the begin and at the end of the run.
        kind_set at_begin = 0;
        kind_set at_end = 0;
    };
    /// What a worker's speed is taken for.
    using speed_of = std::function<double(worker_index)>;

    /// Runs of so many tasks of a step are compared.
    static constexpr std::size_t max_entries = 32;

    /// Duration at the common speed that the runs on other workers than the given one show; absent
    /// when there are too few or they disagree.
    [[nodiscard]] static std::optional<double> log_work(const std::vector<entry>& runs,
                                                        worker_index except, const speed_of& speed);
    /// The same from all runs of the step so far.
    [[nodiscard]] std::optional<double> log_work(step_id step, const speed_of& speed) const;

    /// Adds a run of a step that has this many tasks to compare. Returns the runs of each step that
    /// is complete now, or that has waited for its other tasks for too long.
    std::vector<std::vector<entry>> add(step_id step, std::size_t tasks, const entry& run);

private:
    struct step_runs {
        std::vector<entry> entries;
        bool compared = false;
    };

    std::unordered_map<step_id, step_runs> m_steps;
    /// The steps in the order of their first runs.
    std::deque<step_id> m_order;
};

} // namespace buckthornspar::learning
