#define BOOST_TEST_MODULE process_bad_input
#include "process/cluster.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;
using buckthornspar::net::http_method;

namespace {

struct bad_call {
    std::string member;
    http_method method;
    std::string target;
    std::string body;
    std::string content_type = "application/json";
};

struct bad_input_fixture {
    bad_input_fixture()
        : c({.workers = 1, .runners = 1, .entries = 1, .schedulers = 1, .configs = 1}) {}

    // Checks that the call gets a 4xx response with an error type and that the server stays
    // healthy.
    void check(const bad_call& call) {
        buckthornspar::net::http_request request;
        request.method = call.method;
        request.target = call.target;
        request.body = call.body;
        if (!call.content_type.empty()) {
            request.fields.set("Content-Type", call.content_type);
        }
        const auto answer = c.http().call(c.at(call.member).http, request);
        const std::string what = call.member + " " + call.target + " " + call.body.substr(0, 120) +
                                 " -> " + std::to_string(answer.status) + " " + answer.body +
                                 answer.failure;
        BOOST_TEST(answer.status / 100 == 4U, what);
        BOOST_TEST(!answer.text("error.type").empty(), what);
        BOOST_TEST(!answer.text("error.detail").empty(), what);
        BOOST_TEST(c.http().get(c.at(call.member).http, "/healthz").status == 200U, what);
    }

