#include "core/service/caller_limits.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

net::request_settings small_node_settings() {
    net::request_settings settings;
    settings.limits.max_body_bytes = std::size_t{1} << 20U;
    settings.idle_timeout = 60s;
    settings.resources.memory = std::int64_t{120} << 20U;
    settings.resources.message_memory_share = 0.125;
    settings.resources.max_body_bytes = settings.limits.max_body_bytes;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_limits_test)

// Guards against limits of the configuration that are not applied, and against settings that are
// lost where the configuration gives none.
BOOST_AUTO_TEST_CASE(given_limits_go_before_the_settings) {
    const auto settings = small_node_settings();
    const auto without = limits_in_force(settings, {});
    BOOST_TEST(without.limits.max_body_bytes == settings.limits.max_body_bytes);
    BOOST_TEST(without.limits.max_header_bytes == settings.limits.max_header_bytes);
    BOOST_TEST((without.idle_timeout == settings.idle_timeout));
    const auto given = limits_in_force(settings, {5000, 2000, 3s, 4s});
    BOOST_TEST(given.limits.max_body_bytes == 5000U);
    BOOST_TEST(given.limits.max_header_bytes == 2000U);
    BOOST_TEST((given.limits.header_timeout == 3s));
    BOOST_TEST((given.idle_timeout == 4s));
}

// Guards against a configuration whose limits a small node cannot hold.
BOOST_AUTO_TEST_CASE(given_limits_stay_within_the_memory) {
    const auto settings = small_node_settings();
    const auto large =
        limits_in_force(settings, {std::size_t{1} << 40U, std::size_t{1} << 40U, {}, {}});
    BOOST_TEST(large.limits.max_body_bytes == std::size_t{5} << 20U);
    BOOST_TEST(large.limits.max_header_bytes == std::size_t{64} << 10U);
    const auto small = limits_in_force(settings, {std::nullopt, 1, {}, {}});
    BOOST_TEST(small.limits.max_header_bytes == 1024U);
}

BOOST_AUTO_TEST_SUITE_END()
