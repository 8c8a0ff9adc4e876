#include "core/routing/runner_table.h"
#include "unit/routing/builders.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start = time_point{} + std::chrono::seconds(100);

membership::instance_snapshot list_of(int runners) {
    membership::instance_snapshot list;
    for (int i = 0; i < runners; ++i) {
        list.instances.push_back(test::make_runner("r" + std::to_string(i), "a", 4));
    }
    return list;
}

void answer(runner_table& table, std::size_t index, bool failed, time_point now) {
    table.on_sent(index, now);
    table.on_run_completed(index);
    table.on_answer(index, failed, 1ms, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(runner_table_test)

// Guards against a runner that attracts ever more requests because it fails them quickly.
BOOST_AUTO_TEST_CASE(failing_runner_is_quarantined) {
    runner_table table("a");
    (void)table.update("s", list_of(3), start);
    for (int i = 0; i < 10; ++i) {
        answer(table, 0, true, start);
        answer(table, 1, false, start);
        answer(table, 2, false, start);
    }
    BOOST_TEST(!table.is_available(0, start + 900ms));
    BOOST_TEST(table.is_available(1, start));
    // After the quarantine, one request at a time.
    const time_point later = start + 40s;
    BOOST_TEST(table.is_usable(0, later));
    table.on_sent(0, later);
    BOOST_TEST(!table.is_usable(0, later));
    table.on_run_completed(0);
    for (int i = 0; i < 10; ++i) {
        answer(table, 0, false, later);
    }
    table.on_sent(0, later);
    BOOST_TEST(table.is_usable(0, later));
}

// Guards against a quarantine of all runners when the requests themselves cause the failures.
BOOST_AUTO_TEST_CASE(failures_of_all_runners_quarantine_none) {
    runner_table table("a");
    (void)table.update("s", list_of(3), start);
    for (int i = 0; i < 20; ++i) {
        for (std::size_t index = 0; index < 3; ++index) {
            answer(table, index, true, start);
        }
    }
    for (std::size_t index = 0; index < 3; ++index) {
        BOOST_TEST(table.is_available(index, start));
    }
}

// Guards against new requests to runners that are leaving or no longer listed.
BOOST_AUTO_TEST_CASE(leaving_and_unlisted_runners_get_no_requests) {
    runner_table table("a");
    auto list = list_of(2);
    (void)table.update("s", list, start);
    list.instances[0].state = membership::instance_state::leaving;
    list.instances.pop_back();
    (void)table.update("s", list, start + 1s);
    BOOST_TEST(!table.is_available(0, start + 1s));
    BOOST_TEST(!table.is_available(1, start + 1s));
    // A stale instance list must not clear the leaving flag.
    (void)table.update("s", list_of(2), start + 2s);
    BOOST_TEST(!table.is_available(0, start + 2s));
    BOOST_TEST(table.is_available(1, start + 2s));
}

// Guards against a runner that refuses everything but reports free slots.
BOOST_AUTO_TEST_CASE(consecutive_refusals_lengthen_the_backoff) {
    runner_table table("a");
    (void)table.update("s", list_of(1), start);
    time_point now = start;
    for (int i = 0; i < 12; ++i) {
        table.on_response(0, {4, 4, "", std::nullopt}, now);
        table.on_full_refusal(0, now);
        BOOST_TEST(!table.is_usable(0, now));
        now = table.at(0).backoff_until;
    }
    table.on_response(0, {4, 4, "", std::nullopt}, now);
    table.on_full_refusal(0, now);
    BOOST_TEST((table.at(0).backoff_until - now >= 500ms));
}

// Guards against a long backoff after a few refusals of a distant runner, whose refusals are
// already outdated by the network delay, and against a short one for a runner that refuses
// everything.
BOOST_AUTO_TEST_CASE(distant_runner_is_backed_off_only_after_many_refusals) {
    constexpr int refusals = 32;
    runner_table table("b");
    (void)table.update("s", list_of(1), start);
    table.on_round_trip(0, 40ms);
    time_point now = start;
    for (int i = 0; i < refusals; ++i) {
        table.on_response(0, {4, 4, "", std::nullopt}, now);
        table.on_full_refusal(0, now);
        const duration backoff_time = table.at(0).backoff_until - now;
        BOOST_TEST((i >= 8 || backoff_time <= 1ms));
        BOOST_TEST((i < refusals - 1 || backoff_time >= 500ms));
        now = table.at(0).backoff_until;
    }
}

BOOST_AUTO_TEST_SUITE_END()
