#define BOOST_TEST_MODULE process_config
#include "process/cluster.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

/// A version must be in force in every process within 4 s of its acceptance.
constexpr std::chrono::milliseconds in_force_timeout = 4s;

cluster_options only_configs() {
    cluster_options options;
    options.workers = 0;
    options.runners = 0;
    options.entries = 0;
    options.schedulers = 0;
    options.configs = 3;
    options.extra_settings["config"] = "config: {patch_timeout_ms: 3000, regions: [cuyo]}\n";
    return options;
}

std::string patch_json(const std::string& id, int base, int value) {
    return R"({"id":")" + id + R"(","author":"ana","base_version":)" + std::to_string(base) +
           R"(,"changes":[{"op":"set","path":"limits/max_tasks_per_job","value":)" +
           std::to_string(value) + "}]}";
}

struct config_fixture {
    config_fixture() : c(only_configs()) {}

    call_result patch(const std::string& member, const std::string& body) {
        return c.http().post(c.at(member).http, "/v1/config/patches", body);
    }
    call_result get(const std::string& member, const std::string& resource) {
        return c.http().get(c.at(member).http, "/v1/config/" + resource);
    }
    bool wait_for_version(const std::string& member, const std::string& version) {
        return wait_until([&] { return get(member, "in-force").text("version") == version; },
                          in_force_timeout);
    }
    std::string metrics(const std::string& member) {
        return c.http().get(c.at(member).http, "/metrics").body;
    }

    cluster c;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_process, config_fixture)

// Guards against versions that do not reach every process or are missing from its history.
BOOST_AUTO_TEST_CASE(patch_reaches_every_process) {
    BOOST_TEST(get("config-1", "in-force").text("version") == "1");
    const auto accepted = patch("config-2", patch_json("p1", 1, 7));
    BOOST_TEST(accepted.status == 201U, accepted.body);
    BOOST_TEST(accepted.text("version") == "2");
    for (const char* const member : {"config-1", "config-2", "config-3"}) {
        BOOST_TEST(wait_for_version(member, "2"), c.logs());
        BOOST_TEST(get(member, "in-force").text("document.limits.max_tasks_per_job") == "7");
        BOOST_TEST(get(member, "versions/2").text("author") == "ana");
        BOOST_TEST(get(member, "versions").json().at("versions").as_array().size() == 2U);
    }
    const auto undo = patch("config-3", R"({"id":"u1","author":"eva","base_version":2,"undo":2})");
    BOOST_TEST(undo.status == 201U, undo.body);
    BOOST_TEST(get("config-3", "versions/3").json().at("diff").as_array().size() == 1U);
    BOOST_TEST(patch("config-1", patch_json("p1", 1, 7)).text("version") == "2");
}

// Guards against two accepted patches for one base version, and against a conflict response that
// lacks the version in force or the clashing fields.
BOOST_AUTO_TEST_CASE(one_concurrent_patch_wins_and_others_get_conflicts) {
    std::vector<std::future<call_result>> calls;
    for (int i = 0; i < 30; ++i) {
        buckthornspar::net::http_request request;
        request.method = buckthornspar::net::http_method::post;
        request.target = "/v1/config/patches";
        request.body = patch_json("p" + std::to_string(i), 1, i + 1);
        const std::string member = "config-" + std::to_string(i % 3 + 1);
        calls.push_back(c.http().call_later(c.at(member).http, request, 10s));
    }
    int winners = 0;
    for (auto& call : calls) {
        const auto result = call.get();
        winners += result.status == 201 ? 1 : 0;
        if (result.status != 201) {
            BOOST_TEST(result.status == 409U, result.body);
            BOOST_TEST(result.text("error.type") == "version_conflict");
            BOOST_TEST(result.text("error.version_in_force") == "2");
            BOOST_TEST(result.text("error.clashing_fields") == R"(["limits/max_tasks_per_job"])");
        }
    }
    BOOST_TEST(winners == 1);
}

