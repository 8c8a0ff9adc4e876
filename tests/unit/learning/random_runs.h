#pragma once

#include "core/common/rng.h"
#include "core/learning/run_learning.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace buckthornspar::learning::test {

/// Steps of several tasks on random workers. Estimates are off by half, tasks of a step differ by a
/// fifth, and a share of the tasks takes seven times as long.
class random_runs {
public:
    random_runs(std::uint64_t seed, std::vector<double> speeds)
        : m_random(seed), m_speeds(std::move(speeds)) {}

    double straggler_share = 0.03;
    /// Kinds beside a run, and what they do to it.
    std::vector<kind_set> neighbours_of_worker;
    double (*slowdown)(kind_index, kind_set) = [](kind_index, kind_set) { return 1.0; };

    /// Runs this many steps of the kind.
    void run_steps(run_learning& learning, int steps, kind_index kind = no_kind) {
        for (int i = 0; i < steps; ++i) {
            run_step(learning, kind);
        }
    }

    [[nodiscard]] double normal() {
        double sum = -6.0;
        for (int i = 0; i < 12; ++i) {
            sum += m_random.unit();
        }
        return sum;
    }
    [[nodiscard]] common::rng& random() { return m_random; }

private:
    void run_step(run_learning& learning, kind_index kind) {
        constexpr int tasks = 10;
        const auto step = m_random.next();
        const double estimate = 1000.0;
        const double work = estimate * std::exp(0.5 * normal());
        for (int i = 0; i < tasks; ++i) {
            const auto worker = static_cast<worker_index>(m_random.below(m_speeds.size()));
            const auto beside =
                worker < neighbours_of_worker.size() ? neighbours_of_worker[worker] : kind_set{0};
            auto ms = work * std::exp(0.2 * normal()) / m_speeds[worker] * slowdown(kind, beside);
            ms *= m_random.chance(straggler_share) ? 7.0 : 1.0;
            learning.add({worker, {step, beside, kind, true}, beside, "q", tasks, ms, estimate});
        }
    }

    common::rng m_random;
    std::vector<double> m_speeds;
};

} // namespace buckthornspar::learning::test
