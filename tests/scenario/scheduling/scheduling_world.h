#pragma once

#include "scenario/runner.h"

namespace buckthornspar::scenario {

/// World of the scheduling scripts: one shard with several schedulers, workers and a store. The
/// source file lists the verbs.
[[nodiscard]] std::unique_ptr<world> make_scheduling_world(const script& s);

/// A short script with random jobs and faults. All faults end long before the script does.
[[nodiscard]] script random_scheduling_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
