#include "core/placement/pressure_control.h"
#include "core/placement/usage_model.h"
#include "unit/placement/builders.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::placement;
using namespace buckthornspar::placement::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(usage)

namespace {

running_task_usage make_use(const std::string& id, workload_kind kind, std::int64_t used_cores,
                            common::time_point measured) {
    return {id,
            kind,
            priority_class::normal,
            {2 * cores, gigabytes, 0},
            {used_cores * cores, gigabytes, 0},
            measured};
}

constexpr resources worker_size{8 * cores, 16 * gigabytes, 0};

} // namespace

// Guards against planning with declared run times that differ widely from the actual ones, and
// against relying on a single outlier.
BOOST_AUTO_TEST_CASE(run_time_is_learnt_per_family) {
    usage_model model;
    model.task_ended("t", "render", 50s);
    BOOST_TEST((model.expected_run("render", 10s) == common::duration(10s)));
    for (int i = 0; i < 40; ++i) {
        model.task_ended("t", "render", std::chrono::seconds(50 + i % 10));
    }
    const common::duration expected = model.expected_run("render", 10s);
    BOOST_TEST((expected >= 57s && expected <= 59s));
    BOOST_TEST((model.expected_run("other", 10s) == common::duration(10s)));
}

// Guards against a late report replacing a newer one, and against a lost peak.
BOOST_AUTO_TEST_CASE(late_reports_count_only_towards_the_peak) {
    usage_model model;
    for (int i = 0; i < 4; ++i) {
        model.report({"t", "f", {2 * cores, 100, 0}, at(10s)});
        model.report({"t", "f", {1 * cores, 900, 0}, at(5s)});
        BOOST_TEST(model.latest("t")->used.memory_mb == 100);
        model.task_ended("t", "f", 20s);
    }
    BOOST_TEST((model.expected_use("f", {}) == resources{2 * cores, 900, 0}));
    BOOST_TEST(!model.latest("t").has_value());
}

// Guards against memory growing with the number of families ever seen.
BOOST_AUTO_TEST_CASE(families_are_bounded) {
    usage_settings settings;
    settings.max_families = 3;
    usage_model model(settings);
    for (int i = 0; i < 10; ++i) {
        model.task_ended("t", "kept", 1s);
        model.task_ended("t", "f" + std::to_string(i), 1s);
    }
    BOOST_TEST(model.families() == 3U);
    BOOST_TEST((model.expected_run("kept", 9s) == common::duration(1s)));
}

// Guards against restricting services while batch work runs, and against skipped steps.
BOOST_AUTO_TEST_CASE(batch_is_throttled_then_checkpointed_then_stopped) {
    pressure_control control;
    auto now = at(0s);
    std::vector<std::string> steps;
    for (int i = 0; i < 6; ++i, now += 10s) {
        std::vector<running_task_usage> tasks{make_use("service", workload_kind::service, 5, now),
                                              make_use("batch1", workload_kind::batch, 2, now),
                                              make_use("batch2", workload_kind::batch, 3, now)};
        for (const pressure_action& a : control.decide("w", worker_size, tasks, now)) {
            steps.push_back(a.task + " " + std::string(pressure_step_names.name(a.step)));
        }
    }
    const std::vector<std::string> expected{"batch2 throttle",   "batch1 throttle",
                                            "batch2 checkpoint", "batch1 checkpoint",
                                            "batch2 stop",       "batch1 stop"};
    BOOST_TEST(steps == expected, boost::test_tools::per_element());
}

// Guards against stopping a service: when only services are left, they are at most throttled.
BOOST_AUTO_TEST_CASE(services_are_never_stopped) {
    pressure_control control;
    auto now = at(0s);
    std::size_t actions = 0;
    for (int i = 0; i < 6; ++i, now += 10s) {
        for (const pressure_action& a : control.decide(
                 "w", worker_size, {make_use("s", workload_kind::service, 9, now)}, now)) {
            BOOST_TEST((a.step == pressure_step::throttle));
            ++actions;
        }
    }
    BOOST_TEST(actions == 1U);
}

// Guards against stopping more and more work because delayed reports still show the use before the
// last step, and against work that stays throttled.
BOOST_AUTO_TEST_CASE(lagging_reports_do_not_escalate) {
    pressure_control control;
    const auto decide = [&](std::int64_t used_cores, common::time_point measured,
                            common::time_point now) {
        return control.decide("w", worker_size,
                              {make_use("batch", workload_kind::batch, used_cores, measured)}, now);
    };
    BOOST_TEST(decide(9, at(0s), at(1s)).size() == 1U);
    for (int second = 2; second < 20; ++second) {
        BOOST_TEST(decide(9, at(1s), at(std::chrono::seconds(second))).empty());
    }
    const auto relieved = decide(4, at(18s), at(20s));
    BOOST_REQUIRE(relieved.size() == 1U);
    BOOST_TEST((relieved.front().step == pressure_step::none));
    BOOST_TEST(decide(4, at(21s), at(22s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
