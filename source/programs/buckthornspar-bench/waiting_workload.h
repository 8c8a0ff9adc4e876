#pragma once

#include "core/common/rng.h"
#include "core/placement/placement_types.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace buckthornspar::bench {

/// The fleet of the waiting benchmark.
inline constexpr std::size_t waiting_workers = 50;
[[nodiscard]] placement::resources waiting_worker_size();

[[nodiscard]] common::duration from_seconds(double seconds);

/// Offered load at a time, as a share of what the fleet can run.
struct arrival_pattern {
    std::string_view name;
    double (*load)(double seconds);
    /// The time around which faults happen.
    double peak_s;
};

/// Throws bench_settings_error.
[[nodiscard]] const arrival_pattern& find_pattern(std::string_view name);

/// A task as submitted, and what it really needs.
struct waiting_task {
    placement::task_request request;
    common::duration run{0};
    placement::resources use;
};

/// Ten minutes of tasks. Urgent ones are a tenth, small and short. Declared run times are wrong by
/// a factor of up to three either way.
[[nodiscard]] std::vector<waiting_task> make_waiting_tasks(common::rng& random,
                                                           const arrival_pattern& pattern);

/// Declares run times and sizes that are wrong by a random factor of up to this either way.
void misdeclare(std::vector<waiting_task>& tasks, common::rng& random, double factor);

} // namespace buckthornspar::bench
