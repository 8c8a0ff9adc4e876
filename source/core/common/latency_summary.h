#pragma once

#include <cstdint>
#include <memory>

namespace buckthornspar::common {

/// Streaming summary of latency or size samples: count, mean, maximum and estimated quantiles, in
/// the unit of the samples. Memory use does not depend on the number of samples.
class latency_summary {
public:
    latency_summary();
    ~latency_summary();
    latency_summary(latency_summary&&) noexcept;
    latency_summary& operator=(latency_summary&&) noexcept;
    latency_summary(const latency_summary&) = delete;
    latency_summary& operator=(const latency_summary&) = delete;

    void add(double sample);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double mean() const;
    [[nodiscard]] double max() const;
    [[nodiscard]] double p50() const;
    [[nodiscard]] double p99() const;
    [[nodiscard]] double p999() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::common
