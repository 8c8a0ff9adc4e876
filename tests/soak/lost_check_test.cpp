#include "soak/lost_check.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::soak;

namespace {

run_event member(int index, const std::string& worker, std::uint32_t run, std::int64_t at_ms) {
    return {worker, "5c0e.0.0." + std::to_string(index), run, 7, at_ms};
}

std::size_t room_for_four(const std::string& /*job*/) {
    return 4;
}

std::size_t no_room(const std::string& /*job*/) {
    return 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lost)

// Guards against a check that takes lapsed, broken or lonely runs, or several ends of one run of a
// gang, for failures.
BOOST_AUTO_TEST_CASE(job_that_is_failed_without_enough_failures_is_found) {
    lost_check check;
    check.accept("5c0e", 2, 50);
    check.begin(member(0, "i-1", 1, 100));
    check.begin(member(1, "i-2", 1, 100));
    check.end(member(0, "i-1", 1, 200), "failed");
    check.end(member(1, "i-2", 1, 200), "failed");
    std::uint32_t run = 1;
    for (const auto* const how : {"lapsed", "broken", "alone", "failed"}) {
        check.begin(member(0, "i-1", ++run, 300));
        check.end(member(0, "i-1", run, 400), how);
    }
    check.show("5c0e", "failed", 500);
    check.show("5c0e", "failed", 600);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against the report of a job that has failed as often as it may.
BOOST_AUTO_TEST_CASE(three_failed_runs_are_a_cause) {
    lost_check check;
    check.accept("5c0e", 2, 50);
    for (std::uint32_t run = 1; run <= 3; ++run) {
        const auto index = static_cast<int>(run % 2);
        check.begin(member(index, "i-1", run, 100));
        check.end(member(index, "i-1", run, 200), "failed");
    }
    check.show("5c0e", "failed", 500);
    BOOST_TEST(check.violations().empty());
}

// Guards against a check that takes one crash, or crashes under two tasks, for a cause, and against
// one that reports two crashes under one task.
BOOST_AUTO_TEST_CASE(only_two_crashes_under_one_task_are_a_cause) {
    for (const int second_task : {0, 1}) {
        lost_check check;
        check.accept("5c0e", 2, 50);
        check.begin(member(0, "i-1", 1, 100));
        check.crash("i-1");
        check.begin(member(second_task, "i-2", 2, 200));
        check.crash("i-2");
        check.show("5c0e", "failed", 300);
        BOOST_TEST(check.violations().size() == static_cast<std::size_t>(second_task));
    }
}

// Guards against a check that misses an accepted job that is unknown later, and against the report
// of one that was accepted just now or was never accepted.
BOOST_AUTO_TEST_CASE(unknown_job_is_found) {
    lost_check check;
    check.show_unknown("5c0f", 90'000);
    check.accept("5c0e", 1, 1000);
    check.show_unknown("5c0e", 4000);
    BOOST_TEST(check.violations().empty());
    check.show_unknown("5c0e", 4001);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against a check that misses a job that waits though it has room, and against the report of
// a wait that was interrupted by a run or by a full service.
BOOST_AUTO_TEST_CASE(waiting_job_is_found) {
    lost_check check;
    check.accept("5c0e", 2, 0);
    check.watch(room_for_four, 0);
    check.watch(no_room, 2000);
    check.watch(room_for_four, 2500);
    check.begin(member(0, "i-1", 1, 5000));
    check.watch(room_for_four, 5500);
    check.end(member(0, "i-1", 1, 6000), "lapsed");
    check.watch(room_for_four, 6000);
    check.watch(room_for_four, 8999);
    BOOST_TEST(check.violations().empty());
    check.watch(room_for_four, 9000);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against a check that asks for room once instead of twice over, or that reports a job that
// is done; an end that the lease of its worker has voided leaves the job to run again.
BOOST_AUTO_TEST_CASE(full_service_and_done_job_are_not_reported) {
    lost_check check;
    check.accept("5c0e", 3, 0);
    check.watch(room_for_four, 0);
    check.watch(room_for_four, 9000);
    check.accept("5c0f", 1, 0);
    const run_event run{"i-1", "5c0f.0.0.0", 1, 7, 100};
    check.begin(run);
    check.end(run, "done");
    check.watch(room_for_four, 10'000);
    check.watch(room_for_four, 19'000);
    BOOST_TEST(check.violations().empty());
    check.lapse("i-1");
    check.watch(room_for_four, 20'000);
    check.watch(room_for_four, 23'000);
    BOOST_TEST(check.violations().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
