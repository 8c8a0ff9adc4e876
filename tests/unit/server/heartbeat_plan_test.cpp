#include "core/server/heartbeat_plan.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::server;
using buckthornspar::membership::instance_role;

namespace {

member_identity of(const char* id, instance_role role, const char* region) {
    return {id, role, region};
}

} // namespace

BOOST_AUTO_TEST_SUITE(heartbeat_plan_test)

// Guards against traffic that grows with the square of the number of processes, most of it between
// regions.
BOOST_AUTO_TEST_CASE(entries_do_not_exchange_heartbeats) {
    const auto a = of("e1", instance_role::entry, "r1");
    const auto b = of("e2", instance_role::entry, "r2");
    BOOST_TEST(!heartbeat_interval(a, b).has_value());
    BOOST_TEST(!heartbeat_interval(b, a).has_value());
}

// Guards against schedulers of a region that do not detect each other's failure.
BOOST_AUTO_TEST_CASE(only_lower_id_sends_between_schedulers_of_a_region) {
    const auto a = of("s1", instance_role::scheduler, "r1");
    const auto b = of("s2", instance_role::scheduler, "r1");
    const auto far = of("s3", instance_role::scheduler, "r2");
    BOOST_TEST(heartbeat_interval(a, b).value_or(0) == 1U);
    BOOST_TEST(!heartbeat_interval(b, a).has_value());
    BOOST_TEST(!heartbeat_interval(a, far).has_value());
}

// Guards against unnecessary billed traffic between regions when the system is idle.
BOOST_AUTO_TEST_CASE(other_regions_get_fewer_heartbeats) {
    const auto entry = of("e1", instance_role::entry, "r1");
    const auto near = of("s1", instance_role::scheduler, "r1");
    const auto far = of("s2", instance_role::scheduler, "r2");
    BOOST_TEST(heartbeat_interval(entry, near).value_or(0) == 1U);
    BOOST_TEST(heartbeat_interval(entry, far).value_or(0) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
