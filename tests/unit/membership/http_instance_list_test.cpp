#include "core/membership/http_instance_list.h"

#include "core/common/counters.h"
#include "core/common/error.h"
#include "core/membership/instance_format.h"
#include "core/net/event_loop.h"
#include "core/net/http_server.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace buckthornspar;
using namespace buckthornspar::membership;
using namespace std::chrono_literals;

namespace {

const std::string good_list =
    R"({"index":7,"instances":[)"
    R"({"id":"w1","role":"worker","address":"127.0.0.1:9000","place":"p","region":"r","rack":"k",)"
    R"("state":"leaving"},)"
    R"({"id":"r1","role":"runner","address":"127.0.0.1:9001","place":"p","region":"r","rack":"k",)"
    R"("state":"live","service":"planner","slots":8},)"
    R"({"id":"x1","role":"cache","address":"127.0.0.1:9002","place":"p","region":"r","rack":"k",)"
    R"("state":"live"}]})";

class list_handler final : public net::http_handler {
public:
    void handle(net::http_request request, net::http_reply reply) override {
        target = request.target;
        reply(answer);
    }

    net::http_response answer;
    std::string target;
};

struct list_fixture {
    list_fixture() { loop.start(); }

    std::optional<instance_snapshot> fetch() {
        std::promise<std::optional<instance_snapshot>> promise;
        list->fetch([&](std::optional<instance_snapshot> s) { promise.set_value(std::move(s)); });
        return promise.get_future().get();
    }

    net::event_loop loop;
    common::counters counts;
    list_handler handler;
    net::http_server server{loop, {"127.0.0.1", 0}, {}, handler};
    std::unique_ptr<instance_list> list = instance_list_registry::instance().make(
        "http", {loop, counts, {"127.0.0.1", server.port()}, 1s});
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_instance_list_suite)

// Guards against one entry with a role of a newer platform that makes the whole list unusable.
BOOST_AUTO_TEST_CASE(unknown_role_is_skipped) {
    std::size_t skipped = 0;
    const auto snapshot = read_instances(good_list, &skipped);
    BOOST_TEST(skipped == 1U);
    BOOST_REQUIRE(snapshot.instances.size() == 2U);
    BOOST_TEST(snapshot.instances[0].id == "w1");
    BOOST_TEST(snapshot.instances[1].id == "r1");
}

// Guards against a malformed list that is accepted.
BOOST_AUTO_TEST_CASE(malformed_list_is_rejected) {
    const std::string twice =
        R"({"index":1,"instances":[{"id":"a","role":"worker","address":"127.0.0.1:1","state":"live"},)"
        R"({"id":"a","role":"worker","address":"127.0.0.1:2","state":"live"}]})";
    const std::string no_address =
        R"({"index":1,"instances":[{"id":"a","role":"worker","address":"x","state":"live"}]})";
    for (const std::string& text :
         {std::string(), std::string("[]"), std::string(R"({"index":"x","instances":[]})"),
          std::string(R"({"instances":[]})"), std::string(R"({"index":1,"instances":{}})"), twice,
          no_address}) {
        BOOST_CHECK_THROW((void)read_instances(text), common::format_error);
    }
}

// Guards against failures to read the list that are not reported or counted.
BOOST_FIXTURE_TEST_CASE(adapter_reports_failures, list_fixture) {
    const auto fetch_answer = [&](unsigned status, const std::string& body) {
        handler.answer.status = status;
        handler.answer.body = body;
        return fetch();
    };
    BOOST_TEST(fetch_answer(200, good_list).has_value());
    BOOST_TEST(handler.target == "/v1/instances");
    BOOST_TEST(!fetch_answer(503, "").has_value());
    BOOST_TEST(!fetch_answer(200, "{}").has_value());
    loop.stop();
    BOOST_TEST(counts.get("instance_list_errors_total", "kind", "status_503").value() == 1);
    BOOST_TEST(counts.get("instance_list_errors_total", "kind", "bad_answer").value() == 1);
    BOOST_TEST(counts.get("instance_list_entries_skipped_total").value() == 1);
}

// Guards against polls that each transfer the whole list, and against an unchanged list that is
// treated as empty.
BOOST_FIXTURE_TEST_CASE(unchanged_list_is_not_transferred_again, list_fixture) {
    handler.answer = net::json_response(200, good_list);
    BOOST_REQUIRE(fetch().has_value());
    handler.answer = {};
    handler.answer.status = 304;
    const auto again = fetch();
    BOOST_TEST(handler.target == "/v1/instances?index=7");
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->instances.size() == 2U);
    loop.stop();
}

// Guards against one odd entry that makes the whole list unusable: all processes stopped following
// it.
BOOST_AUTO_TEST_CASE(odd_entries_are_skipped) {
    const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    const std::vector<std::string> odd_entries{
        R"({"id":"w9","role":"worker","address":"127.0.0.1:70000","state":"live"})",
        R"({"id":"w9","role":"worker","address":"127.0.0.1:-1","state":"live"})",
        R"({"id":"w9","role":"runner","address":"127.0.0.1:1","state":"live","slots":1e300})",
        R"({"id":"w9","role":"runner","address":"127.0.0.1:1","state":"live","slots":99999999999999999999999})",
        R"({"id":"w9","role":"runner","address":"127.0.0.1:1","state":"live","slots":1e99999999999})",
        R"({"id":"w9","role":"worker","state":"live"})",
        R"({"id":7,"role":"worker","address":"127.0.0.1:1","state":"live"})",
        R"({"id":"w9","role":"worker","address":"127.0.0.1:1","state":"resting"})",
        R"("a, b], \" ]")",
        "null",
        "{",
        R"({"x":)" + deep + "}",
        deep,
    };
    for (const auto& odd : odd_entries) {
        BOOST_TEST_CONTEXT(odd.substr(0, 100)) {
            auto text = good_list;
            text.insert(text.find("{\"id\":\"r1\""), odd + " , ");
            if (odd == "{") {
                BOOST_CHECK_THROW((void)read_instances(text), common::format_error);
                continue;
            }
            const auto snapshot = read_instances(text);
            BOOST_TEST(snapshot.unreadable == 1U);
            BOOST_REQUIRE(snapshot.instances.size() == 2U);
            BOOST_TEST(snapshot.instances[0].id == "w1");
            BOOST_TEST(snapshot.instances[1].id == "r1");
            BOOST_TEST(snapshot.index == 7U);
        }
    }
}

// Guards against a live instance that is taken for gone, because its entry cannot be read.
BOOST_FIXTURE_TEST_CASE(an_unreadable_entry_removes_no_instance, list_fixture) {
    handler.answer = net::json_response(200, good_list);
    BOOST_REQUIRE(fetch().has_value());
    auto text = good_list;
    text.replace(text.find(":9000"), 5, ":90000");
    handler.answer = net::json_response(200, text);
    const auto snapshot = fetch();
    BOOST_REQUIRE(snapshot.has_value());
    BOOST_REQUIRE(snapshot->instances.size() == 2U);
    BOOST_TEST(snapshot->instances[0].id == "r1");
    BOOST_TEST(snapshot->instances[1].id == "w1");
    BOOST_TEST(snapshot->instances[1].address.port == 9000U);
}

BOOST_AUTO_TEST_SUITE_END()
