#pragma once

#include "core/dispatch/worker_registry.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// More copies than any worker holds.
inline constexpr std::int64_t unlimited_copies = 1'000'000;

/// Copies of the demand that fit into the room together.
[[nodiscard]] std::int64_t copies_that_fit(const placement::resources& demand,
                                           const placement::resources& room);

/// Shares of processors and memory that are left of a capacity, added; the smaller the fuller.
[[nodiscard]] double unused_share(const placement::resources& left,
                                  const placement::resources& capacity);

using copies_by_worker = std::vector<std::pair<worker_slot, std::int64_t>>;

/// Takes that many copies, from the workers that hold most first.
[[nodiscard]] copies_by_worker allocate_copies(copies_by_worker fitting, std::int64_t count);

} // namespace buckthornspar::dispatch
