#include "core/service/peer_messages.h"

#include "core/common/error.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using dispatch::job_state;

BOOST_AUTO_TEST_SUITE(peer_messages_suite)

// Guards against a new owner that has not read the jobs yet reporting that none is pending.
BOOST_AUTO_TEST_CASE(unknown_counts_are_not_reported_as_zero) {
    changes_response response;
    response.next = 7;
    BOOST_TEST(!read_changes_response(write_changes_response(response)).pending.has_value());
    response.pending.emplace();
    BOOST_TEST(read_changes_response(write_changes_response(response)).pending.has_value());
    response.pending = pending_report{{{"q", 3}}, std::chrono::milliseconds(250)};
    response.held = std::chrono::milliseconds(700);
    const auto read = read_changes_response(write_changes_response(response));
    BOOST_REQUIRE(read.pending.has_value());
    BOOST_TEST((read.pending->counts == pending_counts{{"q", 3}}));
    BOOST_TEST((read.pending->age == std::chrono::milliseconds(250)));
    BOOST_TEST((read.held == std::chrono::milliseconds(700)));
}

// Pattern: rolling restart. Guards against a message of an earlier version that is refused, or
// taken for one of a node that can carry nothing.
BOOST_AUTO_TEST_CASE(the_capability_and_the_fleet_may_be_absent) {
    changes_request request{"n1", {"10.0.0.1", 7720}, 14, 9, {}};
    BOOST_TEST(!read_changes_request(write_changes_request(request)).capability.has_value());
    request.capability = node_capability{0.3, 10.0, 400, 10250};
    request.may_claim = true;
    const auto read = read_changes_request(write_changes_request(request));
    BOOST_TEST((read.capability == request.capability));
    BOOST_TEST(read.may_claim);
    changes_response response;
    response.pending.emplace();
    response.pending->fleet = {350, 2600};
    const auto answer = read_changes_response(write_changes_response(response));
    BOOST_TEST((answer.pending->fleet == fleet_size{350, 2600}));
    const auto earlier = read_changes_response(
        R"({"next":1,"changes":[],"pending":{},"pending_age_ms":0,"held_ms":0})");
    BOOST_TEST((earlier.pending->fleet == fleet_size{}));
}

BOOST_AUTO_TEST_CASE(messages_are_read_as_written) {
    const auto request =
        read_changes_request(write_changes_request({"n1", {"10.0.0.1", 7720}, 14, 9, {"a"}}));
    BOOST_TEST(request.node == "n1");
    BOOST_TEST(request.address.port == 7720);
    BOOST_TEST(request.fence == 14U);
    BOOST_TEST(request.after == 9U);
    BOOST_TEST(request.follow == std::vector<std::string>{"a"});
    const auto query = read_state_request(write_state_request({"n1", 14, "a"}));
    BOOST_TEST(query.node == "n1");
    BOOST_TEST(query.fence == 14U);
    BOOST_TEST(query.job == "a");
    const auto known = read_state_response(write_state_response({job_state::failed, {"q", "c"}}));
    BOOST_TEST((known.state == job_state::failed));
    BOOST_TEST((known.origin == customers::job_origin{"q", "c"}));
    changes_response response;
    response.next = 12;
    response.changes.push_back({"a", "q", job_state::completed, ""});
    response.changes.push_back({"b", "q", job_state::running, "", "c"});
    const auto read = read_changes_response(write_changes_response(response));
    BOOST_TEST(read.next == 12U);
    BOOST_REQUIRE(read.changes.size() == 2U);
    BOOST_TEST(read.changes[0].customer.empty());
    BOOST_TEST(read.changes[1].customer == "c");
    BOOST_TEST(read.changes[0].job == "a");
    BOOST_TEST((read.changes[0].state == job_state::completed));
}

