#include "core/service/response_timeout.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

struct timeout_fixture {
    // Calls to 20 workers in each tenth of a second, of which `silent` do not answer.
    void call(common::duration length, common::duration took, unsigned silent) {
        for (const auto end = now + length; now < end; now += 100ms) {
            for (unsigned worker = 0; worker < 20; ++worker) {
                if (worker < silent || took > timeout.value()) {
                    timeout.record_timeout(now);
                } else {
                    timeout.record_response(now, took);
                }
            }
        }
    }

    response_timeout timeout;
    common::time_point now{10s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(response_timeout_suite, timeout_fixture)

// Pattern: full link. Guards against breaking off and repeating every call while responses take
// longer than usual.
BOOST_AUTO_TEST_CASE(slow_responses_of_all_workers_raise_the_limit) {
    call(1s, 30ms, 0);
    BOOST_TEST((timeout.value() == response_timeout::min));
    call(1s, 200ms, 0);
    BOOST_TEST((timeout.value() >= 700ms));
    // All calls exceed the first limit at once.
    response_timeout fresh;
    timeout = fresh;
    call(3s, 600ms, 0);
    BOOST_TEST((timeout.value() == response_timeout::max));
    call(20s, 30ms, 0);
    BOOST_TEST((timeout.value() < 260ms));
}

// Pattern: workers that leave orders unanswered. Guards against noticing them late.
BOOST_AUTO_TEST_CASE(silent_workers_among_others_leave_the_limit_unchanged) {
    call(5s, 30ms, 12);
    BOOST_TEST((timeout.value() == response_timeout::min));
}

BOOST_AUTO_TEST_SUITE_END()
