#pragma once

#include "core/learning/log_samples.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornspar::learning {

/// Index of a worker, as the caller numbers them.
using worker_index = std::uint32_t;

/// How fast workers run tasks in relation to the common speed of the fleet, from what the same work
/// took elsewhere. Speeds are natural logarithms; 0 is the common speed, also while there is no
/// sufficient evidence of another one. Takes 32 bytes a worker.
class worker_speed {
public:
    /// A run on the worker was this much faster than runs of the same work on others are expected
    /// to be at the common speed.
    void add(worker_index worker, double log_speed);
    /// A known speed, which is not learnt.
    void set_known(worker_index worker, double log_speed);
    /// The worker is a new one, or has restarted.
    void forget(worker_index worker);

    [[nodiscard]] double log_speed(worker_index worker) const {
        return worker < m_workers.size() ? m_workers[worker].believed : 0.0F;
    }
    /// The best guess of the worker's speed, whether it is believed or not.
    [[nodiscard]] double estimated_log_speed(worker_index worker) const {
        return worker < m_workers.size() ? m_workers[worker].estimated : 0.0F;
    }
    /// The worker's speed as observed, whether it is believed or not; absent when there are too few
    /// samples.
    [[nodiscard]] std::optional<double> observed_log_speed(worker_index worker) const;
    /// Number of workers that are believed to be slower or faster than the common speed.
    [[nodiscard]] std::size_t uneven_workers() const { return m_uneven; }

private:
    struct state {
        log_samples<16> samples;
        float believed = 0.0F;
        float estimated = 0.0F;
        bool measured = false;
        bool deviates = false;
        bool known = false;
    };

    state& at(worker_index worker);
    void evaluate(state& worker);
    void believe(state& worker, double log_speed);
    [[nodiscard]] bool is_fleet_uneven() const;

    std::vector<state> m_workers;
    /// Average distance of a sample from the median of its worker, over this many samples. It
    /// begins as that of exponentially distributed durations, the widest that are usual.
    double m_noise = 0.8;
    double m_noise_samples = 16.0;
    std::size_t m_uneven = 0;
    /// Workers with enough samples for a first look, and those of them whose samples deviate.
    std::size_t m_measured = 0;
    std::size_t m_deviating = 0;
};

} // namespace buckthornspar::learning
