#pragma once

#include "core/common/rng.h"
#include "core/placement/placement_types.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace buckthornspar::bench {

/// Number of workers in the "waiting" benchmark.
inline constexpr std::size_t waiting_workers = 50;
[[nodiscard]] placement::resources waiting_worker_size();

[[nodiscard]] common::duration from_seconds(double seconds);

/// Offered load over time, as a fraction of the fleet's capacity.
struct arrival_pattern {
    std::string_view name;
    double (*load)(double seconds);
    /// The time around which faults happen.
    double peak_s;
};

/// Throws bench_settings_error for an unknown name.
[[nodiscard]] const arrival_pattern& find_pattern(std::string_view name);

/// A task as submitted, with its actual run time and resource use.
struct waiting_task {
    placement::task_request request;
    common::duration run_time{0};
    placement::resources actual_demand;
};

/// Generates ten minutes of tasks. One tenth are urgent; these are small and short. Declared run
/// times differ from the actual ones by a random factor of up to three in either direction.
[[nodiscard]] std::vector<waiting_task> make_waiting_tasks(common::rng& random,
                                                           const arrival_pattern& pattern);

/// Replaces the declared run times and demands by values that differ from the actual ones by a
/// random factor of up to `factor` in either direction.
void randomize_declarations(std::vector<waiting_task>& tasks, common::rng& random, double factor);

} // namespace buckthornspar::bench
