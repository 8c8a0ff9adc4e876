#include "core/service/node_capability.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t megabyte = std::int64_t{1} << 20U;
constexpr fleet_size fleet{350, 2600};

node_capability large_node() {
    return {0.5, 200.0, 512 * megabyte, 8192};
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_capability_suite)

// Guards against a node with a narrow link that claims as fast as one that can carry the fleet: the
// owner then falls behind its workers and loses runs.
BOOST_AUTO_TEST_CASE(each_resource_counts) {
    BOOST_TEST(suitability_of(large_node(), fleet).value == 1.0);
    BOOST_TEST((claim_delay_of(large_node(), fleet) == 0ms));
    auto node = large_node();
    node.link_mbps = 10.0;
    BOOST_TEST((suitability_of(node, fleet).shortest == node_resource::link));
    BOOST_TEST((claim_delay_of(node, fleet) > 300ms));
    node = large_node();
    node.cpu_share = 0.09;
    BOOST_TEST((suitability_of(node, fleet).shortest == node_resource::processor));
    BOOST_TEST((claim_delay_of(node, fleet) > 300ms));
    node = large_node();
    node.memory = 20 * megabyte;
    BOOST_TEST((suitability_of(node, fleet).shortest == node_resource::memory));
    node = large_node();
    node.max_fds = 1024;
    BOOST_TEST((suitability_of(node, fleet).shortest == node_resource::descriptors));
}

// Guards against a threshold that fits one fleet only: the same link carries a small fleet.
BOOST_AUTO_TEST_CASE(the_need_grows_with_the_fleet) {
    auto node = large_node();
    node.link_mbps = 10.0;
    BOOST_TEST((claim_delay_of(node, {50, 200}) == 0ms));
    const auto smaller = claim_delay_of(node, {200, 1000});
    BOOST_TEST((smaller < claim_delay_of(node, {350, 1000})));
    BOOST_TEST((claim_delay_of(node, {100'000, 1'000'000}) <= 1000ms));
    BOOST_TEST((claim_delay_of(node, {}) == 0ms));
}

// Guards against a node that lacks two resources and claims together with one that lacks only one.
BOOST_AUTO_TEST_CASE(shortfalls_add_up) {
    auto narrow = large_node();
    narrow.link_mbps = 10.0;
    auto narrow_and_slow = narrow;
    narrow_and_slow.cpu_share = 0.09;
    BOOST_TEST((claim_delay_of(narrow_and_slow, fleet) > claim_delay_of(narrow, fleet) + 50ms));
}

// Guards against a change for deployments that do not tell the link speed.
BOOST_AUTO_TEST_CASE(without_a_link_speed_only_the_processor_counts) {
    node_capability node{0.19, 0.0, megabyte, 100};
    BOOST_TEST((claim_delay_of(node, {1, 1}) == 700ms));
    node.cpu_share = 0.2;
    BOOST_TEST((claim_delay_of(node, {100'000, 1}) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
