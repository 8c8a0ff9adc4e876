#include "core/common/error.h"
#include "core/placement/placement_engine.h"
#include "unit/placement/builders.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace buckthornspar;
using namespace buckthornspar::placement;
using namespace buckthornspar::placement::test;
using namespace std::chrono_literals;

namespace {

constexpr resources one_core{cores, gigabytes, 0};
constexpr resources large_worker{64 * cores, 128 * gigabytes, 0};

struct workload_fixture {
    workload_fixture() {
        for (int i = 0; i < 8; ++i) {
            const worker_info info = make_worker("w" + std::to_string(i), large_worker,
                                                 "r" + std::to_string(i / 2), "p");
            engine.upsert_worker(info);
            rack_of[info.id] = info.rack;
        }
    }

    void submit(workload_kind kind, const std::string& job, int count) {
        for (int i = 0; i < count; ++i) {
            task_request request = make_task(job + std::to_string(next++), one_core);
            request.job = job;
            request.kind = kind;
            engine.submit(request);
        }
    }

    // Starts the waiting tasks and counts them by rack.
    std::map<std::string, int> start() {
        std::map<std::string, int> tasks;
        for (const assignment& a : engine.decide(at(0s), 100).tasks) {
            ++tasks[rack_of[a.worker]];
        }
        return tasks;
    }

    placement_engine engine{placement_settings{}};
    std::map<std::string, std::string> rack_of;
    int next = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(workload_settings_test, workload_fixture)

// Guards against a configured spread rule that has no effect on batch work.
BOOST_AUTO_TEST_CASE(batch_work_spreads_over_racks_when_configured) {
    engine.set_workload(workload_kind::batch, {"best_fit", spread_rule::rack});
    submit(workload_kind::batch, "b", 8);
    BOOST_TEST((start() == std::map<std::string, int>{{"r0", 2}, {"r1", 2}, {"r2", 2}, {"r3", 2}}));
}

// Guards against a new spread rule that ignores the tasks that are already running.
BOOST_AUTO_TEST_CASE(new_rule_counts_running_tasks) {
    submit(workload_kind::batch, "b", 3);
    const auto packed = start();
    BOOST_TEST(packed.size() == 1U);
    engine.set_workload(workload_kind::batch, {"best_fit", spread_rule::rack});
    submit(workload_kind::batch, "b", 3);
    const auto spread = start();
    BOOST_TEST(spread.size() == 3U);
    BOOST_TEST(!spread.contains(packed.begin()->first));
}

// Guards against spreading a service whose spread rule is `none`.
BOOST_AUTO_TEST_CASE(services_are_packed_without_a_rule) {
    engine.set_workload(workload_kind::service, {"best_fit", spread_rule::none});
    submit(workload_kind::service, "s", 8);
    BOOST_TEST(start().size() == 1U);
}

// Guards against lost or negative counts after tasks placed under an earlier rule have ended.
BOOST_AUTO_TEST_CASE(rules_can_change_while_tasks_end) {
    submit(workload_kind::batch, "b", 4);
    (void)start();
    engine.set_workload(workload_kind::batch, {"best_fit", spread_rule::rack});
    engine.release("b0", at(1s));
    engine.set_workload(workload_kind::batch, {"best_fit", spread_rule::none});
    engine.release("b1", at(1s));
    engine.set_workload(workload_kind::batch, {"best_fit", spread_rule::place});
    for (const std::string task : {"b2", "b3"}) {
        engine.release(task, at(1s));
    }
    submit(workload_kind::batch, "b", 8);
    BOOST_TEST((start() == std::map<std::string, int>{{"r0", 2}, {"r1", 2}, {"r2", 2}, {"r3", 2}}));
}

// Guards against using the scorer of one kind for another, and against a scorer that ignores
// resources allocated before it was selected.
BOOST_AUTO_TEST_CASE(each_kind_has_its_scorer) {
    placement_engine small{placement_settings{}};
    small.upsert_worker(make_worker("a_large", large_worker));
    small.upsert_worker(make_worker("b_small", {2 * cores, 4 * gigabytes, 0}));
    small.set_workload(workload_kind::batch, {"first_fit", spread_rule::none});
    small.submit(make_task("batch", {2 * cores, 4 * gigabytes, 0}));
    task_request service = make_task("service", {2 * cores, 4 * gigabytes, 0});
    service.kind = workload_kind::service;
    small.submit(service);
    std::map<std::string, std::string> worker_of;
    for (const assignment& a : small.decide(at(0s), 10).tasks) {
        worker_of[a.task] = a.worker;
    }
    BOOST_TEST(worker_of["batch"] == "a_large");
    BOOST_TEST(worker_of["service"] == "b_small");
    small.set_workload(workload_kind::batch, {"best_fit", spread_rule::none});
    small.submit(make_task("next", {2 * cores, 4 * gigabytes, 0}));
    const decisions next_start = small.decide(at(0s), 10);
    BOOST_REQUIRE(next_start.tasks.size() == 1U);
    BOOST_TEST(next_start.tasks.front().worker == "a_large");
}

// Guards against a configuration with an unknown scorer name stopping all placements.
BOOST_AUTO_TEST_CASE(unknown_scorer_changes_nothing) {
    BOOST_CHECK_THROW(engine.set_workload(workload_kind::batch, {"other", spread_rule::rack}),
                      common::unknown_name_error);
    submit(workload_kind::batch, "b", 4);
    BOOST_TEST(start().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
