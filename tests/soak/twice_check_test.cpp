#define BOOST_TEST_MODULE soak_check
#include "soak/fault_schedule.h"
#include "soak/twice_check.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace buckthornspar::soak;

namespace {

run_event event_of(const std::string& worker, std::uint32_t run, std::int64_t at_ms) {
    return {worker, "5c0e.0.0.0", run, 7, at_ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(twice)

// Guards against a soak that reports a task that is started again after its run has failed.
BOOST_AUTO_TEST_CASE(runs_one_after_the_other_are_allowed) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.end(event_of("i-1", 1, 200), false);
    check.begin(event_of("i-2", 2, 300));
    check.end(event_of("i-2", 2, 400), true);
    check.acknowledge(event_of("i-2", 2, 400));
    BOOST_TEST(check.violations().empty());
    BOOST_TEST(check.acknowledged_ends() == 1U);
}

// Guards against a check that does not see two workers at work on one task.
BOOST_AUTO_TEST_CASE(two_runs_at_once_are_found) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.begin(event_of("i-2", 2, 150));
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against the report of a run that ended with its worker.
BOOST_AUTO_TEST_CASE(runs_of_a_crashed_worker_are_gone) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.crash("i-1");
    check.begin(event_of("i-2", 2, 150));
    BOOST_TEST(check.violations().empty());
}

// Guards against a check that misses a start when the end of the earlier run has been acknowledged
// before it.
BOOST_AUTO_TEST_CASE(start_after_an_acknowledged_end_is_found) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.end(event_of("i-1", 1, 200), true);
    check.acknowledge(event_of("i-1", 1, 200));
    check.begin(event_of("i-2", 2, 300));
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against a check that misses a start when the end is acknowledged after it.
BOOST_AUTO_TEST_CASE(end_acknowledged_after_a_start_is_found) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.end(event_of("i-1", 1, 200), true);
    check.begin(event_of("i-2", 2, 300));
    BOOST_TEST(check.violations().empty());
    check.acknowledge(event_of("i-1", 1, 200));
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against the report of an end that the rule does not count: the lease of its worker lapsed
// before the acknowledgement.
BOOST_AUTO_TEST_CASE(end_before_a_lapsed_lease_does_not_count) {
    twice_check check;
    check.begin(event_of("i-1", 1, 100));
    check.end(event_of("i-1", 1, 200), true);
    check.lapse("i-1");
    check.begin(event_of("i-2", 2, 300));
    check.acknowledge(event_of("i-1", 1, 200));
    BOOST_TEST(check.violations().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(schedule)

// Guards against a seed from a report that draws other faults when it is run again.
BOOST_AUTO_TEST_CASE(a_seed_draws_one_schedule) {
    const auto kinds = parse_fault_kinds("all");
    const auto one = draw_schedule(5, 90'000, kinds, fault_pace::overlapping);
    const auto other = draw_schedule(5, 90'000, kinds, fault_pace::overlapping);
    BOOST_TEST(!one.empty());
    BOOST_TEST(std::equal(one.begin(), one.end(), other.begin(), other.end(),
                          [](const auto& a, const auto& b) { return describe(a) == describe(b); }));
}

// Guards against a fault that lasts beyond the run, after which nothing would be acknowledged.
BOOST_AUTO_TEST_CASE(faults_end_before_the_run) {
    for (const auto pace : {fault_pace::series, fault_pace::overlapping}) {
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            for (const auto& f : draw_schedule(seed, 60'000, parse_fault_kinds("all"), pace)) {
                BOOST_TEST(f.at_ms + f.duration_ms <= 53'000);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
