#pragma once

#include "core/common/clock.h"
#include "routing_outage.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::bench {

/// Size and load of the cell that the benchmark "routing" simulates.
struct routing_cell {
    std::size_t entries = 9;
    std::size_t runners = 50;
    std::uint32_t slots = 8;
    std::size_t regions = 3;
    double utilisation = 0.9;
    common::duration service_time = std::chrono::milliseconds(500);
    common::duration intra_region_delay = std::chrono::milliseconds(1);
    common::duration inter_region_delay = std::chrono::milliseconds(20);
    common::duration length = std::chrono::seconds(120);
    common::duration warm_up = std::chrono::seconds(10);
};

/// One request of the workload.
struct arrival {
    common::time_point at{};
    std::size_t entry = 0;
    common::duration service_time{0};
};

/// Runner faults of a scenario.
struct runner_faults {
    /// Factor by which the service time of runner 0 is longer.
    double slow_factor = 1;
    /// Runner 0 fails each request immediately.
    bool fails_fast = false;
    runner_outage outage;
};

/// Scenarios: even, skew60, skew95, trickle, idle, rush, waves, slow_runner, fails_fast,
/// third_dies, all_die. Throws bench_settings_error for another name.
[[nodiscard]] std::vector<arrival> make_arrivals(const std::string& scenario,
                                                 const routing_cell& cell, std::uint64_t seed);
[[nodiscard]] runner_faults faults_of(const std::string& scenario, const routing_cell& cell);

/// Waiting times of the same arrivals in a single central queue for all slots, without network
/// delays. This is a reference value only. Runner 0 gets no work when it fails each request;
/// outages are not simulated.
[[nodiscard]] std::vector<double> central_queue_waits(const std::vector<arrival>& arrivals,
                                                      const routing_cell& cell,
                                                      const runner_faults& faults);

/// Returns the q-quantile of the waits, in units of the mean service time. Sorts the waits.
[[nodiscard]] double quantile(std::vector<double>& waits, double q);

} // namespace buckthornspar::bench
