#pragma once

#include "core/learning/estimate_error.h"
#include "core/learning/interference.h"
#include "core/learning/observed_run.h"
#include "core/learning/step_baseline.h"
#include "core/learning/worker_speed.h"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::learning {

/// What the decisions use of what is learnt.
struct learning_settings {
    /// Speeds of workers, and durations of steps and queues once workers are of uneven speed.
    bool speeds = true;
    /// Pairs of kinds of work that slow each other down.
    bool interference = true;
};

/// A comparable run that has succeeded.
struct finished_run {
    worker_index worker = 0;
    observed_run run;
    /// Kinds of the other runs on the worker at the end.
    kind_set neighbours = 0;
    std::string queue;
    /// Number of tasks of the step.
    std::size_t tasks = 1;
    double duration_ms = 0.0;
    double estimate_ms = 0.0;
};

/// What can be learnt of runs that end: the speeds of workers, the error of estimates, and which
/// kinds of work slow each other down. Needs bounded memory besides 32 bytes a worker.
class run_learning {
public:
    explicit run_learning(const learning_settings& settings) : m_settings(settings) {}

    /// Returns the number of stragglers found: runs that took several times as long as the others
    /// of their step.
    std::size_t add(const finished_run& finished);
    void forget_worker(worker_index worker) { m_speed.forget(worker); }
    /// A known speed, as a factor of the common one, which is not learnt.
    void set_known_speed(worker_index worker, double speed);

    /// Workers are believed to be of different speed, and the decisions use that.
    [[nodiscard]] bool is_uneven() const {
        return m_settings.speeds && m_speed.uneven_workers() > 0;
    }
    /// Natural logarithm of the worker's speed as a factor of the common one.
    [[nodiscard]] double log_speed(worker_index worker) const {
        return m_settings.speeds ? m_speed.log_speed(worker) : 0.0;
    }
    struct duration {
        double ms = 0.0;
        /// Other tasks of the step have shown it; else it is the corrected estimate.
        bool measured = false;
    };
    /// Expected duration of a task at the common speed; the estimate while workers are even.
    [[nodiscard]] duration expected_work(step_baseline::step_id step, const std::string& queue,
                                         double estimate_ms) const;
    /// The same on the worker.
    [[nodiscard]] double expected_ms(worker_index worker, step_baseline::step_id step,
                                     const std::string& queue, double estimate_ms) const;

    [[nodiscard]] interference& pairs() { return m_pairs; }
    [[nodiscard]] const interference& pairs() const { return m_pairs; }
    /// Some kinds of work are believed to slow others down, and the decisions use that.
    [[nodiscard]] bool has_interference() const {
        return m_settings.interference && m_pairs.believed_pairs() > 0;
    }
    [[nodiscard]] std::size_t uneven_workers() const { return m_speed.uneven_workers(); }

private:
    [[nodiscard]] step_baseline::speed_of reference_speeds() const;
    std::size_t compare(const std::vector<step_baseline::entry>& runs);

    learning_settings m_settings;
    worker_speed m_speed;
    step_baseline m_steps;
    estimate_error m_estimates;
    interference m_pairs;
};

} // namespace buckthornspar::learning
