#pragma once

#include "scenario/script.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Generates changes of demand, quota, owners and links at random times for 20 s. Then the links
/// are healed, and unused quota must reach the shards whose tasks wait.
[[nodiscard]] script make_random_quota_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
