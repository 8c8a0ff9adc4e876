#pragma once

#include "scenario/script.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Operators and faults at random moments for some seconds, then everything is healed, and all
/// processes must have the newest version 4 s later.
[[nodiscard]] script make_random_config_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
