#define BOOST_TEST_MODULE process_quota
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/job_driver.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr std::size_t tasks_in_quota = 4;
constexpr std::int64_t task_cpu_milli = 500;

/// Two regions, each with a scheduler, an entry, a shard and a worker.
struct quota_fixture {
    quota_fixture()
        : c({.workers = 2,
             .runners = 0,
             .entries = 2,
             .schedulers = 2,
             .configs = 2,
             .regions = 2}),
          jobs(c) {
        const json::object quota{{"cpu_milli", tasks_in_quota * task_cpu_milli},
                                 {"memory_mb", 100'000},
                                 {"accelerators", 0}};
        const json::array changes{
            json::object{{"op", "set"}, {"path", "quotas/test"}, {"value", quota}}};
        const json::object patch{
            {"id", "quota"}, {"author", "tester"}, {"base_version", 1}, {"changes", changes}};
        const auto answer =
            c.http().post(c.at("config-1").http, "/v1/config/patches", json::serialize(patch));
        BOOST_REQUIRE_MESSAGE(answer.status / 100 == 2U, answer.body);
        // The quota is in force when it refuses a job that every worker could run.
        for (const std::string region : {"r1", "r2"}) {
            BOOST_REQUIRE_MESSAGE(wait_until([&] { return refuses_large_job(region); }, 10s),
                                  c.logs());
        }
    }

    bool refuses_large_job(const std::string& region) {
        const job_request large{.id = "large-" + std::to_string(++m_number),
                                .tasks = 1,
                                .run_ms = 1,
                                .cpu_milli = tasks_in_quota * task_cpu_milli + 1,
                                .region = region};
        return jobs.submit(large).body.find("quota of team test") != std::string::npos;
    }

    void submit(const std::string& job, const std::string& region, int tasks, std::int64_t run_ms) {
        const auto answer =
            jobs.submit({.id = job, .tasks = tasks, .run_ms = run_ms, .region = region});
        BOOST_REQUIRE_MESSAGE(answer.status == 201U, answer.body);
    }

    std::vector<execution> of_job(const std::string& job) {
        auto found = task_executions(c);
        std::erase_if(found, [&](const execution& e) { return e.id.rfind(job, 0) != 0; });
        return found;
    }

    bool ended(const std::string& job, std::size_t tasks) {
        const auto executions = of_job(job);
        return executions.size() == tasks && running_count(executions) == 0;
    }

    std::size_t max_concurrent_tasks() {
        const auto executions = task_executions(c);
        std::size_t most = 0;
        for (const auto& at : executions) {
            const auto together =
                std::count_if(executions.begin(), executions.end(), [&](const execution& e) {
                    return e.start_ms <= at.start_ms && e.end_ms.value_or(INT64_MAX) > at.start_ms;
                });
            most = std::max(most, static_cast<std::size_t>(together));
        }
        return most;
    }

    /// Sum of a counter over both schedulers.
    std::int64_t total(const std::string& counter) {
        std::int64_t sum = 0;
        for (const member* const scheduler : c.of_role("scheduler")) {
            const std::string page = c.http().get(scheduler->http, "/metrics").body;
            const std::string name = "\nbuckthornspar_" + counter + " ";
            const auto position = page.find(name);
            if (position != std::string::npos) {
                sum += std::stoll(page.substr(position + name.size()));
            }
        }
        return sum;
    }

    void check_released_quota_moves(const std::string& north_region,
                                    const std::string& south_region) {
        submit("north", north_region, 4, 6000);
        BOOST_REQUIRE_MESSAGE(
            wait_until([&] { return running_count(of_job("north")) == tasks_in_quota; }, 10s),
            c.logs());
        submit("south", south_region, 8, 1000);
        std::string explained;
        const auto waits_for_quota = [&] {
            explained = c.http().get(c.at("entry-1").http, "/v1/jobs/south/explain").body;
            return explained.find("quota_exceeded") != std::string::npos;
        };
        BOOST_TEST(wait_until(waits_for_quota, 3s), explained);
        BOOST_REQUIRE_MESSAGE(wait_until([&] { return ended("south", 8); }, 30s),
                              describe(task_executions(c)) << c.logs());
        std::int64_t north_end = 0;
        for (const auto& e : of_job("north")) {
            north_end = std::max(north_end, e.end_ms.value_or(0));
        }
        std::int64_t south_start = std::numeric_limits<std::int64_t>::max();
        for (const auto& e : of_job("south")) {
            BOOST_TEST(e.target != of_job("north").front().target);
            south_start = std::min(south_start, e.start_ms);
        }
        BOOST_TEST_MESSAGE("released quota used after " << south_start - north_end << " ms, "
                                                        << total("quota_messages_sent_total")
                                                        << " messages");
        BOOST_TEST(south_start - north_end < 6000);
        BOOST_TEST(max_concurrent_tasks() == tasks_in_quota, describe(task_executions(c)));
    }

    cluster c;
    job_driver jobs;
    int m_number = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_test, quota_fixture)

// Guards against schedulers that each allow the whole quota, and against quota that a shard with
// waiting tasks does not get after the tasks of the other shard have ended. The two tests swap the
// shards, because one of them is the home shard.
BOOST_AUTO_TEST_CASE(quota_is_enforced_while_it_moves_to_the_second_region) {
    check_released_quota_moves("r1", "r2");
}

BOOST_AUTO_TEST_CASE(quota_is_enforced_while_it_moves_to_the_first_region) {
    check_released_quota_moves("r2", "r1");
}

// Guards against two schedulers that both use the remaining quota at the same time.
BOOST_AUTO_TEST_CASE(jobs_at_both_shards_share_the_quota) {
    submit("north", "r1", 12, 300);
    submit("south", "r2", 12, 300);
    BOOST_TEST(wait_until([&] { return ended("north", 12) && ended("south", 12); }, 40s),
               describe(task_executions(c)) << c.logs());
    BOOST_TEST(max_concurrent_tasks() <= tasks_in_quota, describe(task_executions(c)));
}

BOOST_AUTO_TEST_SUITE_END()
