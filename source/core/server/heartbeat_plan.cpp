#include "core/server/heartbeat_plan.h"

namespace buckthornspar::server {

namespace {

using membership::instance_role;

// Traffic between regions is billed by volume, and the same information is also available from the
// store or from the reply to the first call.
constexpr unsigned cross_region_interval_periods = 10;

} // namespace

std::optional<unsigned> heartbeat_interval(const member_identity& from, const member_identity& to) {
    const bool same_region = from.region == to.region;
    if (from.role == instance_role::entry && to.role == instance_role::scheduler) {
        return same_region ? 1 : cross_region_interval_periods;
    }
    const bool is_sender = from.role == to.role && from.id < to.id;
    if (is_sender && from.role == instance_role::scheduler && same_region) {
        return 1;
    }
    if (is_sender && from.role == instance_role::config) {
        return same_region ? 1 : cross_region_interval_periods;
    }
    return std::nullopt;
}

} // namespace buckthornspar::server