    cluster c;
};

std::string job(const std::string& members) {
    return R"({"id":"j","team":"t","kind":"batch",)" + members + "}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input_test, bad_input_fixture)

// Guards against invalid submissions that crash a process, are accepted, or get an untyped error.
BOOST_AUTO_TEST_CASE(submissions) {
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "null",
        "\xff\xfe",
        "{}",
        R"({"id":7,"team":"t","kind":"batch"})",
        R"({"id":"","team":"t","kind":"batch"})",
        R"({"id":"j","kind":"batch"})",
        R"({"id":"j","team":"t","kind":"walk"})",
        job(R"("class":"royal")"),
        job(R"("tasks":0)"),
        job(R"("tasks":-1)"),
        job(R"("tasks":1e30)"),
        job(R"("tasks":"two")"),
        job(R"("tasks":2147483648)"),
        job(R"("demand":{"cpu_milli":-5,"memory_mb":1,"accelerators":0})"),
        job(R"("demand":{"cpu_milli":9223372036854775807,"memory_mb":1,"accelerators":0})"),
        job(R"("demand":{"cpu_milli":99999999999999999999,"memory_mb":1,"accelerators":0})"),
        job(R"("demand":[])"),
        job(R"("run_ms":-1)"),
        job(R"("deadline_ms":-1)"),
        job(R"("idempotent":"maybe")"),
        job(R"("surprise":1)"),
        std::string(100'000, '['),
    };
    for (const auto& body : bodies) {
        check({"entry-1", http_method::post, "/v1/jobs", body});
    }
    check({"entry-1", http_method::post, "/v1/jobs", job(R"("tasks":1)"), "text/plain"});
    check({"entry-1", http_method::post, "/v1/jobs", job(R"("tasks":1)"), ""});
    check({"entry-1", http_method::post, "/v1/jobs", std::string(9U << 20U, ' ')});
}

// Guards against queries for unknown resources that get an untyped error or a 5xx status.
BOOST_AUTO_TEST_CASE(queries) {
    check({"entry-1", http_method::get, "/v1/jobs/none", ""});
    check({"entry-1", http_method::get, "/v1/jobs/none/explain", ""});
    check({"entry-1", http_method::del, "/v1/jobs/none", ""});
    check({"entry-1", http_method::get, "/v1/jobs/" + std::string(4000, 'x'), ""});
    check({"entry-1", http_method::get, "/v1/jobs/%00%ff", ""});
    check({"entry-1", http_method::get, "/v1/jobs", ""});
    check({"entry-1", http_method::put, "/v1/jobs/none", "{}"});
    check({"entry-1", http_method::get, "/v1/nothing", ""});
    check({"entry-1", http_method::get, "/", ""});
    check({"entry-1", http_method::get, "/v1/drain", ""});
    check({"scheduler-1", http_method::get, "/v1/nothing", ""});
    check({"scheduler-1", http_method::get, "/v1/drain", ""});
    check({"config-1", http_method::get, "/v1/nothing", ""});
    check({"config-1", http_method::get, "/v1/drain", ""});
}

// Guards against invalid request headers that are accepted with another meaning.
BOOST_AUTO_TEST_CASE(requests) {
    const std::vector<std::pair<std::string, std::string>> wrong_fields{
        {"X-Deadline-Ms", "-1"},
        {"X-Deadline-Ms", "soon"},
        {"X-Deadline-Ms", "1e99"},
        {"X-Deadline-Ms", "99999999999999999999"},
        {"X-Class", "royal"},
        {"X-Idempotent", "maybe"},
        {"X-Repeat", "maybe"},
        {"X-Request-Id", ""},
        {"X-Request-Id", std::string(5000, 'x')},
    };
    for (const auto& [name, value] : wrong_fields) {
        buckthornspar::net::http_request request;
        request.method = http_method::post;
        request.target = "/v1/requests/echo";
        request.fields.set("X-Request-Id", "bad");
        request.fields.set("X-Deadline-Ms", "1000");
        request.fields.set(name, value);
        const auto answer = c.http().call(c.at("entry-1").http, request);
        const std::string what = name + ": " + value.substr(0, 40) + " -> " +
                                 std::to_string(answer.status) + " " + answer.body;
        BOOST_TEST(answer.status / 100 == 4U, what);
        BOOST_TEST(!answer.text("error.type").empty(), what);
    }
    check({"entry-1", http_method::get, "/v1/requests/echo", ""});
    check({"entry-1", http_method::post, "/v1/requests", ""});
}

// Guards against invalid patches that are accepted or applied in part.
BOOST_AUTO_TEST_CASE(patches) {
    const std::string set = R"("changes":[{"op":"set","path":"quotas/t","value":)";
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "{}",
        R"({"id":"p","author":"a","base_version":0})",
        R"({"id":"p","author":"a","base_version":0,"changes":[]})",
        R"({"id":"p","author":"a","base_version":0,"changes":[{"op":"paint","path":"quotas/t"}]})",
        R"({"id":"p","author":"a","base_version":0,"changes":[{"op":"set","path":"nowhere/t","value":1}]})",
        R"({"id":"p","author":"a","base_version":0,"changes":[{"op":"set","path":"","value":1}]})",
        R"({"id":"p","author":"a","base_version":-1,)" + set +
            R"({"cpu_milli":1,"memory_mb":1,"accelerators":0}}]})",
        R"({"id":"p","author":"a","base_version":987654321,)" + set +
            R"({"cpu_milli":1,"memory_mb":1,"accelerators":0}}]})",
        R"({"id":"p","author":"a","base_version":0,)" + set + R"({"cpu_milli":-1}}]})",
        R"({"id":"p","author":"a","base_version":0,)" + set + R"("much"}]})",
        R"({"id":"p","author":"","base_version":0,)" + set + R"({"cpu_milli":1}}]})",
        R"({"id":"p","author":"a","base_version":0,"surprise":1,)" + set + R"({"cpu_milli":1}}]})",
        R"({"id":"p","author":"a","base_version":0,"undo":123456})",
        std::string(100'000, '['),
    };
    for (const auto& body : bodies) {
        check({"config-1", http_method::post, "/v1/config/patches", body});
    }
    const std::string good = R"({"id":"p","author":"a","base_version":0,)" + set +
                             R"({"cpu_milli":1,"memory_mb":1,"accelerators":0}}]})";
    check({"config-1", http_method::post, "/v1/config/patches", good, "text/plain"});
    check({"config-1", http_method::post, "/v1/config/patches", std::string(9U << 20U, ' ')});
    check({"config-1", http_method::get, "/v1/config/patches", ""});
    check({"config-1", http_method::get, "/v1/config/versions/987654321", ""});
    check({"config-1", http_method::get, "/v1/config/versions/-1", ""});
    check({"config-1", http_method::get, "/v1/config/versions/first", ""});
    check({"config-1", http_method::get, "/v1/config/versions/99999999999999999999", ""});
    check({"config-1", http_method::del, "/v1/config/versions/1", ""});
    check({"config-1", http_method::post, "/v1/config/in-force", "{}"});
}

BOOST_AUTO_TEST_SUITE_END()
