#pragma once

#include "core/dispatch/worker_registry.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// Stands for no limit: more copies than fit on any worker.
inline constexpr std::int64_t unlimited_copies = 1'000'000;

/// Number of copies of the demand that fit into the room.
[[nodiscard]] std::int64_t copies_that_fit(const placement::resources& demand,
                                           const placement::resources& room);

/// Sum of the unused shares of processors and memory; the smaller, the fuller the worker.
[[nodiscard]] double unused_share(const placement::resources& left,
                                  const placement::resources& capacity);

using copies_by_worker = std::vector<std::pair<worker_slot, std::int64_t>>;

/// Allocates the given number of copies, beginning with the workers that hold most.
[[nodiscard]] copies_by_worker allocate_copies(copies_by_worker fitting, std::int64_t count);

} // namespace buckthornspar::dispatch
