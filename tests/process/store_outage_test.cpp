#define BOOST_TEST_MODULE process_store_outage
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/job_driver.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

struct store_fixture {
    store_fixture() : c({.workers = 4, .runners = 0, .entries = 1, .schedulers = 2}), jobs(c) {
        BOOST_REQUIRE(jobs.submit_with_retries({.id = "warm", .run_ms = 50}, 10s).status == 201U);
    }

    cluster c;
    job_driver jobs;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_outage_test, store_fixture)

// Guards against a job that is acknowledged before it is durable, against a refused job that runs
// anyway, and against running tasks that a store outage interrupts.
BOOST_AUTO_TEST_CASE(outage_refuses_submissions_without_affecting_running_tasks) {
    BOOST_REQUIRE(jobs.submit({.id = "web", .kind = "service", .tasks = 4, .run_ms = 0}).status ==
                  201U);
    BOOST_REQUIRE(wait_until([&] { return running_count(task_executions(c)) == 4; }, 10s));
    c.set_faults("store", R"({"down":true})");
    // The outcome of the first may be unknown, because its write has been sent. The second is
    // queued behind that write, so it certainly does not run.
    const auto first = jobs.submit({.id = "first", .run_ms = 50});
    BOOST_TEST((first.status == 503U || first.status == 504U), first.status << first.body);
    const auto second = jobs.submit({.id = "second", .run_ms = 50});
    BOOST_TEST(second.status == 503U, second.status << second.body);
    BOOST_TEST(second.text("error.type") == "store_unavailable");
    // The outage has now lasted longer than a lease, so the leases were renewed without the store.
    BOOST_TEST(running_count(task_executions(c)) == 4U, describe(task_executions(c)));
    c.set_faults("store", R"({"down":false})");
    BOOST_TEST(jobs.submit_with_retries({.id = "later", .run_ms = 50}, 15s).status == 201U);
    BOOST_TEST(jobs.wait_state("later", "succeeded", 10s));
    const auto executions = task_executions(c);
    BOOST_TEST(repeated_ids(executions).empty(), describe(executions));
    for (const auto& e : executions) {
        BOOST_TEST(!e.id.starts_with("second/"), describe(executions));
        BOOST_TEST((first.status == 504U || !e.id.starts_with("first/")), describe(executions));
    }
}

// Guards against a write with a lost response that is treated as failed, which loses the job, or
// that is repeated, which runs the job twice.
BOOST_AUTO_TEST_CASE(lost_store_answers_neither_lose_nor_repeat_tasks) {
    for (int i = 0; i < 15; ++i) {
        c.set_faults("store", i % 2 == 0 ? R"({"lose_answers":1})" : R"({"lose_requests":1})");
        const std::string id = "job-" + std::to_string(i);
        const auto result = jobs.submit_with_retries({.id = id, .tasks = 2, .run_ms = 50}, 15s);
        BOOST_TEST(result.status == 201U, id << ": " << result.body);
    }
    for (int i = 0; i < 15; ++i) {
        const std::string id = "job-" + std::to_string(i);
        BOOST_TEST(jobs.wait_state(id, "succeeded", 15s), id << ": " << jobs.status(id).body);
    }
    const auto executions = task_executions(c);
    BOOST_TEST(repeated_ids(executions).empty(), describe(executions));
    BOOST_TEST(executions.size() == 31U, describe(executions));
}

// Guards against a store connection that stops responding and blocks the journal forever.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced) {
    c.set_faults("store", R"({"silence_answers":3})");
    for (int i = 0; i < 5; ++i) {
        const std::string id = "job-" + std::to_string(i);
        const auto result = jobs.submit_with_retries({.id = id, .run_ms = 50}, 30s);
        BOOST_TEST(result.status == 201U, id << ": " << result.body);
        BOOST_TEST(jobs.wait_state(id, "succeeded", 15s));
    }
    BOOST_TEST(repeated_ids(task_executions(c)).empty());
}

// Guards against a slow store that is treated as an outage.
BOOST_AUTO_TEST_CASE(slow_store_only_delays_submissions) {
    c.set_faults("store", R"({"slow_ms":300})");
    BOOST_TEST(jobs.submit_with_retries({.id = "slow", .run_ms = 50}, 20s).status == 201U);
    BOOST_TEST(jobs.wait_state("slow", "succeeded", 20s));
    BOOST_TEST(repeated_ids(task_executions(c)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
