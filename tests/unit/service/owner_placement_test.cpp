#include "core/service/owner_placement.h"

#include <boost/test/unit_test.hpp>

#include <utility>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

constexpr fleet_size fleet{350, 2600};
constexpr node_capability large{0.5, 200.0, 0, 0};
constexpr node_capability narrow{0.3, 10.0, 0, 0};
constexpr node_capability small{0.09, 10.0, 0, 0};

struct placement_fixture {
    /// Asks every 100 ms, as an owner does, and returns the first successor.
    std::optional<std::string> run(owner_placement& placement, common::duration length,
                                   const std::vector<ownership_candidate>& nodes) {
        for (const auto end = now + length; now < end; now += 100ms) {
            if (const auto target = placement.choose_successor(now, fleet, nodes)) {
                return target->node;
            }
        }
        return std::nullopt;
    }

    common::time_point now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_placement_suite, placement_fixture)

// Guards against a small node that keeps a fleet that it cannot carry.
BOOST_AUTO_TEST_CASE(a_more_suitable_node_is_chosen_after_some_time) {
    owner_placement placement(narrow);
    placement.on_term_begun(now);
    const std::vector<ownership_candidate> nodes{{"small", small, true}, {"large", large, true}};
    BOOST_TEST(!run(placement, 2900ms, nodes).has_value());
    const auto target = run(placement, 1s, nodes);
    BOOST_REQUIRE(target.has_value());
    BOOST_TEST(*target == "large");
}

// Guards against an ownership that moves on for nothing: the owner can carry the fleet, or the
// others are hardly more suitable.
BOOST_AUTO_TEST_CASE(no_hand_over_without_a_clear_advantage) {
    owner_placement carrying(large);
    carrying.on_term_begun(now);
    BOOST_TEST(!run(carrying, 60s, {{"larger", node_capability{4.0, 1000.0, 0, 0}, true}}));
    owner_placement nearly_equal(narrow);
    nearly_equal.on_term_begun(now);
    BOOST_TEST(!run(nearly_equal, 60s, {{"b", node_capability{0.3, 14.0, 0, 0}, true}}));
}

// Guards against nodes that hand over to each other in turn: whatever two nodes are like, at most
// one of them finds the other clearly more suitable.
BOOST_AUTO_TEST_CASE(two_nodes_never_take_turns) {
    const double shares[] = {0.05, 0.09, 0.12, 0.18, 0.2, 0.3, 0.5, 2.0};
    const double links[] = {1.0, 2.0, 8.0, 10.0, 14.0, 20.0, 30.0, 200.0};
    std::vector<node_capability> all;
    for (const auto share : shares) {
        for (const auto link : links) {
            all.push_back({share, link, 0, 0});
        }
    }
    for (const auto& a : all) {
        for (const auto& b : all) {
            owner_placement of_a(a);
            owner_placement of_b(b);
            of_a.on_term_begun(now);
            of_b.on_term_begun(now);
            const auto start = now;
            const bool a_hands_over = run(of_a, 5s, {{"b", b, true}}).has_value();
            now = start;
            const bool b_hands_over = run(of_b, 5s, {{"a", a, true}}).has_value();
            now = start;
            BOOST_TEST(!(a_hands_over && b_hands_over));
        }
    }
}

// Pattern: rolling restart. Guards against a hand-over to a node that has told nothing about
// itself, or by one that knows nothing about itself.
BOOST_AUTO_TEST_CASE(an_unknown_capability_is_never_better) {
    owner_placement placement(narrow);
    placement.on_term_begun(now);
    BOOST_TEST(!run(placement, 60s, {{"earlier_version", std::nullopt, true}}));
    owner_placement unknown(std::nullopt);
    unknown.on_term_begun(now);
    BOOST_TEST(!run(unknown, 60s, {{"large", large, true}}));
}

// Pattern: the store turns some nodes away, planned stop. Guards against a hand-over to a node that
// cannot claim, after which another small node becomes owner.
BOOST_AUTO_TEST_CASE(a_node_that_cannot_claim_is_not_chosen) {
    owner_placement placement(narrow);
    placement.on_term_begun(now);
    BOOST_TEST(!run(placement, 60s, {{"large", large, false}}));
}

// Pattern: flapping node. Guards against a hand-over to a node that comes and goes.
BOOST_AUTO_TEST_CASE(a_node_that_comes_and_goes_is_not_chosen) {
    owner_placement placement(narrow);
    placement.on_term_begun(now);
    for (int round = 0; round < 10; ++round) {
        BOOST_TEST(!run(placement, 2s, {{"large", large, true}}));
        BOOST_TEST(!run(placement, 500ms, {}));
    }
}

// Guards against hand-overs in quick succession when the more suitable node does not claim and this
// node becomes owner again.
BOOST_AUTO_TEST_CASE(hand_overs_are_limited) {
    owner_placement placement(narrow);
    const std::vector<ownership_candidate> nodes{{"large", large, true}};
    placement.on_term_begun(now);
    BOOST_REQUIRE(run(placement, 5s, nodes).has_value());
    placement.on_handed_over(now);
    placement.on_term_begun(now + 1s);
    BOOST_TEST(!run(placement, 29s, nodes).has_value());
    BOOST_TEST(run(placement, 2s, nodes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
