#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/dispatch/job.h"
#include "core/dispatch/worker_registry.h"
#include "core/learning/run_learning.h"

#include <set>
#include <string>

namespace buckthornspar::dispatch {

/// The kind of work that tasks of the step are: the image, else the queue.
[[nodiscard]] const std::string& kind_of(const step_spec& spec, const std::string& queue);

/// Feeds the learning with the runs of the workers, and reports what it has learnt in logs and
/// metrics.
class run_observer {
public:
    run_observer(const learning::learning_settings& settings, common::counters& counters)
        : m_counters(counters), m_learnt(settings) {}

    /// What is known of the task of a run.
    struct task_info {
        const step_spec& spec;
        const std::string& queue;
        /// The run has begun with the whole work of the task, and its begin is known.
        bool whole = true;
    };
    /// The run has been placed on the worker.
    void on_start(worker_entry& worker, const run_key& run, placed_run& placed,
                  const task_info& task);
    /// The worker has listed the end of the run, which is still placed there.
    void on_end(common::time_point now, const worker_entry& worker, const ended_run& ended,
                const placed_run& placed, const task_info& task);
    void on_restart(worker_slot worker);

    /// Expected time from the order to the end of a run; the estimate while all workers are alike.
    [[nodiscard]] common::duration expected_duration(const worker_entry& worker, const run_key& run,
                                                     const step_spec& spec,
                                                     const std::string& queue) const;
    [[nodiscard]] const learning::run_learning& learnt() const { return m_learnt; }
    [[nodiscard]] learning::run_learning& learnt() { return m_learnt; }

private:
    void report_changes();

    common::counters& m_counters;
    learning::run_learning m_learnt;
    /// Pairs with a metric; their number is bounded.
    std::set<std::string> m_pair_metrics;
    std::size_t m_reported_uneven = 0;
};

/// Identifies the step of the task for the learning.
[[nodiscard]] learning::step_baseline::step_id learning_id(const task_key& task);

} // namespace buckthornspar::dispatch
