#pragma once

#include "scenario/script.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Generates patches and faults at random times for about 9 s. Then all faults end, and all
/// processes must have the newest version 4 s later.
[[nodiscard]] script make_random_config_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
