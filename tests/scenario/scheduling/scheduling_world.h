#pragma once

#include "scenario/runner.h"

namespace buckthornspar::scenario {

/// World of the scheduling scripts: one shard with several schedulers, workers and the store. The
/// verbs are in the source file.
[[nodiscard]] std::unique_ptr<world> make_scheduling_world(const script& s);

/// A short script with random jobs and faults; all faults are over well before its end.
[[nodiscard]] script random_scheduling_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