// Guards against ended runs that are lost or mixed up on the way through another node.
BOOST_AUTO_TEST_CASE(a_poll_through_another_node_is_read_as_written) {
    worker_poll_request request;
    request.worker_address = {"10.0.0.9", 8420};
    request.order = {"w1", 14, 57, 486000, {}};
    const auto order = read_worker_poll_request(write_worker_poll_request(request)).order;
    BOOST_TEST(order.worker == "w1");
    BOOST_TEST(order.fence == 14U);
    BOOST_TEST(order.ends_saved == 57U);
    BOOST_TEST(order.valid_until_ms == 486000);

    dispatch::poll_result result;
    result.status = dispatch::order_status::accepted;
    result.clock_ms = 482113;
    result.start_time_ms = 5;
    result.running.push_back({{{"a", 1, 2, 3}, 4}, "c", 41});
    result.ended.push_back({58, {{"b", 0, 1, 9}, 1}, dispatch::run_end::broken, "d"});
    const auto read = read_poll_result(write_poll_result(result));
    BOOST_TEST((read.status == dispatch::order_status::accepted));
    BOOST_TEST(read.clock_ms == 482113);
    BOOST_TEST(read.start_time_ms == 5);
    BOOST_REQUIRE(read.running.size() == 1U);
    BOOST_TEST((read.running[0].run == dispatch::run_key{{"a", 1, 2, 3}, 4}));
    BOOST_TEST(read.running[0].percent == 41);
    BOOST_REQUIRE(read.ended.size() == 1U);
    BOOST_TEST(read.ended[0].number == 58U);
    BOOST_TEST((read.ended[0].run == dispatch::run_key{{"b", 0, 1, 9}, 1}));
    BOOST_TEST((read.ended[0].how == dispatch::run_end::broken));
    BOOST_TEST(read.ended[0].checkpoint == "d");
}

// Guards against one malformed message ending the process or being half applied.
BOOST_AUTO_TEST_CASE(malformed_messages_are_format_errors) {
    for (const auto* text :
         {"", "[]", "{", "{\"next\":1}", "{\"next\":-1,\"changes\":[]}",
          "{\"next\":1,\"changes\":[[1,2,3]]}", "{\"next\":1,\"changes\":[[\"a\",\"q\",\"no\"]]}",
          "{\"next\":1,\"changes\":[],\"pending\":{\"q\":1}}",
          "{\"next\":1,\"changes\":[],\"pending\":{\"q\":-1},\"pending_age_ms\":1,\"held_ms\":1}",
          R"({"next":1,"changes":[],"pending":{"q":1},"pending_age_ms":-1,"held_ms":1})"}) {
        BOOST_CHECK_THROW(static_cast<void>(read_changes_response(text)), common::error);
    }
    const auto poll_result_with = [](const std::string& clock, const std::string& start_time) {
        return R"({"status":"accepted","clock":)" + clock + R"(,"start_time_ms":)" + start_time +
               R"(,"running":[],"ended":[]})";
    };
    BOOST_CHECK_NO_THROW(static_cast<void>(read_poll_result(poll_result_with("1", "1"))));
    // Sums with a clock of the worker would overflow.
    for (const auto* number : {"-1", "9223372036854775807", "-9223372036854775808", "1e300"}) {
        BOOST_CHECK_THROW(static_cast<void>(read_poll_result(poll_result_with(number, "1"))),
                          common::error);
        BOOST_CHECK_THROW(static_cast<void>(read_poll_result(poll_result_with("1", number))),
                          common::error);
    }
    for (const auto* text :
         {"", "{}", "{\"node\":1}", "{\"node\":\"n\",\"address\":\"x\",\"fence\":1,\"after\":0}"}) {
        BOOST_CHECK_THROW(static_cast<void>(read_changes_request(text)), common::error);
        BOOST_CHECK_THROW(static_cast<void>(read_worker_poll_request(text)), common::error);
        BOOST_CHECK_THROW(static_cast<void>(read_poll_result(text)), common::error);
        BOOST_CHECK_THROW(static_cast<void>(read_state_request(text)), common::error);
        BOOST_CHECK_THROW(static_cast<void>(read_state_response(text)), common::error);
    }
}

BOOST_AUTO_TEST_SUITE_END()
