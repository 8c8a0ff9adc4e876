#pragma once

#include "scenario/runner.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Runs the owner of a service on an emulated platform. Setup: workers, cores; for the steps see
/// the table of verbs in the source.
[[nodiscard]] std::unique_ptr<world> make_dispatch_world(const script& s);

[[nodiscard]] script random_dispatch_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
