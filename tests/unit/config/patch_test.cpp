#include "core/config/patch.h"

#include "core/config/config_history.h"
#include "core/config/configuration_error.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::config;

namespace {

const char* const quota_json = R"({"cpu_milli":1000,"memory_mb":2000,"accelerators":0})";

accepted_patch make_version(const config_history& history, const std::string& id,
                            const std::vector<change>& changes) {
    accepted_patch p;
    p.version = history.version() + 1;
    p.id = id;
    p.author = "ana";
    p.time_ms = 1;
    p.changes = changes;
    p.reverse = reverse_changes(history.in_force(), changes);
    return p;
}

} // namespace

BOOST_AUTO_TEST_SUITE(patch_suite)

// Guards against accepting patches that are only partly valid.
BOOST_AUTO_TEST_CASE(patch_is_read_as_a_whole_or_refused) {
    const std::string text =
        R"({"id":"p1","author":"ana","base_version":3,"dry_run":true,"changes":[)"
        R"({"op":"set","path":"limits/max_tasks_per_job","value":5},)"
        R"({"op":"remove","path":"quotas/vision"}]})";
    const patch p = read_patch(text);
    BOOST_TEST(p.changes.size() == 2U);
    BOOST_TEST(p.dry_run);
    BOOST_TEST(to_json(read_patch(to_json(p))) == to_json(p));
    const char* const overlapping =
        R"({"id":"p","author":"a","base_version":1,"changes":[{"op":"remove","path":"a/b"},)"
        R"({"op":"remove","path":"a/b/c"}]})";
    const char* const bad[] = {
        "",
        "{}",
        "7",
        R"({"id":"p","author":"a","base_version":1})",
        R"({"id":"","author":"a","base_version":1,"undo":1})",
        R"({"id":"p","author":"a","base_version":-1,"undo":1})",
        R"({"id":"p","author":"a","base_version":1,"undo":1,"force":true})",
        R"({"id":"p","author":"a","base_version":1,"undo":1,"dry_run":1})",
        R"({"id":"p","author":"a","base_version":1,"changes":[{"op":"add","path":"a/b"}]})",
        R"({"id":"p","author":"a","base_version":1,"changes":[{"op":"set","path":"a/b"}]})",
        R"({"id":"p","author":"a","base_version":1,"changes":[{"op":"remove","path":"limits"}]})",
        R"({"id":"p","author":"a","base_version":1,"changes":[{"op":"remove","path":"a//b"}]})",
        overlapping,
    };
    for (const char* const json : bad) {
        BOOST_TEST_CONTEXT(json) {
            BOOST_CHECK_THROW((void)read_patch(json), configuration_error);
        }
    }
}

// Guards against a partly applied patch when a later change is refused.
BOOST_AUTO_TEST_CASE(changes_apply_together_or_not_at_all) {
    const configuration base;
    const std::vector<change> good{{change_kind::set, "quotas/vision", quota_json}};
    BOOST_TEST(apply_changes(base, good, {}).quotas.at("vision").cpu_milli == 1000);
    const std::vector<change> bad{{change_kind::set, "quotas/vision", quota_json},
                                  {change_kind::remove, "quotas/sound", ""}};
    BOOST_CHECK_THROW((void)apply_changes(base, bad, {}), configuration_error);
    const std::vector<change> below_number{{change_kind::set, "limits/max_tasks_per_job/x", "1"}};
    BOOST_CHECK_THROW((void)apply_changes(base, below_number, {}), configuration_error);
}

// Guards against reverse changes that do not restore the exact state, including objects created
// field by field.
BOOST_AUTO_TEST_CASE(reverse_changes_restore_the_base) {
    const std::vector<std::vector<change>> cases{
        {{change_kind::set, "quotas/vision", quota_json}},
        {{change_kind::set, "quotas/vision/cpu_milli", "1"},
         {change_kind::set, "quotas/vision/memory_mb", "2"},
         {change_kind::set, "quotas/vision/accelerators", "3"}},
        {{change_kind::remove, "quotas/sound", ""}},
        {{change_kind::set, "limits/max_tasks_per_job", "9"},
         {change_kind::remove, "workload_policies/batch", ""}},
    };
    configuration base;
    base.quotas["sound"] = {1, 2, 3};
    base.workload_policies["batch"].max_attempts = 77;
    for (const auto& changes : cases) {
        const configuration after = apply_changes(base, changes, {});
        BOOST_TEST((after != base));
        BOOST_TEST((apply_changes(after, reverse_changes(base, changes), {}) == base));
    }
}

