#include "core/config/config_view.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::config;

namespace {

/// Records of versions 1 to count, each of which sets one limit.
std::vector<version_record> make_records(std::uint64_t count) {
    std::vector<version_record> records;
    for (std::uint64_t v = 1; v <= count; ++v) {
        accepted_patch p;
        p.version = v;
        p.id = "p" + std::to_string(v);
        p.author = "ana";
        p.changes = {{change_kind::set, "limits/max_tasks_per_job", std::to_string(v)}};
        p.reverse = p.changes;
        records.push_back({v, to_json(p)});
    }
    return records;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_view_suite)

// Guards against a decreasing version when old records arrive late or twice.
BOOST_AUTO_TEST_CASE(old_records_change_nothing) {
    config_view view;
    const auto records = make_records(3);
    BOOST_TEST(view.apply({records[1], records[0]}));
    BOOST_TEST(view.version() == 2U);
    BOOST_TEST(!view.apply({records[0]}));
    BOOST_TEST(!view.apply(records.empty() ? records : std::vector{records[1]}));
    BOOST_TEST(view.apply({records[2], records[0], records[2]}));
    BOOST_TEST(view.in_force().get(limit::max_tasks_per_job) == 3);
}

// Guards against applying a record whose predecessor is missing.
BOOST_AUTO_TEST_CASE(gap_is_not_applied) {
    config_view view;
    const auto records = make_records(3);
    BOOST_TEST(!view.apply({records[2]}));
    BOOST_TEST(view.is_behind(3));
    BOOST_TEST(!view.apply({{7, "not json"}}));
}

// Guards against records that do not bring a peer up to date.
BOOST_AUTO_TEST_CASE(since_returns_patches_or_the_whole_version) {
    config_view source(2);
    source.apply(make_records(5));
    BOOST_TEST(source.since(5).empty());
    BOOST_TEST(source.since(3).size() == 2U);
    BOOST_TEST(source.since(0).size() == 1U);
    config_view fresh;
    BOOST_TEST(fresh.apply(source.since(fresh.version())));
    BOOST_TEST(fresh.version() == 5U);
    BOOST_TEST((fresh.in_force() == source.in_force()));
}

// Guards against a region without a watcher, and against several watchers.
BOOST_AUTO_TEST_CASE(lowest_live_id_watches) {
    BOOST_TEST(is_region_watcher("c2", {}));
    BOOST_TEST(is_region_watcher("c1", {{"c2", true}, {"c3", true}}));
    BOOST_TEST(!is_region_watcher("c2", {{"c1", true}, {"c3", true}}));
    BOOST_TEST(is_region_watcher("c2", {{"c1", false}, {"c3", true}}));
}

BOOST_AUTO_TEST_SUITE_END()
