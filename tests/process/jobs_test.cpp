#define BOOST_TEST_MODULE process_jobs
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/job_driver.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <thread>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

struct jobs_fixture {
    jobs_fixture() : c({.workers = 4, .runners = 0, .entries = 2, .schedulers = 2}), jobs(c) {}

    ~jobs_fixture() {
        const auto executions = task_executions(c);
        BOOST_TEST(overlapping_ids(executions).empty(), describe(executions));
        BOOST_TEST(overcommitted_workers(c).empty());
    }

    cluster c;
    job_driver jobs;
};

std::vector<execution> of_job(const std::vector<execution>& all, const std::string& job) {
    std::vector<execution> found;
    std::copy_if(all.begin(), all.end(), std::back_inserter(found),
                 [&](const auto& e) { return e.id.starts_with(job + "/"); });
    return found;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(jobs_test, jobs_fixture)

// Guards against tasks that are lost or run twice between caller, scheduler and workers, and
// against a second submission of the same id that runs the job again.
BOOST_AUTO_TEST_CASE(batch_job_runs_each_task_once) {
    const job_request job{.id = "batch", .tasks = 8, .run_ms = 300};
    const auto first = jobs.submit(job);
    BOOST_REQUIRE_MESSAGE(first.status == 201U, first.body << c.logs());
    BOOST_TEST(jobs.submit(job, "entry-2").status == 201U);
    BOOST_REQUIRE_MESSAGE(jobs.wait_state("batch", "succeeded", 15s), jobs.status("batch").body);
    BOOST_TEST(jobs.status("batch").text("outcome") == "ran");
    const auto executions = of_job(task_executions(c), "batch");
    BOOST_TEST(executions.size() == 8U, describe(executions));
    BOOST_TEST(repeated_ids(executions).empty());
}

// Guards against a repeated submission that runs a job again, or that is refused although no shard
// has the job.
BOOST_AUTO_TEST_CASE(repeated_submission_finds_the_job) {
    const job_request job{.id = "again", .tasks = 2, .run_ms = 100};
    BOOST_TEST(jobs.submit(job).status == 201U);
    BOOST_REQUIRE(jobs.wait_state("again", "succeeded", 15s));
    BOOST_TEST(jobs.submit_repeated(job, "entry-2").text("state") == "succeeded");
    BOOST_TEST(of_job(task_executions(c), "again").size() == 2U);

    BOOST_TEST(jobs.submit_repeated({.id = "lost", .tasks = 1, .run_ms = 100}).status == 201U);
    BOOST_TEST(jobs.wait_state("lost", "succeeded", 15s));
}

// Guards against a submission that is taken as a repetition of a different job with the same id.
BOOST_AUTO_TEST_CASE(same_id_with_other_content_is_refused) {
    BOOST_TEST(jobs.submit({.id = "key", .tasks = 1}).status == 201U);
    const auto second = jobs.submit({.id = "key", .tasks = 2});
    BOOST_TEST(second.status == 409U);
    BOOST_TEST(second.text("error.type") == "id_conflict");
    const auto repeated = jobs.submit_repeated({.id = "key", .tasks = 2});
    BOOST_TEST(repeated.status == 409U, repeated.body);
}

// Guards against a job that waits forever because no worker can ever run it.
BOOST_AUTO_TEST_CASE(job_that_cannot_run_is_refused_with_the_reason) {
    const auto result = jobs.submit({.id = "huge", .cpu_milli = 1'000'000});
    BOOST_TEST(result.status == 422U);
    BOOST_TEST(result.text("error.type") == "infeasible");
    BOOST_TEST(!result.text("error.detail").empty());
}

// Guards against a service that keeps running after its cancellation, and against a repeated
// cancellation that is refused.
BOOST_AUTO_TEST_CASE(cancelled_service_stops) {
    BOOST_TEST(jobs.submit({.id = "web", .kind = "service", .tasks = 3, .run_ms = 0}).status ==
               201U);
    BOOST_REQUIRE_MESSAGE(
        wait_until([&] { return running_count(of_job(task_executions(c), "web")) == 3; }, 10s),
        jobs.status("web").body);
    BOOST_TEST(jobs.cancel("web").status == 200U);
    BOOST_TEST(jobs.cancel("web").status == 200U);
    BOOST_TEST(jobs.wait_state("web", "cancelled", 10s));
    BOOST_TEST(running_count(task_executions(c)) == 0U);
}

// Guards against tasks of an all-at-once job that run while other tasks of the job wait.
BOOST_AUTO_TEST_CASE(all_at_once_job_runs_together) {
    const job_request job{
        .id = "gang", .kind = "all_at_once", .tasks = 4, .run_ms = 800, .cpu_milli = 5000};
    BOOST_TEST(jobs.submit(job).status == 201U);
    BOOST_REQUIRE_MESSAGE(jobs.wait_state("gang", "succeeded", 15s), jobs.status("gang").body);
    const auto executions = of_job(task_executions(c), "gang");
    BOOST_REQUIRE(executions.size() == 4U);
    std::int64_t last_start = 0;
    std::int64_t first_end = executions.front().end_ms.value_or(0);
    for (const auto& e : executions) {
        last_start = std::max(last_start, e.start_ms);
        first_end = std::min(first_end, e.end_ms.value_or(0));
    }
    BOOST_TEST(last_start < first_end, describe(executions));
}

// Guards against a worker that still gets new work 3 s after the instance list shows it as leaving.
BOOST_AUTO_TEST_CASE(leaving_worker_gets_no_new_work) {
    c.mark_leaving("worker-1");
    std::this_thread::sleep_for(3s);
    BOOST_TEST(jobs.submit({.id = "after", .tasks = 20, .run_ms = 100}).status == 201U);
    BOOST_REQUIRE(jobs.wait_state("after", "succeeded", 15s));
    for (const auto& e : of_job(task_executions(c), "after")) {
        BOOST_TEST(e.target != "worker-1");
    }
}

BOOST_AUTO_TEST_SUITE_END()