// Guards against missed conflicts between a field and the object that contains it.
BOOST_AUTO_TEST_CASE(paths_overlap_by_whole_names) {
    BOOST_TEST(paths_overlap("quotas/a", "quotas/a"));
    BOOST_TEST(paths_overlap("quotas/a", "quotas/a/cpu_milli"));
    BOOST_TEST(!paths_overlap("quotas/a", "quotas/ab"));
    BOOST_TEST(!paths_overlap("quotas/a/cpu_milli", "quotas/a/memory_mb"));
}

// Guards against a diff that omits a field.
BOOST_AUTO_TEST_CASE(diff_shows_each_field) {
    configuration after;
    after.quotas["vision"] = {1, 2, 3};
    after.limits[0] = 5;
    const auto found = diff({}, after);
    BOOST_REQUIRE(found.size() == 4U);
    BOOST_TEST(found[0].path == "quotas/vision/cpu_milli");
    BOOST_TEST(found[0].before.empty());
    BOOST_TEST(found[0].after == "1");
    BOOST_TEST(found[3].path == "limits/max_tasks_per_job");
    BOOST_TEST(diff(after, after).empty());
}

// Guards against a history that cannot return or identify versions that it still keeps.
BOOST_AUTO_TEST_CASE(history_shows_earlier_versions) {
    config_history history(3);
    std::vector<configuration> versions{history.in_force()};
    for (int i = 1; i <= 5; ++i) {
        const std::string value = std::to_string(i);
        BOOST_TEST(history.apply(make_version(
            history, "p" + value, {{change_kind::set, "limits/max_tasks_per_job", value}})));
        versions.push_back(history.in_force());
    }
    BOOST_TEST((history.at(5) == versions[5]));
    BOOST_TEST((history.at(2) == versions[2]));
    BOOST_TEST(!history.at(1).has_value());
    BOOST_TEST(history.find_id("p2") == nullptr);
    BOOST_TEST(history.find_id("p3")->version == 3U);
    BOOST_TEST(history.conflicting_paths(4, {{change_kind::remove, "limits/max_tasks_per_job", ""}})
                   .size() == 1U);
    BOOST_TEST(history.conflicting_paths(4, {{change_kind::remove, "quotas/x", ""}}).empty());
    BOOST_TEST(history.conflicting_paths(0, {{change_kind::remove, "quotas/x", ""}}).size() == 1U);
}

// Guards against a version number that decreases or skips values.
BOOST_AUTO_TEST_CASE(history_version_only_increases) {
    config_history first(8);
    config_history second(8);
    const auto one = make_version(first, "p1", {{change_kind::set, "quotas/a", quota_json}});
    first.apply(one);
    const auto two = make_version(first, "p2", {{change_kind::set, "quotas/b", quota_json}});
    first.apply(two);
    BOOST_TEST(!second.apply(two));
    BOOST_TEST(second.apply(to_json(one)));
    BOOST_TEST(!second.apply(one));
    BOOST_TEST(second.apply(first.snapshot(8)));
    BOOST_TEST(second.version() == 2U);
    BOOST_TEST((second.in_force() == first.in_force()));
    BOOST_TEST(second.find_id("p1") != nullptr);
    config_history older(8);
    older.apply(one);
    BOOST_TEST(!second.apply(older.snapshot(8)));
    BOOST_TEST(second.version() == 2U);
    for (const char* const record : {"", "[]", R"({"document":1})", R"({"version":3})"}) {
        BOOST_CHECK_THROW(second.apply(record), configuration_error);
    }
    BOOST_TEST(second.version() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
