#include "core/placement/bucket_scorer.h"

#include <algorithm>
#include <cmath>
#include <memory>

// Ways of scoring that were weighed against best_fit; see docs/notes/placement-scoring.md. They are
// registered here only to be measured, by name, with --set scorers=...

namespace buckthornspar::bench {

namespace {

using placement::bucket_scorer;
using placement::fit;
using placement::scorer_registration;

double sum_left(const fit& f) {
    return f.cpu_left() + f.memory_left();
}

double squares_left(const fit& f) {
    return f.cpu_left() * f.cpu_left() + f.memory_left() * f.memory_left();
}

double largest_left(const fit& f) {
    return std::max(f.cpu_left(), f.memory_left());
}

double smallest_left(const fit& f) {
    return std::min(f.cpu_left(), f.memory_left());
}

double length(double x, double y) {
    return std::sqrt(x * x + y * y) + 1e-9;
}

/// Cosine of the angle between demand and free amounts; the fuller worker wins ties.
double cosine(const fit& f) {
    const double dot = f.cpu_demand * f.cpu_free + f.memory_demand * f.memory_free;
    const double cos =
        dot / (length(f.cpu_demand, f.memory_demand) * length(f.cpu_free, f.memory_free));
    return -cos + 0.05 * (f.cpu_free + f.memory_free);
}

/// Dot product as in multi-resource packing: prefers workers with much free of what is demanded.
double dot_product(const fit& f) {
    return -(f.cpu_demand * f.cpu_free + f.memory_demand * f.memory_free);
}

template <int Percent>
double balance(const fit& f) {
    constexpr double weight = Percent / 100.0;
    return f.cpu_left() + f.memory_left() + weight * std::abs(f.cpu_left() - f.memory_left());
}

template <int Percent>
double relative_imbalance(const fit& f) {
    constexpr double weight = Percent / 100.0;
    const double left = f.cpu_left() + f.memory_left();
    return left + weight * std::abs(f.cpu_left() - f.memory_left()) / (left + 0.02);
}

/// Change of imbalance by the task, besides the room left.
template <int Percent>
double alignment(const fit& f) {
    constexpr double weight = Percent / 100.0;
    const double before = std::abs(f.cpu_free - f.memory_free);
    const double after = std::abs(f.cpu_left() - f.memory_left());
    return f.cpu_left() + f.memory_left() + weight * (after - before);
}

placement::scorer_registry::factory make(placement::fit_score score) {
    return [score](std::uint64_t /*seed*/) { return std::make_unique<bucket_scorer>(score); };
}

const scorer_registration registrations[] = {
    {"sum_left", make(&sum_left)},
    {"squares_left", make(&squares_left)},
    {"largest_left", make(&largest_left)},
    {"smallest_left", make(&smallest_left)},
    {"cosine", make(&cosine)},
    {"dot_product", make(&dot_product)},
    {"balance_25", make(&balance<25>)},
    {"balance_50", make(&balance<50>)},
    {"balance_100", make(&balance<100>)},
    {"balance_200", make(&balance<200>)},
    {"relative_imbalance_20", make(&relative_imbalance<20>)},
    {"relative_imbalance_50", make(&relative_imbalance<50>)},
    {"alignment_50", make(&alignment<50>)},
    {"alignment_100", make(&alignment<100>)},
    {"alignment_200", make(&alignment<200>)},
};

} // namespace

} // namespace buckthornspar::bench
