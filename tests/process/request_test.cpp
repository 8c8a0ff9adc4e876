#define BOOST_TEST_MODULE process_request
#include "process/cluster.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <set>

using namespace buckthornspar;
using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

cluster_options small_cluster() {
    cluster_options options;
    options.workers = 0;
    options.schedulers = 0;
    options.entries = 2;
    options.runners = 2;
    return options;
}

net::http_request make_request(const std::string& id, const std::string& body) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = "/v1/requests/echo";
    request.fields.set("X-Request-Id", id);
    request.fields.set("X-Deadline-Ms", "5000");
    request.body = body;
    return request;
}

// Number of executions of the request at all runners.
std::size_t executions(cluster& c, const std::string& id) {
    std::size_t count = 0;
    for (auto* const r : c.of_role("runner")) {
        const auto history = c.http().get(r->http, "/v1/history").json();
        for (const auto& e : history.at("executions").as_array()) {
            count += e.at("id").as_string() == id ? 1 : 0;
        }
    }
    return count;
}

// The entry learns of the runners when it reads the instance list.
bool wait_for_runners(cluster& c, const std::string& entry) {
    return wait_until(
        [&] {
            return c.http().call(c.at(entry).http, make_request("first-" + entry, "x")).status ==
                   200;
        },
        10s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_request)

// Guards against responses that are lost, duplicated or swapped on real sockets.
BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_answer) {
    cluster c(small_cluster());
    BOOST_REQUIRE_MESSAGE(wait_for_runners(c, "entry-1"), c.logs());
    constexpr int count = 60;
    std::vector<std::future<call_result>> calls;
    for (int i = 0; i < count; ++i) {
        const std::string id = "id" + std::to_string(i);
        calls.push_back(
            c.http().call_later(c.at("entry-1").http, make_request(id, "work_ms=20 " + id), 10s));
    }
    for (int i = 0; i < count; ++i) {
        const auto result = calls[static_cast<std::size_t>(i)].get();
        const std::string id = "id" + std::to_string(i);
        BOOST_TEST(result.status == 200U);
        BOOST_TEST(result.fields.get("X-Outcome") == "ran");
        BOOST_TEST(result.body == "answer:work_ms=20 " + id);
        BOOST_TEST(executions(c, id) == 1U);
    }
}

// Guards against a lost response and a second execution if the responses of a runner are truncated.
BOOST_AUTO_TEST_CASE(truncated_answers_are_fetched) {
    cluster c(small_cluster());
    BOOST_REQUIRE_MESSAGE(wait_for_runners(c, "entry-1"), c.logs());
    c.set_faults("runner-1", R"({"fault":"truncated"})");
    c.set_faults("runner-2", R"({"fault":"truncated"})");
    for (int i = 0; i < 5; ++i) {
        const std::string id = "cut" + std::to_string(i);
        const auto result = c.http().call(c.at("entry-1").http, make_request(id, "b"));
        BOOST_TEST(result.status == 200U);
        BOOST_TEST(result.body == "answer:b");
        BOOST_TEST(executions(c, id) == 1U);
    }
}

// Guards against an outcome other than "unknown" if no runner responds, and against a caller that
// waits beyond the deadline.
BOOST_AUTO_TEST_CASE(silent_runners_give_unknown_at_the_deadline) {
    cluster c(small_cluster());
    BOOST_REQUIRE_MESSAGE(wait_for_runners(c, "entry-1"), c.logs());
    c.set_faults("runner-1", R"({"fault":"silent"})");
    c.set_faults("runner-2", R"({"fault":"silent"})");
    auto request = make_request("quiet", "b");
    request.fields.set("X-Deadline-Ms", "1500");
    const auto result = c.http().call(c.at("entry-1").http, request);
    BOOST_TEST(result.status == 504U);
    BOOST_TEST(result.text("outcome") == "unknown");
    BOOST_TEST(result.text("reason") == "attempt_unsettled");
}

// Guards against a drain that aborts a request in flight or accepts new ones.
BOOST_AUTO_TEST_CASE(drain_finishes_requests_in_flight) {
    cluster c(small_cluster());
    BOOST_REQUIRE_MESSAGE(wait_for_runners(c, "entry-1"), c.logs());
    auto running =
        c.http().call_later(c.at("entry-1").http, make_request("long", "work_ms=1000 x"), 10s);
    BOOST_TEST(wait_until([&] { return executions(c, "long") == 1; }, 5s));
    BOOST_TEST(c.http().post(c.at("entry-1").http, "/v1/drain", "").status < 300U);
    BOOST_TEST(wait_until(
        [&] {
            const auto refused = c.http().call(c.at("entry-1").http, make_request("new", "x"));
            return refused.text("reason") == "draining" && refused.text("outcome") == "not_run";
        },
        800ms));
    BOOST_TEST(running.get().body == "answer:work_ms=1000 x");
    BOOST_TEST(executions(c, "long") == 1U);
}

// Guards against malformed header fields that are accepted with another meaning.
BOOST_AUTO_TEST_CASE(malformed_fields_are_refused) {
    cluster c(small_cluster());
    for (const auto& [field, value] :
         {std::pair{"X-Deadline-Ms", "soon"}, {"X-Class", "vip"}, {"X-Idempotent", "yes"}}) {
        auto request = make_request("bad", "x");
        request.fields.set(field, value);
        const auto result = c.http().call(c.at("entry-1").http, request);
        BOOST_TEST(result.status == 400U);
        BOOST_TEST(result.text("error.field") == field);
        BOOST_TEST(result.fields.get("X-Outcome") == "not_run");
    }
}

BOOST_AUTO_TEST_SUITE_END()
