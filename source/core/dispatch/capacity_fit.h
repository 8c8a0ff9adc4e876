#pragma once

#include "core/dispatch/worker_registry.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// Stands for no limit: more tasks than fit on any worker.
inline constexpr std::int64_t unlimited_tasks = 1'000'000;

/// Number of tasks with the given demand that fit into the free capacity.
[[nodiscard]] std::int64_t count_fitting_tasks(const placement::resources& demand,
                                               const placement::resources& free);

/// Sum of the unused shares of processors and memory; the smaller, the fuller the worker.
[[nodiscard]] double unused_share(const placement::resources& left,
                                  const placement::resources& capacity);

using tasks_by_worker = std::vector<std::pair<worker_slot, std::int64_t>>;

/// Distributes the given number of tasks over the workers, beginning with those that hold most.
[[nodiscard]] tasks_by_worker allocate_tasks(tasks_by_worker fitting, std::int64_t count);

/// Distributes the given number of tasks over all workers, as evenly as their room permits.
[[nodiscard]] tasks_by_worker spread_tasks(tasks_by_worker fitting, std::int64_t count);

} // namespace buckthornspar::dispatch
