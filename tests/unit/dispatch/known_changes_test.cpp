#include "core/dispatch/known_changes.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr common::time_point read_at{100s};

} // namespace

BOOST_AUTO_TEST_SUITE(known_changes_suite)

// Guards against starts of cancelled jobs (UNASKED) because one unanswered watch is taken for an
// outage of the store: another call was answered less than 1.5 s ago.
BOOST_AUTO_TEST_CASE(one_unanswered_watch_does_not_advance_the_time) {
    BOOST_TEST((changes_known_until({read_at, true}, {1400ms, 0ms}) == read_at));
    BOOST_TEST((changes_known_until({read_at, false}, {5s, 0ms}) == read_at));
}

// Guards against an owner that stops placing during an outage, in which nothing can be cancelled.
BOOST_AUTO_TEST_CASE(the_time_advances_during_an_outage) {
    BOOST_TEST((changes_known_until({read_at, true}, {2s, 0ms}) == read_at + 2s));
    BOOST_TEST((changes_known_until({read_at, true}, {9s, 0ms}) == read_at + 9s));
}

// Guards against an outage that makes a late watch seem current: cancellations were accepted
// between its last answered call and the outage (seed 358 of the scenarios).
BOOST_AUTO_TEST_CASE(a_watch_that_was_late_before_an_outage_stays_late) {
    const auto now = read_at + 10s;
    const auto silence = 4s;
    BOOST_TEST((now - changes_known_until({read_at, true}, {silence, 0ms}) == 6s));
}

// Guards against answers that wait behind other events and are taken for an outage.
BOOST_AUTO_TEST_CASE(a_late_event_loop_does_not_show_an_outage) {
    BOOST_TEST((changes_known_until({read_at, true}, {5s, 300ms}) == read_at));
}

BOOST_AUTO_TEST_SUITE_END()
