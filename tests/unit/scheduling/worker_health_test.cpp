#include "core/scheduling/worker_health.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::scheduling;
using buckthornspar::common::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

time_point at(milliseconds since_start) {
    return time_point(since_start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_health_test)

// Guards against a wake-up that is missed when a pause is prolonged or a quarantine begins.
BOOST_AUTO_TEST_CASE(next_change_follows_the_newest_exclusions) {
    worker_health health({});
    const auto pause = worker_health_settings{}.pause;
    const auto quarantine = worker_health_settings{}.min_quarantine;
    BOOST_TEST(!health.next_change(at(seconds(0))));
    (void)health.record_failure("w1", "a", at(milliseconds(0)));
    (void)health.record_failure("w1", "b", at(milliseconds(100)));
    BOOST_TEST((health.next_change(at(milliseconds(100))) == at(milliseconds(100)) + pause));
    BOOST_TEST(!health.next_change(at(milliseconds(100)) + pause));
    const auto last = at(seconds(2));
    BOOST_TEST((health.record_failure("w1", "c", last) == health_verdict::quarantine_worker));
    BOOST_TEST((health.next_change(last) == last + pause));
    BOOST_TEST((health.next_change(last + pause) == last + quarantine));
    BOOST_TEST((health.excluded_until("w1") == last + quarantine));
}

BOOST_AUTO_TEST_SUITE_END()
