#include "core/learning/worker_speed.h"

#include <algorithm>
#include <cmath>

namespace buckthornspar::learning {

namespace {

// Smaller differences of speed are not worth a longer search for a worker.
constexpr double dead_band = 0.12;
// Standard errors by which a worker counts as deviating. Without any real difference 0.3 % do.
constexpr double deviation_errors = 3.0;
constexpr std::size_t deviation_samples = 4;
// Runs on a worker share the error of its observed speed, so that chance in a few early samples
// would count many times.
constexpr std::size_t observed_samples = 8;
// With this share of deviating workers, and at least four, the fleet is uneven for certain, so
// that less evidence is needed of each worker.
constexpr std::size_t uneven_divisor = 5;
constexpr std::size_t min_deviating = 4;
constexpr double uneven_fleet_errors = 2.0;
constexpr std::size_t uneven_fleet_samples = 3;
// In an even fleet of hundreds of workers, each of them looked at thousands of times.
constexpr double even_fleet_errors = 5.0;
constexpr std::size_t even_fleet_samples = 7;
// A believed speed is kept until the evidence falls below this part of what was needed.
constexpr double hysteresis = 0.5;
// An estimate of fewer samples is closer to the common speed. With this number it is taken in full:
// workers are compared with each other, so that a lasting pull towards the common speed would add
// up from one comparison to the next.
constexpr double full_samples = 6.0;
// A few tasks take many times as long as the others; they must not widen the noise.
constexpr double max_distance = 1.0;
constexpr double max_noise_samples = 256.0;
constexpr double min_noise = 0.05;
// Standard error of a median, in mean absolute deviations of the samples divided by the square root
// of their number: 1.2533 for the deviation and 1.2533 for the median, both of a normal
// distribution.
constexpr double median_error_factor = 1.5708;

} // namespace

worker_speed::state& worker_speed::at(worker_index worker) {
    if (worker >= m_workers.size()) {
        m_workers.resize(std::size_t{worker} + 1);
    }
    return m_workers[worker];
}

void worker_speed::add(worker_index worker, double log_speed) {
    auto& entry = at(worker);
    if (entry.known) {
        return;
    }
    if (entry.samples.size() >= deviation_samples) {
        const auto distance = std::min(max_distance, std::abs(log_speed - entry.samples.median()));
        m_noise_samples = std::min(m_noise_samples + 1.0, max_noise_samples);
        m_noise = std::max(min_noise, m_noise + (distance - m_noise) / m_noise_samples);
    }
    entry.samples.add(log_speed);
    evaluate(entry);
}

void worker_speed::set_known(worker_index worker, double log_speed) {
    forget(worker);
    auto& entry = at(worker);
    entry.known = true;
    entry.estimated = static_cast<float>(log_speed);
    believe(entry, log_speed);
}

void worker_speed::forget(worker_index worker) {
    if (worker >= m_workers.size()) {
        return;
    }
    auto& former = m_workers[worker];
    believe(former, 0.0);
    m_measured -= former.measured ? 1U : 0U;
    m_deviating -= former.deviates ? 1U : 0U;
    former = {};
}

std::optional<double> worker_speed::observed_log_speed(worker_index worker) const {
    if (worker >= m_workers.size()) {
        return std::nullopt;
    }
    const auto& entry = m_workers[worker];
    if (entry.known) {
        return entry.believed;
    }
    return entry.samples.size() < observed_samples ? std::nullopt
                                                   : std::optional(entry.samples.median());
}

bool worker_speed::is_fleet_uneven() const {
    return m_deviating >= min_deviating && m_deviating * uneven_divisor >= m_measured;
}

void worker_speed::evaluate(state& worker) {
    const auto count = worker.samples.size();
    const auto samples = static_cast<double>(count);
    const auto median = worker.samples.median();
    const auto errors = std::abs(median) * std::sqrt(samples) / (median_error_factor * m_noise);
    if (count >= deviation_samples) {
        const bool deviates = errors >= deviation_errors && std::abs(median) >= dead_band;
        m_measured += worker.measured ? 0U : 1U;
        m_deviating += deviates ? 1U : 0U;
        m_deviating -= worker.deviates ? 1U : 0U;
        worker.measured = true;
        worker.deviates = deviates;
    }
    const bool uneven = is_fleet_uneven();
    const auto needed_errors = uneven ? uneven_fleet_errors : even_fleet_errors;
    const auto needed_samples = uneven ? uneven_fleet_samples : even_fleet_samples;
    const auto factor = worker.believed == 0.0F ? 1.0 : hysteresis;
    const bool believed = count >= needed_samples && errors >= factor * needed_errors &&
                          std::abs(median) >= factor * dead_band;
    worker.estimated = static_cast<float>(median * std::min(1.0, samples / full_samples));
    believe(worker, believed ? worker.estimated : 0.0);
}

void worker_speed::believe(state& worker, double log_speed) {
    m_uneven -= worker.believed == 0.0F ? 0U : 1U;
    worker.believed = static_cast<float>(log_speed);
    m_uneven += worker.believed == 0.0F ? 0U : 1U;
}

} // namespace buckthornspar::learning
