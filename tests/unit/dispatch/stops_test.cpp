#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

/// A running job that is cancelled.
struct stops_fixture : dispatch_fixture {
    stops_fixture() {
        engine.on_queues({plain_queue()});
        become_owner({"w1"});
        engine.on_job(now, job("a", 1, 1000), {}, 11);
        run_until_idle();
    }

    void cancel() {
        engine.on_cancel(now, "a");
        run_until_idle();
        BOOST_REQUIRE(stops.size() == 1U);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stops_suite, stops_fixture)

// Guards against tasks of cancelled jobs that run on because a stop for which there was no
// connection is sent again as late as one that may have arrived (UNASKED).
BOOST_AUTO_TEST_CASE(a_stop_that_was_not_sent_is_sent_again_soon) {
    stop_status = order_status::not_sent;
    cancel();
    stop_status = order_status::accepted;
    advance(200ms, 10ms);
    BOOST_TEST(stops.size() == 2U);
    BOOST_TEST(!is_running("w1", stops[0].run));
}

// Guards against copies of a stop that wait behind it for a connection and delay other stops.
BOOST_AUTO_TEST_CASE(a_stop_is_not_repeated_before_its_call_has_ended) {
    stop_status.reset();
    cancel();
    advance(3s);
    BOOST_TEST(stops.size() == 1U);
    const auto order = stops[0];
    stop_status = order_status::accepted;
    engine.on_stop_result(now, order, {order_status::no_answer, 0});
    advance(100ms, 10ms);
    BOOST_TEST(stops.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
