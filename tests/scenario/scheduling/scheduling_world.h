#pragma once

#include "scenario/runner.h"

namespace buckthornspar::scenario {

/// World of the scheduling scripts: one shard with several schedulers, workers and a store. The
/// source file lists the verbs.
[[nodiscard]] std::unique_ptr<world> make_scheduling_world(const script& s);

/// A short script with random jobs and faults. All faults end long before the script does.
[[nodiscard]] script random_scheduling_script(std::uint64_t seed);

/// A script in which two groups of schedulers and workers are separated several times, so that a
/// former owner and its successor act at the same time, each with a part of the workers.
[[nodiscard]] script random_partition_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
