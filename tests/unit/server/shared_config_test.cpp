#include "core/server/shared_config.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace buckthornspar;
using server::shared_config;

namespace {

/// Creates a record that sets max_tasks_per_job to the given value, by default to its version.
peer::config_record make_record(std::uint64_t version, std::uint64_t value) {
    config::accepted_patch p;
    p.version = version;
    p.id = "p" + std::to_string(version);
    p.author = "ana";
    p.changes = {{config::change_kind::set, "limits/max_tasks_per_job", std::to_string(value)}};
    p.reverse = p.changes;
    return {version, config::to_json(p)};
}

peer::config_record make_record(std::uint64_t version) {
    return make_record(version, version);
}

std::int64_t limit_of(const shared_config& config) {
    return config.in_force().in_force.get(config::limit::max_tasks_per_job);
}

} // namespace

BOOST_AUTO_TEST_SUITE(shared_config_test)

// Guards against a stale peer that reverts a process to an older configuration or changes the
// content of a version.
BOOST_AUTO_TEST_CASE(version_never_decreases) {
    std::vector<std::uint64_t> seen;
    shared_config shared(
        [&](std::uint64_t version, const config::configuration&) { seen.push_back(version); });
    shared.apply({make_record(1), make_record(2), make_record(3)});
    shared.apply({make_record(2), make_record(3, 77), make_record(4)});
    BOOST_TEST(shared.version() == 4U);
    BOOST_TEST((seen == std::vector<std::uint64_t>{3, 4}));
    BOOST_TEST(shared.since(3).size() == 1U);
    BOOST_TEST(shared.since(3).front().body == make_record(4).body);
    BOOST_TEST(limit_of(shared) == 4);
}

// Guards against a process that reports a version without having its content, because it lacks the
// changes of the preceding versions.
BOOST_AUTO_TEST_CASE(changes_without_their_base_are_not_applied) {
    shared_config source([](std::uint64_t, const config::configuration&) {});
    source.apply({make_record(1), make_record(2), make_record(3)});
    shared_config fresh([](std::uint64_t, const config::configuration&) {});
    fresh.apply({make_record(3)});
    BOOST_TEST(fresh.version() == 0U);
    fresh.apply(source.since(0));
    BOOST_TEST(fresh.version() == 3U);
    BOOST_TEST(limit_of(fresh) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
