#include "core/placement/bucket_scorer.h"

#include <cmath>
#include <memory>

namespace buckthornspar::placement {

namespace {

/// Weight of the free resources of the worker relative to the angle. On mixed batches, half of this
/// weight leaves a lightly loaded fleet spread out, and twice of it packs a full one worse; see
/// docs/notes/placement-scoring.md.
constexpr double free_weight = 0.06;

double length(double x, double y) {
    // The small term prevents a division by zero for an empty demand or a full worker.
    return std::sqrt(x * x + y * y) + 1e-9;
}

/// Sine of the angle between the demand and the free resources of the worker: a task that uses
/// processors and memory in the proportion in which they are free strands neither. The square of
/// the free resources decides between workers of similar angle, so that empty workers are used
/// last, while nearly full ones compete by angle alone.
double score(const fit& f) {
    const double cross = std::abs(f.cpu_demand * f.memory_free - f.memory_demand * f.cpu_free);
    const double sine =
        cross / (length(f.cpu_demand, f.memory_demand) * length(f.cpu_free, f.memory_free));
    const double free_total = f.cpu_free + f.memory_free;
    return sine + free_weight * free_total * free_total;
}

const scorer_registration registration("best_fit", [](std::uint64_t /*seed*/) {
    return std::make_unique<bucket_scorer>(&score);
});

} // namespace

} // namespace buckthornspar::placement
