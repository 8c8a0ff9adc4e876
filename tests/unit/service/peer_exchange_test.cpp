#include "core/service/peer_exchange.h"

#include "core/net/http_server.h"
#include "core/service/owner_controller.h"
#include "fakes/fake_platform.h"
#include "unit/service/service_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace buckthornspar::service::test;
using namespace std::chrono_literals;
using dispatch::job_state;

namespace {

constexpr std::uint64_t fence = 7;

/// One node with its exchange, on a port of its own.
struct node {
    node(service_fixture& f, std::string id, std::int64_t limit)
        : platform(f.loop, f.store),
          client(f.loop, {}),
          health(f.clock),
          relay(client, f.store, health, [] { return std::optional<net::endpoint>(); }),
          name(std::move(id)),
          admission(limit),
          exchange({f.loop,
                    client,
                    f.clock,
                    counters,
                    directory,
                    platform.advice(),
                    platform.workers(),
                    relay,
                    name,
                    {"127.0.0.1", 1},
                    [this](const std::string& peer, const net::endpoint& address) {
                        seen_peers.insert(owner_name(peer, address));
                    },
                    [](const std::string&) {},
                    [this] { return pending; },
                    [](const owner_record&, bool) {},
                    &admission,
                    node_capability{0.3, 10.0, 400, 10250},
                    [this] { return may_claim; },
                    [this](const fleet_size& told) { fleet = told; }}) {}

    void follow(std::uint16_t port) {
        owner_record owner;
        owner.node = "owner";
        owner.fence = fence;
        owner.address = {"127.0.0.1", port};
        exchange.set_followed_owner(owner);
    }

    std::optional<net::http_response> call(const std::string& path, const std::string& body) {
        std::optional<net::http_response> response;
        exchange.handle(net::json_post(path, body),
                        [&](net::http_response r) { response = std::move(r); });
        return response;
    }

    common::counters counters;
    job_directory directory{120s};
    fakes::fake_platform platform;
    net::http_client client;
    store_health health;
    store_relay relay;
    std::string name;
    std::set<std::string> seen_peers;
    std::optional<pending_report> pending;
    bool may_claim = true;
    fleet_size fleet;
    job_admission admission;
    peer_exchange exchange;
};

/// Answers each request with the given body, after a delay.
class fixed_answer final : public net::http_handler {
public:
    explicit fixed_answer(net::event_loop& loop) : m_loop(loop) {}
    std::string body;
    common::duration delay{0};
    unsigned requests = 0;

