#include "core/common/clock.h"

namespace buckthornspar::common {

time_point system_clock::now() const {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

std::int64_t wall_clock_ms() {
    const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

} // namespace buckthornspar::common
