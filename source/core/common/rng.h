#pragma once

#include <cstdint>
#include <random>

namespace buckthornspar::common {

/// Seeded random number generator. Unlike those of the standard distributions, its results are the
/// same with every standard library, so that a seed from a test report reproduces the run.
class rng {
public:
    explicit rng(std::uint64_t seed) : m_engine(seed) {}

    [[nodiscard]] std::uint64_t next() { return m_engine(); }

    /// Uniformly distributed in [0, bound). bound must be positive. The modulo bias is below 2^-32
    /// for the bounds used in this project.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return m_engine() % bound; }

    /// Uniformly distributed in [0, 1).
    [[nodiscard]] double unit() {
        constexpr double two_to_minus_53 = 0x1.0p-53;
        return static_cast<double>(m_engine() >> 11U) * two_to_minus_53;
    }

    [[nodiscard]] bool chance(double probability) { return unit() < probability; }

    /// Exponentially distributed with the given mean.
    [[nodiscard]] double exponential(double mean);

private:
    std::mt19937_64 m_engine;
};

} // namespace buckthornspar::common