// Guards against invalid patches that are applied in part or get an untyped error.
BOOST_AUTO_TEST_CASE(bad_input_gets_a_typed_answer) {
    struct bad_call {
        std::string body;
        unsigned status;
        std::string type;
        std::string field;
    };
    const std::string start = R"({"id":"b","author":"a","base_version":1,"changes":[)";
    const std::string good = R"({"op":"set","path":"limits/max_tasks_per_job","value":9},)";
    const bad_call calls[] = {
        {"", 400, "not_json", ""},
        {"[1]", 400, "wrong_type", ""},
        {R"({"author":"a"})", 400, "missing_field", "id"},
        {start + good + R"({"op":"set","path":"limits/speed","value":9}]})", 400, "unknown_field",
         "limits/speed"},
        {start + good + R"({"op":"set","path":"region_preferences/t","value":["mars"]}]})", 400,
         "unknown_value", "region_preferences/t"},
        {start + good + R"({"op":"remove","path":"quotas/none"}]})", 400, "nothing_to_remove",
         "quotas/none"},
        {patch_json("b", 7, 9), 409, "unknown_version", ""},
        {std::string(100'000, '['), 400, "not_json", ""},
    };
    for (const auto& bad : calls) {
        const auto result = patch("config-1", bad.body);
        BOOST_TEST_CONTEXT(bad.body.substr(0, 200) << " -> " << result.body) {
            BOOST_TEST(result.status == bad.status);
            BOOST_TEST(result.text("error.type") == bad.type);
            BOOST_TEST(result.text("error.field") == bad.field);
        }
    }
    BOOST_TEST(get("config-1", "versions/0").status == 400U);
    BOOST_TEST(get("config-1", "versions/99").status == 404U);
    BOOST_TEST(get("config-1", "versions?limit=x").status == 400U);
    BOOST_TEST(get("config-1", "patches").status == 405U);
    BOOST_TEST(get("config-1", "nothing").status == 404U);
    BOOST_TEST(get("config-1", "in-force").text("version") == "1");
}

// Guards against a region in which no process watches the store after the watching process was
// killed, and against a restarted process that does not get the version in force.
BOOST_AUTO_TEST_CASE(another_process_watches_after_the_watcher_is_killed) {
    c.at("config-1").process.kill();
    std::this_thread::sleep_for(3s);
    BOOST_TEST(patch("config-3", patch_json("p1", 1, 7)).status == 201U);
    BOOST_TEST(wait_for_version("config-2", "2"), c.logs());
    c.restart("config-1");
    BOOST_TEST(wait_for_version("config-1", "2"), c.logs());
}

// Guards against a patch that is lost or applied twice if only the response of the store is lost.
BOOST_AUTO_TEST_CASE(lost_store_answer_is_settled) {
    c.set_faults("store", R"({"lose_answers":1})");
    const auto accepted = patch("config-2", patch_json("p1", 1, 7));
    BOOST_TEST(accepted.status == 201U, accepted.body);
    BOOST_TEST(accepted.text("version") == "2");
    BOOST_TEST(metrics("config-2").find("store_lost_answers_settled_total 1") != std::string::npos);
}

// Guards against patches that get no response during a store outage, and against a process that
// cannot start during one although its peers know the version in force.
BOOST_AUTO_TEST_CASE(outage_refuses_patches_and_keeps_the_version) {
    BOOST_TEST(patch("config-2", patch_json("p1", 1, 7)).status == 201U);
    BOOST_TEST(wait_for_version("config-3", "2"), c.logs());
    c.set_faults("store", R"({"down":true})");
    const auto refused = patch("config-2", patch_json("p2", 2, 8));
    BOOST_TEST(refused.status == 503U, refused.body);
    c.restart("config-3");
    BOOST_TEST(wait_for_version("config-3", "2"), c.logs());
    BOOST_TEST(c.http().get(c.at("config-3").http, "/readyz").status == 200U);
    const auto unavailable = patch("config-3", patch_json("p3", 2, 8));
    BOOST_TEST(unavailable.status == 503U);
    BOOST_TEST(unavailable.text("error.type") == "store_unavailable");
    c.set_faults("store", R"({"down":false})");
    const bool settled =
        wait_until([&] { return patch("config-1", patch_json("p2", 2, 8)).status == 201; }, 10s);
    BOOST_TEST(settled, c.logs());
    BOOST_TEST(get("config-1", "versions").text("version_in_force") == "3");
}

// Guards against an entry or a scheduler that accepts work without a version or never gets one. The
// constructor of the cluster waits until all processes are ready.
BOOST_AUTO_TEST_CASE(other_roles_get_a_version) {
    cluster_options options = only_configs();
    options.configs = 1;
    options.entries = 1;
    options.schedulers = 1;
    cluster whole(options);
    whole.at("config-1").process.kill();
    whole.restart("entry-1");
    const bool ready = wait_until(
        [&] { return whole.http().get(whole.at("entry-1").http, "/readyz").status == 200; },
        in_force_timeout);
    BOOST_TEST(ready, whole.logs());
}

// Guards against work that is accepted without the configured limits and quotas: a process that
// starts while neither the store nor peers can provide the version in force must refuse work.
BOOST_AUTO_TEST_CASE(entry_without_a_version_takes_no_work) {
    cluster_options options = only_configs();
    options.configs = 1;
    options.entries = 1;
    options.runners = 1;
    cluster whole(options);
    whole.at("config-1").process.kill();
    whole.restart("entry-1");
    const auto& entry = whole.at("entry-1").http;
    BOOST_REQUIRE(
        wait_until([&] { return whole.http().get(entry, "/healthz").status == 200U; }, 5s));
    const auto request = whole.http().post(entry, "/v1/requests/echo", "body");
    BOOST_TEST(request.status == 503U);
    BOOST_TEST(request.text("reason") == "not_ready");
    BOOST_TEST(request.text("outcome") == "not_run");
    const auto job = whole.http().post(entry, "/v1/jobs", R"({"id":"a"})");
    BOOST_TEST(job.status == 503U);
    BOOST_TEST(job.text("error.type") == "not_ready");
}

// Guards against a drain that aborts a patch in progress, and against patches accepted after it.
BOOST_AUTO_TEST_CASE(drain_answers_what_is_in_progress) {
    c.set_faults("store", R"({"slow_ms":300})");
    buckthornspar::net::http_request request;
    request.method = buckthornspar::net::http_method::post;
    request.target = "/v1/config/patches";
    request.body = patch_json("p1", 1, 7);
    auto pending = c.http().call_later(c.at("config-1").http, request, 10s);
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(c.http().post(c.at("config-1").http, "/v1/drain", "").status == 202U);
    BOOST_TEST(patch("config-1", patch_json("p2", 1, 8)).text("error.type") == "draining");
    BOOST_TEST(pending.get().status == 201U);
    BOOST_TEST(c.at("config-1").process.terminate(10s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
