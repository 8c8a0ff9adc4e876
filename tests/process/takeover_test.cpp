#define BOOST_TEST_MODULE process_takeover
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/job_driver.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

constexpr int service_tasks = 6;
constexpr int batch_tasks = 8;

struct takeover_fixture {
    takeover_fixture() : c({.workers = 4, .runners = 0, .entries = 1, .schedulers = 2}), jobs(c) {}

    // Starts a service that must keep running and a long batch job that must run each task once.
    void start_work() {
        BOOST_REQUIRE(
            jobs.submit({.id = "web", .kind = "service", .tasks = service_tasks, .run_ms = 0})
                .status == 201U);
        BOOST_REQUIRE(jobs.submit({.id = "long", .tasks = batch_tasks, .run_ms = 8000}).status ==
                      201U);
        BOOST_REQUIRE_MESSAGE(
            wait_until(
                [&] { return running_count(task_executions(c)) == service_tasks + batch_tasks; },
                10s),
            describe(task_executions(c)) << c.logs());
    }

    void check_no_task_lost_or_repeated() {
        BOOST_TEST(jobs.wait_state("long", "succeeded", 40s), jobs.status("long").body);
        BOOST_TEST(wait_until([&] { return jobs.state("web") == "running"; }, 20s));
        const auto executions = task_executions(c);
        BOOST_TEST(overlapping_ids(executions).empty(), describe(executions));
        BOOST_TEST(overcommitted_workers(c).empty());
        BOOST_TEST(running_count(executions) == service_tasks, describe(executions));
    }

    std::string wait_owner() {
        BOOST_REQUIRE(wait_until([&] { return !jobs.owner().empty(); }, 10s));
        return jobs.owner();
    }

    cluster c;
    job_driver jobs;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(takeover_test, takeover_fixture)

// Guards against tasks that a take-over starts a second time, loses, or lets lapse although their
// workers were reachable all the time.
BOOST_AUTO_TEST_CASE(killed_owner_is_replaced_and_running_tasks_continue) {
    start_work();
    const std::string old_owner = wait_owner();
    c.at(old_owner).process.kill();
    const auto killed_at = std::chrono::steady_clock::now();
    BOOST_REQUIRE_MESSAGE(wait_until([&] { return jobs.owner() != old_owner; }, 10s), c.logs());
    BOOST_TEST_MESSAGE("take-over after " << std::chrono::duration_cast<std::chrono::milliseconds>(
                                                 std::chrono::steady_clock::now() - killed_at)
                                                 .count()
                                          << " ms");
    check_no_task_lost_or_repeated();
    const auto executions = task_executions(c);
    BOOST_TEST(repeated_ids(executions).empty(), describe(executions));
}

// Guards against a suspended owner that, after it resumes, starts or renews tasks that belong to
// its successor.
BOOST_AUTO_TEST_CASE(resumed_owner_does_not_affect_its_successor) {
    start_work();
    const std::string old_owner = wait_owner();
    c.at(old_owner).process.send_signal(SIGSTOP);
    // Longer than the lease of 6 s and the authority of 4 s, so that another scheduler takes over.
    std::this_thread::sleep_for(12s);
    BOOST_TEST(jobs.owner() != old_owner);
    c.at(old_owner).process.send_signal(SIGCONT);
    BOOST_TEST(jobs.submit({.id = "after", .tasks = 4, .run_ms = 300}).status == 201U);
    BOOST_TEST(jobs.wait_state("after", "succeeded", 20s), jobs.status("after").body);
    check_no_task_lost_or_repeated();
}

// Guards against accepted jobs that are lost with the process that accepted them.
BOOST_AUTO_TEST_CASE(accepted_jobs_survive_the_death_of_their_scheduler) {
    const std::string old_owner = wait_owner();
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(
            jobs.submit({.id = "job-" + std::to_string(i), .tasks = 2, .run_ms = 500}).status ==
            201U);
    }
    c.at(old_owner).process.kill();
    for (int i = 0; i < 20; ++i) {
        const std::string id = "job-" + std::to_string(i);
        BOOST_TEST(jobs.wait_state(id, "succeeded", 40s), id << ": " << jobs.status(id).body);
    }
    const auto executions = task_executions(c);
    BOOST_TEST(overlapping_ids(executions).empty(), describe(executions));
}

// Guards against a planned stop of a scheduler that interrupts running tasks or does not exit.
BOOST_AUTO_TEST_CASE(terminated_owner_hands_over) {
    start_work();
    const std::string old_owner = wait_owner();
    BOOST_TEST(c.at(old_owner).process.terminate(30s) == 0);
    check_no_task_lost_or_repeated();
    const auto executions = task_executions(c);
    BOOST_TEST(repeated_ids(executions).empty(), describe(executions));
}

BOOST_AUTO_TEST_SUITE_END()
