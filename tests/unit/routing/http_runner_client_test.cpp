#include "core/net/event_loop.h"
#include "core/net/http_server.h"
#include "core/routing/http_runner_client.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

// Answers each call with a prepared response and records the request.
class scripted_runner final : public net::http_handler {
public:
    void handle(net::http_request request, net::http_reply reply) override {
        last = std::move(request);
        reply(next);
    }

    net::http_request last;
    net::http_response next;
};

struct client_fixture {
    client_fixture() : server(loop, {"127.0.0.1", 0}, {}, runner), client(loop, {"e1"}) {
        loop.start();
    }
    ~client_fixture() { loop.stop(); }

    [[nodiscard]] run_call call() const {
        run_call c;
        c.token = 7;
        c.address = {"127.0.0.1", server.port()};
        c.service = "planner";
        c.request_id = "id1";
        c.remaining = 1500us;
        c.body = std::make_shared<const std::string>("work");
        return c;
    }

    run_result run(const run_call& c) {
        std::promise<run_result> done;
        client.run(c, [&](run_result r) { done.set_value(std::move(r)); });
        return done.get_future().get();
    }

    query_result query(query_kind kind) {
        query_call c{9, kind, "r1", {"127.0.0.1", server.port()}, "id1"};
        std::promise<query_result> done;
        client.query(c, [&](query_result r) { done.set_value(std::move(r)); });
        return done.get_future().get();
    }

    void respond(unsigned status, std::initializer_list<std::pair<const char*, const char*>> fields,
                 const std::string& body) {
        runner.next = {};
        runner.next.status = status;
        runner.next.body = body;
        for (const auto& [name, value] : fields) {
            runner.next.fields.set(name, value);
        }
    }

    net::event_loop loop;
    scripted_runner runner;
    net::http_server server;
    http_runner_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_runner_client_test, client_fixture)

// Guards against deviations from the documented runner protocol.
BOOST_AUTO_TEST_CASE(runs_follow_the_protocol) {
    respond(200,
            {{"X-Request-Id", "id1"},
             {"X-Outcome", "ran"},
             {"X-Slots-Free", "3"},
             {"X-Incarnation", "i1"}},
            "result");
    const run_result result = run(call());
    BOOST_TEST((result.kind == run_result_kind::answered));
    BOOST_TEST(result.body == "result");
    BOOST_TEST(result.report.slots_free.value() == 3U);
    BOOST_TEST(runner.last.target == "/v1/run/planner");
    BOOST_TEST(runner.last.fields.get("X-Deadline-Ms") == "2");
    BOOST_TEST(runner.last.fields.get("X-Origin") == "e1");
    BOOST_TEST(runner.last.body == "work");
}

// Guards against treating a refusal as an answer, or an invalid response as a refusal.
BOOST_AUTO_TEST_CASE(only_a_stated_refusal_counts_as_not_run) {
    respond(503, {{"X-Request-Id", "id1"}, {"X-Outcome", "not_run"}, {"X-Reason", "leaving"}}, "");
    const run_result refused = run(call());
    BOOST_TEST((refused.kind == run_result_kind::refused));
    BOOST_TEST((refused.refusal == runner_refusal::leaving));
    respond(503, {}, "from some middlebox");
    BOOST_TEST((run(call()).kind == run_result_kind::lost));
    respond(503, {{"X-Outcome", "not_run"}, {"X-Reason", "mood"}}, "");
    BOOST_TEST((run(call()).kind == run_result_kind::lost));
}

// Guards against settling a request that was never sent as if it might have run.
BOOST_AUTO_TEST_CASE(connect_failure_counts_as_not_sent) {
    run_call c = call();
    c.address.port = 1;
    const run_result result = run(c);
    BOOST_TEST((result.kind == run_result_kind::not_sent));
    BOOST_TEST(result.unreachable);
}

// Guards against wrong request states during settlement.
BOOST_AUTO_TEST_CASE(queries_follow_the_protocol) {
    respond(200, {}, R"({"state":"cancelled_before_start"})");
    BOOST_TEST((query(query_kind::cancel).state.value() == run_state::cancelled_before_start));
    BOOST_TEST((runner.last.method == net::http_method::del));
    respond(200, {}, "{");
    BOOST_TEST(!query(query_kind::ask).state.has_value());
    respond(404, {}, "");
    BOOST_TEST((query(query_kind::fetch).state.value() == run_state::not_seen));
    BOOST_TEST(runner.last.target == "/v1/run/id1/answer");
}

BOOST_AUTO_TEST_SUITE_END()
