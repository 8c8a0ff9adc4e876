#define BOOST_TEST_MODULE process_regions
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/job_driver.h"
#include "process/request_driver.h"
#include "process/version_log.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>
#include <thread>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/// Time within which a version must be in force in all processes, after its acceptance or after the
/// links are restored.
constexpr auto in_force_limit = 4s;
/// Entries time out calls to a scheduler after 5 s, and config processes time out patches after 5
/// s.
constexpr auto answer_limit = 5500ms;

struct timed_answer {
    call_result result;
    std::chrono::steady_clock::duration took{};
};

struct regions_fixture {
    regions_fixture()
        : c({.workers = 3,
             .runners = 3,
             .entries = 3,
             .schedulers = 3,
             .configs = 3,
             .regions = 3,
             .instance_poll_ms = 500,
             .heartbeat_ms = 1000}),
          jobs(c) {}

    // Guards in every test against a process that returns to a lower version.
    ~regions_fixture() {
        for (const std::string region : {"r1", "r2", "r3"}) {
            for (const member* const server : c.servers_in(region)) {
                const auto seen = versions_seen(server->process.log());
                const auto lower =
                    std::adjacent_find(seen.begin(), seen.end(), [](const auto& a, const auto& b) {
                        return b.version <= a.version;
                    });
                BOOST_TEST((lower == seen.end()), server->id << server->process.log());
            }
        }
    }

    std::int64_t version_at(const std::string& config) {
        const auto version = c.http().get(c.at(config).http, "/v1/config/in-force").text("version");
        return version.empty() ? -1 : std::stoll(version);
    }

    call_result patch(const std::string& config, std::int64_t base) {
        return patch(
            config, base, "quotas/team",
            json::object{{"cpu_milli", 1000 + base}, {"memory_mb", 1024}, {"accelerators", 0}});
    }

    call_result patch(const std::string& config, std::int64_t base, const std::string& path,
                      const json::value& value) {
        const json::array changes{json::object{{"op", "set"}, {"path", path}, {"value", value}}};
        const json::object body{{"id", config + "-" + std::to_string(base)},
                                {"author", "tester"},
                                {"base_version", base},
                                {"changes", changes}};
        return c.http().post(c.at(config).http, "/v1/config/patches", json::serialize(body));
    }

    bool in_force(const std::string& region, std::int64_t version) {
        const auto servers = c.servers_in(region);
        return std::all_of(servers.begin(), servers.end(), [&](const member* server) {
            return last_version(server->process.log()) >= version;
        });
    }

    bool in_force_within(std::chrono::milliseconds limit, const std::vector<std::string>& regions,
                         std::int64_t version) {
        return wait_until(
            [&] {
                return std::all_of(regions.begin(), regions.end(),
                                   [&](const auto& region) { return in_force(region, version); });
            },
            limit);
    }

    call_result request(const std::string& entry) {
        const auto id = entry + "-" + std::to_string(++requests);
        return c.http().call(c.at(entry).http, to_request({id}));
    }

    // Makes the call on another thread.
    static std::future<timed_answer> call_async(std::function<call_result()> call) {
        return std::async(std::launch::async, [call = std::move(call)] {
            const auto start = std::chrono::steady_clock::now();
            timed_answer answer{call(), {}};
            answer.took = std::chrono::steady_clock::now() - start;
            return answer;
        });
    }

    // Checks that the caller got a typed error within the time limit.
    static void check_typed_refusal(const timed_answer& answer) {
        const auto& result = answer.result;
        BOOST_TEST(result.status >= 500U, result.status << result.body << result.failure);
        BOOST_TEST(!result.text("error.type").empty(), result.body);
        BOOST_TEST((answer.took < answer_limit), result.body << answer.took.count() << " ns");
    }

