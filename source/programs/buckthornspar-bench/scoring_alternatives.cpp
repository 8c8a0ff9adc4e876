#include "core/placement/bucket_scorer.h"

#include <algorithm>
#include <cmath>
#include <memory>

// Scoring functions evaluated as alternatives to best_fit; see docs/notes/placement-scoring.md.
// They are registered only in this program, for measurements with --set scorers=NAME.

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

double norm(double x, double y) {
    return std::sqrt(x * x + y * y) + 1e-9;
}

/// Cosine of the angle between the demand and the free capacity, plus weighted free capacity.
template <int Percent>
double cosine(const fit& f) {
    const double dot = f.cpu_demand * f.cpu_free + f.memory_demand * f.memory_free;
    const double cos =
        dot / (norm(f.cpu_demand, f.memory_demand) * norm(f.cpu_free, f.memory_free));
    return -cos + Percent / 100.0 * (f.cpu_free + f.memory_free);
}

/// Sine of the same angle, which distinguishes small angles better.
template <int Percent>
double sine(const fit& f) {
    const double cross = std::abs(f.cpu_demand * f.memory_free - f.memory_demand * f.cpu_free);
    const double sin =
        cross / (norm(f.cpu_demand, f.memory_demand) * norm(f.cpu_free, f.memory_free));
    return sin + Percent / 100.0 * (f.cpu_free + f.memory_free);
}

/// Like sine, but free capacity has little weight on nearly full workers.
template <int Percent>
double sine_squared_room(const fit& f) {
    const double cross = std::abs(f.cpu_demand * f.memory_free - f.memory_demand * f.cpu_free);
    const double sin =
        cross / (norm(f.cpu_demand, f.memory_demand) * norm(f.cpu_free, f.memory_free));
    const double room = f.cpu_free + f.memory_free;
    return sin + Percent / 100.0 * room * room;
}

/// Like sine, but differences in free capacity have little weight on nearly empty workers.
template <int Percent>
double sine_root_room(const fit& f) {
    const double cross = std::abs(f.cpu_demand * f.memory_free - f.memory_demand * f.cpu_free);
    const double sin =
        cross / (norm(f.cpu_demand, f.memory_demand) * norm(f.cpu_free, f.memory_free));
    return sin + Percent / 100.0 * std::sqrt(f.cpu_free + f.memory_free);
}

/// Alignment of the demand with the free capacity, scaled by the existing imbalance.
template <int Percent>
double cross_product(const fit& f) {
    const double cross = std::abs(f.cpu_demand * f.memory_free - f.memory_demand * f.cpu_free);
    return cross + Percent / 100.0 * (f.cpu_free + f.memory_free);
}

/// Dot product as in multi-resource packing: prefers workers with much free capacity of the
/// demanded resources.
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

/// Change of the imbalance by the task, plus the remaining capacity.
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
    {"cosine_0", make(&cosine<0>)},
    {"cosine_10", make(&cosine<10>)},
    {"sine_0", make(&sine<0>)},
    {"sine_10", make(&sine<10>)},
    {"sine_20", make(&sine<20>)},
    {"sine_squared_room_3", make(&sine_squared_room<3>)},
    {"sine_squared_room_6", make(&sine_squared_room<6>)},
    {"sine_squared_room_10", make(&sine_squared_room<10>)},
    {"sine_root_room_30", make(&sine_root_room<30>)},
    {"cross_product_1", make(&cross_product<1>)},
    {"dot_product", make(&dot_product)},
    {"balance_100", make(&balance<100>)},
    {"relative_imbalance_50", make(&relative_imbalance<50>)},
    {"alignment_100", make(&alignment<100>)},
};

} // namespace

} // namespace buckthornspar::bench
