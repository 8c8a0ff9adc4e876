#include "core/common/latency_summary.h"

// False positive of g++ 12: the accumulator sets the probability before it is read.
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

// extended_p_square_quantile.hpp uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>

namespace buckthornspar::common {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 5> tracked_quantiles{0.5, 0.9, 0.99, 0.999, 0.9999};

using accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square_quantile>>;

} // namespace

struct latency_summary::state {
    accumulator samples{acc::extended_p_square_probabilities = tracked_quantiles};

    [[nodiscard]] double quantile(double probability) const {
        if (acc::count(samples) == 0) {
            return 0.0;
        }
        return acc::quantile(samples, acc::quantile_probability = probability);
    }
};

latency_summary::latency_summary() : m_state(std::make_unique<state>()) {}
latency_summary::~latency_summary() = default;
latency_summary::latency_summary(latency_summary&&) noexcept = default;
latency_summary& latency_summary::operator=(latency_summary&&) noexcept = default;

void latency_summary::add(double sample) {
    m_state->samples(sample);
}

std::uint64_t latency_summary::count() const {
    return acc::count(m_state->samples);
}

double latency_summary::mean() const {
    return count() == 0 ? 0.0 : acc::mean(m_state->samples);
}

double latency_summary::max() const {
    return count() == 0 ? 0.0 : acc::max(m_state->samples);
}

double latency_summary::p50() const {
    return m_state->quantile(0.5);
}

double latency_summary::p99() const {
    return m_state->quantile(0.99);
}

double latency_summary::p999() const {
    return m_state->quantile(0.999);
}

} // namespace buckthornspar::common
