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
    BOOST_TEST(balancer.fail(first[0].node, first[0].call, now));
    const auto second = balancer.take_ready(now);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].call.id == 1U);
    BOOST_TEST(second[0].node != first[0].node);
    const auto takes_calls = [&](common::time_point at) {
        for (std::uint64_t id = 2; id <= 20; ++id) {
            balancer.submit(call(id, 20ms));
        }
        bool taken = false;
        for (auto sent = balancer.take_ready(at); !sent.empty(); sent = balancer.take_ready(at)) {
            for (const auto& assigned : sent) {
                taken |= assigned.node == first[0].node;
                balancer.complete(assigned.node, assigned.call.id, at);
            }
        }
        return taken;
    };
    BOOST_TEST(!takes_calls(now + 1min));
    balancer.add_node(first[0].node);
    BOOST_TEST(takes_calls(now + 1min));
}

// Guards against a node that reaches the owner but not the advice service and attracts calls again
// with each sign of life, so that each of them waits until its time limit.
BOOST_AUTO_TEST_CASE(a_node_whose_calls_fail_again_and_again_is_used_less_and_less) {
    advice_balancer one;
    one.add_node("a");
    common::duration pause{0};
    for (int failures = 0; failures < 4; ++failures) {
        one.submit(call(1, 20ms));
        const auto taken = one.take_ready(now);
        BOOST_REQUIRE(taken.size() == 1U);
        BOOST_TEST(!one.fail("a", taken[0].call, now));
        const auto failed_at = now;
        while (one.free_slots(now).calls == 0) {
            now += 50ms;
            one.add_node("a");
        }
        BOOST_TEST((now - failed_at > pause));
        pause = now - failed_at;
    }
    BOOST_TEST((pause >= 4s));
}

// Guards against gangs that stand because the nodes that may take long calls do not reach the
// service, while one that is reserved for short calls does.
BOOST_AUTO_TEST_CASE(a_reserved_node_takes_long_calls_when_the_others_are_not_answered) {
    advice_balancer two;
    two.add_node("a");
    two.add_node("b");
    two.submit(call(1, 900ms));
    const auto taken = two.take_ready(now);
    BOOST_REQUIRE(taken.size() == 1U);
    BOOST_TEST(taken[0].node == "b");
    now += 2s;
    BOOST_TEST(two.fail("b", taken[0].call, now));
    const auto moved = two.take_ready(now);
    BOOST_REQUIRE(moved.size() == 1U);
    BOOST_TEST(moved[0].node == "a");
}

// Guards against requests that wait behind others until what they ask for is of no use.
BOOST_AUTO_TEST_CASE(free_slots_are_the_calls_that_can_begin_now) {
    const auto all = balancer.free_slots(now);
    BOOST_TEST(all.calls == 12U);
    BOOST_TEST(all.long_calls == 4U);
    std::uint64_t id = 1;
    for (; id <= 4; ++id) {
        balancer.submit(call(id, 900ms));
    }
    BOOST_TEST(balancer.take_ready(now).size() == 4U);
    BOOST_TEST(balancer.free_slots(now).long_calls == 0U);
    BOOST_TEST(balancer.free_slots(now).calls == 8U);
    for (; id <= 12; ++id) {
        balancer.submit(call(id, 20ms));
    }
    BOOST_TEST(balancer.free_slots(now).calls == 0U);
    BOOST_TEST(balancer.take_ready(now).size() == 8U);
    BOOST_TEST(balancer.free_slots(now).calls == 0U);
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
