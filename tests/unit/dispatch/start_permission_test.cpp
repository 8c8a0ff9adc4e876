#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

dispatcher_settings settings_with_bounds() {
    dispatcher_settings settings;
    settings.cancel_bound = 4000ms;
    settings.drain_bound = 2500ms;
    return settings;
}

struct permission_fixture : dispatch_fixture {
    permission_fixture() : dispatch_fixture(settings_with_bounds()) {
        engine.on_queues({plain_queue()});
        become_owner({"w1", "w2", "w3"});
    }

    /// Time after the last known cancellation at which the worker still begins the start.
    [[nodiscard]] std::int64_t latest_start_after_known_ms(const start_order& order,
                                                           common::duration age) const {
        return order.valid_until_ms - clock_ms() + common::to_milliseconds(age);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(start_permission_suite, permission_fixture)

// Pattern: saturated owner. Guards against a stopped task of a cancelled job that is started again
// by an owner whose watch of the cancellations is behind (UNASKED).
BOOST_AUTO_TEST_CASE(nothing_starts_while_recent_cancellations_may_be_unknown) {
    engine.on_job(now, job("a", 1, 1000), {}, 11);
    advance(100ms);
    const auto first = take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    cancels_age = 3900ms;
    end_run(first[0].worker, first[0].run, run_end::stopped);
    advance(600ms);
    BOOST_TEST(take_starts().empty());
    cancels_age = 100ms;
    advance(600ms);
    BOOST_TEST(take_starts().size() == 1U);
}

// Guards against a start that is decided in time and begun after the bound: the order waits at the
// owner's link or at the worker (UNASKED).
BOOST_AUTO_TEST_CASE(a_worker_refuses_a_start_after_the_bound_of_the_owners_information) {
    cancels_age = 3000ms;
    engine.on_job(now, job("a", 1, 1000), {}, 11);
    accept_starts = false;
    advance(100ms);
    const auto starts_now = take_starts();
    BOOST_REQUIRE(starts_now.size() == 1U);
    const auto latest = latest_start_after_known_ms(starts_now[0], cancels_age);
    BOOST_TEST(latest <= 4000);
    // With current information the usual validity applies.
    cancels_age = 0ms;
    engine.on_job(now, job("b", 1, 1000), {}, 12);
    advance(100ms);
    const auto next = take_starts();
    BOOST_REQUIRE(!next.empty());
    BOOST_TEST(next.back().valid_until_ms - clock_ms() > 1200);
}

// Guards against a start without a response that is repeated while recent cancellations may be
// unknown (UNASKED).
BOOST_AUTO_TEST_CASE(a_start_is_not_repeated_with_outdated_information) {
    accept_starts = false;
    engine.on_job(now, job("a", 1, 1000), {}, 11);
    advance(50ms);
    const auto first = take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    cancels_age = 3900ms;
    engine.on_changes_known(now - cancels_age, now);
    engine.on_start_result(now, first[0], {order_status::no_answer, 0});
    run_until_idle();
    BOOST_TEST(take_starts().empty());
}

// Guards against a start without a response that is repeated on a worker that drains meanwhile
// (DRAIN).
BOOST_AUTO_TEST_CASE(a_start_is_not_repeated_on_a_draining_worker) {
    accept_starts = false;
    engine.on_job(now, job("a", 1, 1000), {}, 11);
    advance(50ms);
    const auto first = take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    auto draining = report(first[0].worker);
    draining.draining = true;
    engine.on_worker(now, draining);
    engine.on_start_result(now, first[0], {order_status::no_answer, 0});
    run_until_idle();
    BOOST_TEST(take_starts().empty());
}

// Guards against starts on a worker whose report that it is draining is not known yet (DRAIN).
BOOST_AUTO_TEST_CASE(nothing_starts_while_recent_drains_may_be_unknown) {
    drains_age = 2300ms;
    engine.on_job(now, job("a", 1, 1000), {}, 11);
    advance(300ms);
    BOOST_TEST(take_starts().empty());
    drains_age = 300ms;
    advance(300ms);
    BOOST_TEST(take_starts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
