#include "core/server/heartbeat_plan.h"

namespace buckthornspar::server {

namespace {

using membership::instance_role;

// Traffic between regions is billed by volume, and what it tells is also learnt from the store or
// from the first call.
constexpr unsigned periods_between_regions = 10;

} // namespace

std::optional<unsigned> heartbeat_interval(const member_identity& from, const member_identity& to) {
    const bool same_region = from.region == to.region;
    if (from.role == instance_role::entry && to.role == instance_role::scheduler) {
        return same_region ? 1 : periods_between_regions;
    }
    const bool leads = from.role == to.role && from.id < to.id;
    if (leads && from.role == instance_role::scheduler && same_region) {
        return 1;
    }
    if (leads && from.role == instance_role::config) {
        return same_region ? 1 : periods_between_regions;
    }
    return std::nullopt;
}

} // namespace buckthornspar::server
