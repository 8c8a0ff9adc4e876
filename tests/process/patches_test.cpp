#define BOOST_TEST_MODULE process_patches
#include "process/cluster.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

struct patches_fixture {
    patches_fixture()
        : c({.workers = 1, .runners = 1, .entries = 2, .schedulers = 1, .configs = 2}) {}

    std::int64_t in_force(const std::string& config = "config-1") {
        const auto version = c.http().get(c.at(config).http, "/v1/config/in-force").text("version");
        return version.empty() ? -1 : std::stoll(version);
    }

    static std::string patch(const std::string& id, std::int64_t base, std::int64_t cpu_milli) {
        const json::object value{
            {"cpu_milli", cpu_milli}, {"memory_mb", 1024}, {"accelerators", 0}};
        const json::array changes{
            json::object{{"op", "set"}, {"path", "quotas/test"}, {"value", value}}};
        return json::serialize(json::object{
            {"id", id}, {"author", "tester"}, {"base_version", base}, {"changes", changes}});
    }

    call_result apply(const std::string& config, const std::string& body) {
        return c.http().post(c.at(config).http, "/v1/config/patches", body);
    }

    cluster c;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(patches_test, patches_fixture)

// Guards against two accepted patches for the same base version, which would silently revert one of
// them.
BOOST_AUTO_TEST_CASE(only_one_concurrent_patch_is_accepted) {
    for (int round = 0; round < 5; ++round) {
        const auto base = in_force();
        std::vector<std::future<call_result>> answers;
        for (int i = 0; i < 8; ++i) {
            buckthornspar::net::http_request request;
            request.method = buckthornspar::net::http_method::post;
            request.target = "/v1/config/patches";
            request.fields.set("Content-Type", "application/json");
            request.body = patch("race-" + std::to_string(round) + "-" + std::to_string(i), base,
                                 std::int64_t{1000} * (i + 1));
            const auto& config = c.at(i % 2 == 0 ? "config-1" : "config-2");
            answers.push_back(c.http().call_later(config.http, request, 10s));
        }
        int accepted = 0;
        for (auto& answer : answers) {
            const auto result = answer.get();
            const bool won = result.status >= 200 && result.status < 300;
            accepted += won ? 1 : 0;
            BOOST_TEST((won || result.status == 409), result.status << result.body);
        }
        BOOST_TEST(accepted == 1);
        BOOST_TEST(wait_until([&] { return in_force() == base + 1; }, 4s));
    }
}

// Guards against a patch that is applied twice if its response was lost and the caller repeats it.
BOOST_AUTO_TEST_CASE(repeated_patch_returns_the_first_result) {
    const auto base = in_force();
    const auto first = apply("config-1", patch("same", base, 5000));
    BOOST_TEST(first.status / 100 == 2U, first.body);
    const auto second = apply("config-1", patch("same", base, 5000));
    BOOST_TEST(second.status / 100 == 2U, second.body);
    BOOST_TEST(second.text("version") == first.text("version"));
    BOOST_TEST(in_force() == base + 1);
}

// Guards against lost responses of the store that lose a version or create it twice.
BOOST_AUTO_TEST_CASE(lost_store_answer_settles_the_patch) {
    const auto base = in_force();
    c.set_faults("store", R"({"lose_answers":1})");
    const auto result = apply("config-1", patch("lost", base, 7000));
    BOOST_TEST(result.status / 100 == 2U, result.body);
    BOOST_TEST(wait_until([&] { return in_force() == base + 1; }, 4s));
    BOOST_TEST(in_force() == base + 1);
}

// Guards against a version that does not reach the other config process within 4 s, or that a
// restarted process does not get.
BOOST_AUTO_TEST_CASE(version_is_in_force_everywhere_within_4_s) {
    const auto base = in_force();
    BOOST_TEST(apply("config-2", patch("everywhere", base, 9000)).status / 100 == 2U);
    BOOST_TEST(wait_until([&] { return in_force("config-1") == base + 1; }, 4s));
    c.restart("config-1");
    BOOST_TEST(wait_until([&] { return in_force("config-1") == base + 1; }, 10s), c.logs());
}

// Guards against job limits and policies that are distributed but not applied, and against an
// accepted policy that cannot have any effect.
BOOST_AUTO_TEST_CASE(job_limits_and_policies_apply) {
    const auto change = [&](const std::string& id, const std::string& path,
                            const json::value& value) {
        const json::array changes{json::object{{"op", "set"}, {"path", path}, {"value", value}}};
        return apply("config-1", json::serialize(json::object{{"id", id},
                                                              {"author", "tester"},
                                                              {"base_version", in_force()},
                                                              {"changes", changes}}));
    };
    BOOST_TEST(change("limit", "limits/max_tasks_per_job", 2).status / 100 == 2U);
    const json::object packed{{"scorer", "first_fit"}, {"spread", "rack"}, {"max_attempts", 2}};
    BOOST_TEST(change("batch", "workload_policies/batch", packed).status / 100 == 2U);
    BOOST_TEST(change("gang", "workload_policies/all_at_once", packed).status / 100 == 4U);

    const auto submit = [&](const std::string& id, int tasks) {
        return c.http().post(
            c.at("entry-1").http, "/v1/jobs",
            json::serialize(json::object{
                {"id", id},
                {"team", "t"},
                {"kind", "batch"},
                {"tasks", tasks},
                {"run_ms", 100},
                {"demand",
                 json::object{{"cpu_milli", 100}, {"memory_mb", 10}, {"accelerators", 0}}}}));
    };
    int attempt = 0;
    BOOST_TEST(wait_until(
                   [&] {
                       const auto large = submit("large-" + std::to_string(++attempt), 3);
                       return large.status == 422 && large.text("error.type") == "job_too_large";
                   },
                   4s),
               c.logs());
    BOOST_TEST(submit("small", 2).status == 201U);
    BOOST_TEST(wait_until(
                   [&] {
                       return c.http().get(c.at("entry-1").http, "/v1/jobs/small").text("state") ==
                              "succeeded";
                   },
                   5s),
               c.logs());
}

BOOST_AUTO_TEST_SUITE_END()