    cluster c;
    job_driver jobs;
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(regions_test, regions_fixture)

// Guards against a version that does not reach other regions than the one that accepted it.
BOOST_AUTO_TEST_CASE(patch_is_in_force_in_all_regions_within_4_s) {
    for (const std::string config : {"config-2", "config-1", "config-3"}) {
        const auto base = version_at(config);
        const auto result = patch(config, base);
        BOOST_REQUIRE_MESSAGE(result.status / 100 == 2U, result.body);
        BOOST_TEST(in_force_within(in_force_limit, {"r1", "r2", "r3"}, base + 1), c.logs());
    }
}

// Guards against a region that, after its links were cut and restored, waits for a timer instead of
// catching up, takes only the newest missed version without its predecessors, or returns to an
// older one.
BOOST_AUTO_TEST_CASE(region_cut_off_for_20_s_catches_up_within_4_s_of_the_heal) {
    auto version = version_at("config-1");
    const auto before_cut = version;
    BOOST_REQUIRE(in_force_within(in_force_limit, {"r3"}, before_cut));
    c.links().cut("r3");
    const auto heal_at = std::chrono::steady_clock::now() + 20s;
    auto refused = call_async([&] { return patch("config-3", before_cut); });
    for (int i = 0; std::chrono::steady_clock::now() < heal_at; ++i) {
        const auto result = patch(i % 2 == 0 ? "config-1" : "config-2", version);
        BOOST_REQUIRE_MESSAGE(result.status / 100 == 2U, result.body << c.logs());
        ++version;
        BOOST_REQUIRE(in_force_within(in_force_limit, {"r1", "r2"}, version));
        BOOST_TEST(version_at("config-3") == before_cut);
        std::this_thread::sleep_for(500ms);
    }
    c.links().heal("r3");
    BOOST_TEST(in_force_within(in_force_limit, {"r1", "r2", "r3"}, version), c.logs());
    BOOST_TEST(version_at("config-3") == version);
    check_typed_refusal(refused.get());
}

// Guards against a job that only entries in the region of the owner can submit or find, and against
// entries of other regions that refuse submissions until an infrequent heartbeat names the owner.
BOOST_AUTO_TEST_CASE(job_of_another_regions_shard_is_placed_and_its_status_is_readable) {
    BOOST_REQUIRE(wait_until(
        [&] { return jobs.submit({.id = "local", .region = "r2"}, "entry-2").status == 201; },
        15s));
    const auto result = jobs.submit({.id = "remote", .tasks = 2, .region = "r2"}, "entry-1");
    BOOST_REQUIRE_MESSAGE(result.status == 201U, result.body << c.logs());
    BOOST_TEST(result.text("shard") == "s2");
    BOOST_REQUIRE_MESSAGE(jobs.wait_state("remote", "succeeded", 10s), jobs.status("remote").body);
    BOOST_TEST(c.http().get(c.at("entry-3").http, "/v1/jobs/remote").text("state") == "succeeded");
    for (const auto& e : task_executions(c)) {
        BOOST_TEST(e.target == "worker-2");
    }
}

// Guards against region preferences without effect, and against a repeated submission that runs
// again in another region because the preference has changed since.
BOOST_AUTO_TEST_CASE(job_goes_to_the_preferred_region_and_its_repeat_finds_it) {
    const auto prefer = [&](const std::string& region) {
        const auto base = version_at("config-1");
        const auto result =
            patch("config-1", base, "region_preferences/test", json::array{"r9", region.c_str()});
        BOOST_REQUIRE_MESSAGE(result.status / 100 == 2U, result.body);
        BOOST_REQUIRE(in_force_within(in_force_limit, {"r1", "r2", "r3"}, base + 1));
    };
    prefer("r2");
    for (int i = 0; i < 6; ++i) {
        const job_request job{.id = "preferred-" + std::to_string(i), .run_ms = 50};
        const auto result = jobs.submit_with_retries(job, 15s);
        BOOST_REQUIRE_MESSAGE(result.status == 201U, result.body << c.logs());
        BOOST_TEST(result.text("shard") == "s2");
    }
    prefer("r3");
    const job_request again{.id = "preferred-0", .run_ms = 50};
    const auto repeated = jobs.submit_repeated(again, "entry-3");
    BOOST_TEST(repeated.text("shard") == "s2", repeated.body);
    BOOST_TEST(jobs.submit_with_retries({.id = "next"}, 15s).text("shard") == "s3");
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(jobs.wait_state("preferred-" + std::to_string(i), "succeeded", 10s));
    }
    const auto executions = task_executions(c);
    BOOST_TEST(std::count_if(executions.begin(), executions.end(), [](const execution& e) {
                   return e.id.starts_with("preferred-0/");
               }) == 1);
}

