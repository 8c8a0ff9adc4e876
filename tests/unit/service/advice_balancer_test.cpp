#include "core/service/advice_balancer.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

dispatch::advice_call call(std::uint64_t id, common::duration expected, int priority = 0) {
    dispatch::advice_call result;
    result.id = id;
    result.expected = expected;
    result.priority = priority;
    return result;
}

struct balancer_fixture {
    balancer_fixture() {
        for (const auto* const node : {"a", "b", "c", "d", "e", "f"}) {
            balancer.add_node(node);
        }
    }
    advice_balancer balancer;
    common::time_point now{10s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(advice_balancer_suite, balancer_fixture)

// Guards against calls that queue up at one node while others are idle: the advice service handles
// one call at a time for each node.
BOOST_AUTO_TEST_CASE(calls_are_spread_over_the_nodes) {
    for (std::uint64_t id = 1; id <= 4; ++id) {
        balancer.submit(call(id, 900ms));
    }
    std::set<std::string> nodes;
    for (const auto& assigned : balancer.take_ready(now)) {
        nodes.insert(assigned.node);
    }
    BOOST_TEST(nodes.size() == 4U);
}

// Guards against urgent short calls that wait behind long ones, as in a burst of large jobs.
BOOST_AUTO_TEST_CASE(long_calls_leave_nodes_for_short_ones) {
    for (std::uint64_t id = 1; id <= 20; ++id) {
        balancer.submit(call(id, 900ms, 1));
    }
    std::set<std::string> busy;
    for (const auto& assigned : balancer.take_ready(now)) {
        busy.insert(assigned.node);
    }
    BOOST_TEST(busy.size() == 4U);
    balancer.submit(call(100, 20ms));
    const auto taken = balancer.take_ready(now);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(!busy.contains(taken[0].node));
}

// Guards against a call that is never sent because no node was available when it was submitted.
BOOST_AUTO_TEST_CASE(waiting_calls_go_to_nodes_added_later) {
    advice_balancer none;
    none.submit(call(1, 20ms));
    BOOST_TEST(none.take_ready(now).empty());
    none.add_node("x");
    BOOST_TEST(none.take_ready(now).size() == 1U);
}

// Guards against a stopped node that attracts all calls because calls to it fail at once, as when
// nodes are stopped one after another.
BOOST_AUTO_TEST_CASE(a_node_whose_call_failed_gets_no_more_until_it_is_added_again) {
    balancer.submit(call(1, 20ms));
    const auto first = balancer.take_ready(now);
    BOOST_REQUIRE(first.size() == 1U);
    balancer.fail(first[0].node, first[0].call);
    BOOST_TEST(!balancer.has_node(first[0].node));
    const auto second = balancer.take_ready(now);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].call.id == 1U);
    BOOST_TEST(second[0].node != first[0].node);
}

// Guards against calls through distant nodes while near ones are free.
BOOST_AUTO_TEST_CASE(nodes_with_less_overhead_are_preferred) {
    for (std::uint64_t id = 1; id <= 6; ++id) {
        balancer.submit(call(id, 20ms));
    }
    std::string near;
    for (const auto& assigned : balancer.take_ready(now)) {
        const bool is_near = assigned.node == "d";
        near = is_near ? assigned.node : near;
        balancer.complete(assigned.node, assigned.call.id, now + (is_near ? 22ms : 100ms));
    }
    balancer.submit(call(7, 20ms));
    const auto taken = balancer.take_ready(now + 1s);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].node == near);
}

BOOST_AUTO_TEST_SUITE_END()