    void handle(net::http_request /*request*/, net::http_reply reply) override {
        ++requests;
        m_loop.post_after(delay, [reply = std::move(reply), text = body] {
            reply(net::json_response(200, text));
        });
    }

private:
    net::event_loop& m_loop;
};

struct exchange_fixture : service_fixture {
    node owner{*this, "owner", 3'000'000};
    node follower{*this, "follower", 1'000'000};
    fixed_answer answers{loop};
    net::http_server owner_server{loop, {"127.0.0.1", 0}, {}, owner.exchange};
    net::http_server fixed_server{loop, {"127.0.0.1", 0}, {}, answers};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_exchange_suite, exchange_fixture)

// Pattern: saturated owner, slow link. Guards against a count of pending jobs that each hop takes
// for new, so that callers get one that is many seconds old (MIXED).
BOOST_AUTO_TEST_CASE(the_age_of_a_count_includes_what_the_owner_did_not_know) {
    owner.exchange.set_owned_fence(fence);
    owner.pending = pending_report{{{"q", 32}}, 2000ms};
    follower.follow(owner_server.port());
    BOOST_REQUIRE(run_until(
        [&] { return follower.directory.pending_of("q", clock.now(), 2900ms).has_value(); }));
    BOOST_TEST(!follower.directory.pending_of("q", clock.now(), 2000ms).has_value());
}

// Guards against an owner that cannot compare itself with the other nodes, and against nodes that
// judge themselves by a fleet of another size than the owner's.
BOOST_AUTO_TEST_CASE(the_owner_learns_capabilities_and_tells_the_size_of_the_fleet) {
    owner.exchange.set_owned_fence(fence);
    owner.pending = pending_report{{}, 0ms, 0, {350, 2600}};
    follower.follow(owner_server.port());
    BOOST_REQUIRE(run_until([&] { return follower.fleet == fleet_size{350, 2600}; }));
    const auto candidates = owner.exchange.candidates();
    BOOST_REQUIRE(candidates.size() == 1U);
    BOOST_TEST(candidates[0].node == "follower");
    BOOST_TEST((candidates[0].capability == node_capability{0.3, 10.0, 400, 10250}));
    BOOST_TEST(candidates[0].may_claim);
    follower.may_claim = false;
    BOOST_TEST(run_until([&] { return !owner.exchange.candidates()[0].may_claim; }, 3s));
}

// Pattern: busy event loop, slow link. Guards against a count that is taken for new because its
// response was on the way for long.
BOOST_AUTO_TEST_CASE(the_age_of_a_count_includes_the_time_on_the_way) {
    answers.delay = 700ms;
    answers.body = write_changes_response({1, {}, pending_report{{{"q", 32}}, 0ms}, 100ms});
    follower.follow(fixed_server.port());
    BOOST_REQUIRE(
        run_until([&] { return follower.directory.pending_of("q", clock.now(), 5s).has_value(); }));
    BOOST_TEST(!follower.directory.pending_of("q", clock.now(), 500ms).has_value());
}

// Guards against a successor that takes a late message of its predecessor, which followed an
// earlier owner then, for a sign that the predecessor's term has ended (TWICE).
BOOST_AUTO_TEST_CASE(only_a_node_that_follows_this_term_is_seen) {
    owner.exchange.set_owned_fence(fence + 1);
    follower.follow(owner_server.port());
    BOOST_TEST(!run_until([&] { return !owner.seen_peers.empty(); }, 500ms));
    owner.exchange.set_owned_fence(fence);
    BOOST_REQUIRE(run_until([&] { return !owner.seen_peers.empty(); }));
    BOOST_TEST(owner.seen_peers.contains(owner_name("follower", {"127.0.0.1", 1})));
}

// Guards against nodes that together accept more than the smallest of them, which may become the
// owner, can hold.
BOOST_AUTO_TEST_CASE(the_owner_divides_the_memory_for_jobs) {
    owner.exchange.set_owned_fence(fence);
    owner.pending = pending_report{{}, 0ms, 400'000};
    BOOST_TEST(follower.admission.admit(60'000));
    follower.admission.set_headroom(0);
    follower.follow(owner_server.port());
    // Half of what the follower, with a limit of 1,000,000 bytes, has left.
    bool admitted = false;
    BOOST_REQUIRE(run_until([&] {
        admitted = admitted || follower.admission.admit(290'000);
        return admitted;
    }));
    BOOST_TEST(!follower.admission.admit(20'000));
    BOOST_TEST(owner.exchange.headroom(400'000) == 300'000);
    BOOST_TEST(owner.exchange.headroom(2'000'000) == 0);
}

// Guards against a refusal of counts in quiet times: the owner holds a poll for most of a second,
// and its count is made when it responds.
BOOST_AUTO_TEST_CASE(the_time_for_which_a_poll_is_held_does_not_make_a_count_old) {
    owner.exchange.set_owned_fence(fence);
    owner.pending = pending_report{{{"q", 3}}, 0ms};
    follower.follow(owner_server.port());
    BOOST_REQUIRE(
        run_until([&] { return follower.directory.pending_of("q", clock.now(), 5s).has_value(); }));
    const auto answered_at = clock.now();
    BOOST_TEST(follower.directory.pending_of("q", answered_at, 400ms).has_value());
}

// Guards against a malformed message that ends a process or leaves its sender without an answer.
BOOST_DATA_TEST_CASE_F(exchange_fixture, malformed_requests_are_answered,
                       boost::unit_test::data::make({"/peer/changes", "/peer/advice", "/peer/state",
                                                     "/peer/worker-poll", "/peer/store"}) *
                           boost::unit_test::data::make({"", "{", "[]", "{}", "{\"node\":1}",
                                                         "{\"read\":7}", "{\"expect\":[[]]}"}),
                       path, body) {
    owner.exchange.set_owned_fence(fence);
    std::optional<net::http_response> response;
    BOOST_CHECK_NO_THROW(response = owner.call(path, body));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 400U);
}

// Guards against a time limit that overflows, and against a call without an answer that keeps its
// connection for good: the time comes from the message.
BOOST_DATA_TEST_CASE_F(exchange_fixture, an_odd_time_limit_of_an_advice_call_is_refused,
                       boost::unit_test::data::make({"-1", "-9223372036854775808", "4294967295",
                                                     "9223372036854775807", "1e300", "0.5"}),
                       expected) {
    const auto response = owner.call(
        "/peer/advice", R"({"job":"a","occurrence":0,"step":0,"workers":["w"],"expected_ms":)" +
                            std::string(expected) + "}");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->status == 400U);
}

// Guards against a node that repeats its request without a pause while the owner's responses cannot
// be read, which takes the processor time of both.
BOOST_AUTO_TEST_CASE(a_malformed_response_is_not_asked_for_again_at_once) {
    answers.body = "{";
    follower.follow(fixed_server.port());
    run_for(400ms);
    BOOST_TEST(answers.requests >= 2U);
    BOOST_TEST(answers.requests <= 4U);
}

// Guards against an exchange that stops, or a half applied message, after a malformed response.
BOOST_DATA_TEST_CASE_F(
    exchange_fixture, malformed_responses_do_not_end_the_exchange,
    boost::unit_test::data::make(
        {"", "{", "[]", "{}", "{\"next\":1,\"changes\":[[\"a\",\"q\",\"no\"]]}",
         "{\"next\":1,\"changes\":[[\"a\",\"q\",\"completed\"]],\"pending\":{\"q\":1}}"}),
    body) {
    answers.body = body;
    answers.delay = 20ms;
    follower.follow(fixed_server.port());
    BOOST_REQUIRE(run_until([&] { return answers.requests >= 2; }));
    BOOST_TEST(!follower.directory.state_of("a").has_value());
    BOOST_TEST(!follower.directory.pending_of("q", clock.now(), 60s).has_value());
    std::optional<dispatch::known_state> state = dispatch::known_state{job_state::running, {}};
    bool asked = false;
    follower.exchange.ask_state("b", [&](const std::optional<dispatch::known_state>& answer) {
        state = answer;
        asked = true;
    });
    BOOST_REQUIRE(run_until([&] { return asked; }));
    BOOST_TEST(!state.has_value());
    answers.body =
        write_changes_response({2, {{"a", "q", job_state::completed, ""}}, std::nullopt, 0ms});
    BOOST_TEST(run_until([&] { return follower.directory.state_of("a").has_value(); }));
}

// Guards against a poll of a worker through another node that never completes, or is taken for an
// answer of the worker, when the other node's response is malformed.
BOOST_AUTO_TEST_CASE(a_malformed_poll_result_is_no_answer) {
    owner.exchange.set_owned_fence(fence);
    const auto request =
        write_changes_request({"follower", {"127.0.0.1", fixed_server.port()}, fence, 1, {}});
    owner.call("/peer/changes", request);
    answers.body = "{\"status\":\"accepted\"}";
    std::optional<dispatch::poll_result> result;
    owner.exchange.poll_worker({"127.0.0.1", 1}, {"w1", fence, 0, 0, {}},
                               [&](dispatch::poll_result r) { result = std::move(r); });
    BOOST_REQUIRE(run_until([&] { return result.has_value(); }));
    BOOST_TEST((result->status == dispatch::order_status::no_answer));
    BOOST_TEST(!result->silence_confirmed);
}

BOOST_AUTO_TEST_SUITE_END()