// Guards against calls that wait forever on an open connection that forwards nothing, and against
// such a connection that stays in use after new connections work again.
BOOST_AUTO_TEST_CASE(calls_over_silent_links_get_a_typed_answer_and_work_after_the_heal) {
    const job_request before{.id = "before", .region = "r2"};
    BOOST_REQUIRE(jobs.submit_with_retries(before, 15s).status == 201U);
    const auto base = version_at("config-1");
    BOOST_REQUIRE(in_force_within(in_force_limit, {"r1", "r2", "r3"}, base));

    c.links().silence();
    auto submission = call_async([&] { return jobs.submit({.id = "during", .region = "r2"}); });
    auto query = call_async([&] { return jobs.status("before"); });
    auto refused = call_async([&] { return patch("config-3", base); });
    check_typed_refusal(submission.get());
    check_typed_refusal(query.get());
    check_typed_refusal(refused.get());

    c.links().heal();
    const auto after = jobs.submit_with_retries({.id = "during", .region = "r2"}, 10s);
    BOOST_TEST(after.status == 201U, after.body << c.logs());
    BOOST_TEST(jobs.wait_state("before", "succeeded", 10s), jobs.status("before").body);
    BOOST_TEST(jobs.wait_state("during", "succeeded", 10s), jobs.status("during").body);
    BOOST_TEST(patch("config-3", version_at("config-1")).status / 100 == 2U);
}

// Guards against a version that is delayed until a store watch on a lost connection times out. The
// watch starts just before the link becomes silent, so that its time-out is as long as possible
// after the link is restored.
BOOST_AUTO_TEST_CASE(version_of_a_short_silence_is_in_force_within_4_s_of_the_heal) {
    const auto base = version_at("config-1");
    BOOST_REQUIRE(patch("config-1", base).status / 100 == 2U);
    BOOST_REQUIRE(in_force_within(in_force_limit, {"r1", "r2", "r3"}, base + 1));
    std::this_thread::sleep_for(200ms);
    c.links().silence("r3");
    BOOST_REQUIRE(patch("config-1", base + 1).status / 100 == 2U);
    std::this_thread::sleep_for(200ms);
    BOOST_REQUIRE(version_at("config-3") == base + 1);
    c.links().heal("r3");
    BOOST_TEST(in_force_within(in_force_limit, {"r1", "r2", "r3"}, base + 2), c.logs());
}

// Guards against requests that depend on anything outside their region.
BOOST_AUTO_TEST_CASE(requests_go_on_within_a_region_that_is_cut_off) {
    for (const std::string entry : {"entry-1", "entry-3"}) {
        BOOST_REQUIRE(wait_until([&] { return request(entry).status == 200; }, 10s));
    }
    c.links().cut("r3");
    auto submission = call_async([&] { return jobs.submit({.id = "elsewhere", .region = "r3"}); });
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (std::chrono::steady_clock::now() < end) {
        for (const std::string entry : {"entry-1", "entry-3"}) {
            const auto result = request(entry);
            BOOST_TEST(result.status == 200U, entry << result.body << result.failure);
        }
        std::this_thread::sleep_for(10ms);
    }
    check_typed_refusal(submission.get());
}

BOOST_AUTO_TEST_SUITE_END()
