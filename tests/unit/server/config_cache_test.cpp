#include "core/server/config_cache.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using buckthornspar::server::config_cache;

BOOST_AUTO_TEST_SUITE(config_cache_test)

// Guards against a stale peer that takes a process back to an older configuration.
BOOST_AUTO_TEST_CASE(version_only_grows) {
    std::vector<std::uint64_t> seen;
    config_cache cache([&](std::uint64_t version, const std::string&) { seen.push_back(version); });
    cache.apply({{3, "three"}});
    cache.apply({{2, "two"}, {3, "other"}, {4, "four"}});
    BOOST_TEST(cache.version() == 4U);
    BOOST_TEST((seen == std::vector<std::uint64_t>{3, 4}));
    BOOST_TEST(cache.since(3).size() == 1U);
    BOOST_TEST(cache.since(3).front().body == "four");
}

BOOST_AUTO_TEST_SUITE_END()
