#include "core/scheduling/worker_health.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace buckthornspar;
using namespace buckthornspar::scheduling;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(worker_health_rules)

namespace {

common::time_point at(common::duration since_start) {
    return common::time_point{since_start};
}

std::string job(int i) {
    return "job" + std::to_string(i);
}

} // namespace

// Guards against a faulty worker that is never quarantined because each job that fails on it
// succeeds elsewhere and ends before the next one fails.
BOOST_AUTO_TEST_CASE(failures_of_ended_jobs_still_count_against_the_worker) {
    worker_health health{worker_health_settings{}};
    auto verdict = health_verdict::none;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((verdict == health_verdict::none));
        verdict = health.record_failure("bad", job(i), at(i * 1s));
        health.record_success("good", job(i));
        health.forget_job(job(i));
    }
    BOOST_TEST((verdict == health_verdict::quarantine_worker));
}

// Guards against quarantining a worker for ended jobs that failed everywhere.
BOOST_AUTO_TEST_CASE(ended_jobs_that_failed_everywhere_do_not_count_against_a_worker) {
    worker_health health{worker_health_settings{}};
    for (int i = 0; i < 5; ++i) {
        for (const std::string worker : {"a", "b", "c"}) {
            BOOST_TEST((health.record_failure(worker, job(i), at(i * 1s)) !=
                        health_verdict::quarantine_worker));
        }
        health.forget_job(job(i));
    }
}

// Guards against counting failures from before a success on the worker.
BOOST_AUTO_TEST_CASE(a_success_clears_the_failures_of_ended_jobs) {
    worker_health health{worker_health_settings{}};
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST((health.record_failure("worker", job(i), at(i * 1s)) == health_verdict::none));
        health.record_success("other", job(i));
        health.forget_job(job(i));
        health.record_success("worker", "other job");
    }
}

// Guards against a missed wake-up when a pause is prolonged or a quarantine begins.
BOOST_AUTO_TEST_CASE(next_change_follows_the_newest_exclusions) {
    worker_health health({});
    const auto pause = worker_health_settings{}.pause;
    const auto quarantine = worker_health_settings{}.min_quarantine;
    BOOST_TEST(!health.next_change(at(0s)));
    (void)health.record_failure("w1", "a", at(0ms));
    (void)health.record_failure("w1", "b", at(100ms));
    BOOST_TEST((health.next_change(at(100ms)) == at(100ms) + pause));
    BOOST_TEST(!health.next_change(at(100ms) + pause));
    const auto last = at(2s);
    BOOST_TEST((health.record_failure("w1", "c", last) == health_verdict::quarantine_worker));
    BOOST_TEST((health.next_change(last) == last + pause));
    BOOST_TEST((health.next_change(last + pause) == last + quarantine));
    BOOST_TEST((health.excluded_until("w1") == last + quarantine));
}

BOOST_AUTO_TEST_SUITE_END()
