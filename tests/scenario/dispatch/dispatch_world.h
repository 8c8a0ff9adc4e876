#pragma once

#include "scenario/runner.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Runs the owner of a service on an emulated platform. Setup: workers, cores; for the steps see
/// the table of verbs in the source.
[[nodiscard]] std::unique_ptr<world> make_dispatch_world(const script& s);

[[nodiscard]] script random_dispatch_script(std::uint64_t seed);
/// As random_dispatch_script(), with partitions of owners and less than half of the workers.
[[nodiscard]] script random_partition_script(std::uint64_t seed);
/// As random_dispatch_script(), with workers that are added while the owner is cut off from the
/// store with a part of the others.
[[nodiscard]] script random_growth_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
