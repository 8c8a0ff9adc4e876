#include "core/learning/run_learning.h"

#include <algorithm>
#include <cmath>

namespace buckthornspar::learning {

namespace {

// Factor over its expectation, as a logarithm, from which a run is a straggler.
constexpr double straggler_factor = 1.1;
// Shorter runs tell more about the way of orders and lists than about their worker.
constexpr double min_duration_ms = 100.0;

} // namespace

// Also speeds that are not believed yet: in an uneven fleet the first comparisons would otherwise
// be with workers that are taken for equal.
step_baseline::speed_of run_learning::reference_speeds() const {
    return [this](worker_index worker) { return m_speed.estimated_log_speed(worker); };
}

void run_learning::set_known_speed(worker_index worker, double speed) {
    m_speed.set_known(worker, std::log(speed));
}

std::size_t run_learning::add(const finished_run& finished) {
    const auto& run = finished.run;
    if (!run.comparable || finished.duration_ms < min_duration_ms) {
        return 0;
    }
    const auto log_duration = std::log(finished.duration_ms);
    // What the neighbours explain is not the worker's speed.
    const auto explained = m_pairs.slowdown(run.kind, run.neighbours & finished.neighbours);
    if (finished.estimate_ms > 0.0) {
        m_estimates.add(finished.queue, log_duration - explained +
                                            m_speed.estimated_log_speed(finished.worker) -
                                            std::log(finished.estimate_ms));
    }
    std::size_t stragglers = 0;
    for (const auto& runs : m_steps.add(
             run.step, finished.tasks,
             {finished.worker, static_cast<float>(log_duration - explained),
              static_cast<float>(explained), run.kind, run.neighbours, finished.neighbours})) {
        stragglers += compare(runs);
    }
    return stragglers;
}

std::size_t run_learning::compare(const std::vector<step_baseline::entry>& runs) {
    struct sample {
        worker_index worker = 0;
        double log_speed = 0.0;
    };
    const auto speeds = reference_speeds();
    std::vector<sample> samples;
    std::size_t stragglers = 0;
    for (const auto& run : runs) {
        const auto others = step_baseline::log_work(runs, run.worker, speeds);
        if (!others) {
            continue;
        }
        const auto log_speed = *others - double{run.log_duration};
        samples.push_back({run.worker, log_speed});
        stragglers += speeds(run.worker) - log_speed > straggler_factor ? 1U : 0U;
        // The worker's own speed is taken out, whether it is believed or not.
        if (const auto observed = m_speed.observed_log_speed(run.worker)) {
            m_pairs.add(run.kind, run.at_begin, run.at_end,
                        *observed - log_speed + double{run.explained});
        }
    }
    for (const auto& [worker, log_speed] : samples) {
        m_speed.add(worker, log_speed);
    }
    return stragglers;
}

run_learning::duration run_learning::expected_work(step_baseline::step_id step,
                                                   const std::string& queue,
                                                   double estimate_ms) const {
    if (!is_uneven()) {
        return {estimate_ms, false};
    }
    if (const auto work = m_steps.log_work(step, reference_speeds())) {
        return {std::exp(*work), true};
    }
    return {estimate_ms * std::exp(m_estimates.log_ratio(queue)), false};
}

double run_learning::expected_ms(worker_index worker, step_baseline::step_id step,
                                 const std::string& queue, double estimate_ms) const {
    const auto work = expected_work(step, queue, estimate_ms);
    return is_uneven() ? work.ms * std::exp(-log_speed(worker)) : estimate_ms;
}

} // namespace buckthornspar::learning
