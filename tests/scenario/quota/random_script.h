#pragma once

#include "scenario/script.h"

#include <cstdint>

namespace buckthornspar::scenario {

/// Changes of demand, quota, owners and links at random moments for 20 s. Then the links are
/// healed, and what is unused must reach the shards whose tasks wait.
[[nodiscard]] script make_random_quota_script(std::uint64_t seed);

} // namespace buckthornspar::scenario
