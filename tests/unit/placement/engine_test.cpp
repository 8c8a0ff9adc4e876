#define BOOST_TEST_MODULE placement
#include "core/placement/placement_engine.h"
#include "unit/placement/builders.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace buckthornspar;
using namespace buckthornspar::placement;
using namespace buckthornspar::placement::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(placement_engine_rules)

namespace {

constexpr resources one_core{cores, gigabytes, 0};
constexpr resources large_worker{64 * cores, 128 * gigabytes, 0};

placement_engine engine_with(std::size_t workers, const resources& capacity,
                             const placement_settings& settings = {}) {
    placement_engine engine(settings);
    for (std::size_t i = 0; i < workers; ++i) {
        engine.upsert_worker(make_worker("w" + std::to_string(i), capacity));
    }
    return engine;
}

std::string detail_of(const placement_engine& engine, const resources& demand,
                      std::size_t tasks = 1) {
    const auto found = engine.check_feasible(make_task("t", demand), tasks);
    return found ? found->detail : "feasible";
}

} // namespace

// Guards against a job that can never run being left to wait, or being rejected with the wrong
// reason.
BOOST_AUTO_TEST_CASE(infeasible_jobs_get_the_exact_reason) {
    placement_engine engine(placement_settings{});
    BOOST_TEST(detail_of(engine, {128 * cores, gigabytes, 0}) == "feasible");

    engine.upsert_worker(make_worker("cpu", large_worker));
    engine.upsert_worker(make_worker("gpu", {16 * cores, 256 * gigabytes, 4}));
    BOOST_TEST(detail_of(engine, {128 * cores, gigabytes, 0}) ==
               "needs 128 cores; the largest live worker has 64");
    BOOST_TEST(detail_of(engine, {64500, gigabytes, 0}) ==
               "needs 64.5 cores; the largest live worker has 64");
    BOOST_TEST(detail_of(engine, {cores, 300 * gigabytes, 0}) ==
               "needs 307200 MB; the largest live worker has 262144");
    BOOST_TEST(detail_of(engine, {cores, gigabytes, 8}) ==
               "needs 8 accelerators; the largest live worker has 4");
    BOOST_TEST(detail_of(engine, {32 * cores, gigabytes, 1}) ==
               "no live worker offers 32 cores, 1024 MB and 1 accelerators together");
    BOOST_TEST(detail_of(engine, {32 * cores, gigabytes, 0}, 3) ==
               "needs 3 tasks at once; the live workers have room for 2 when empty");
    BOOST_TEST(detail_of(engine, {32 * cores, gigabytes, 0}, 2) == "feasible");
    BOOST_TEST(detail_of(engine, {-1, gigabytes, 0}) == "a demand must not be negative");

    engine.set_quota("team", {8 * cores, 16 * gigabytes, 0});
    BOOST_TEST(detail_of(engine, {3 * cores, gigabytes, 0}, 3) ==
               "needs 3 x 3 cores at once; the quota of team team is 8");
}

// Guards against a feasibility check that uses an outdated fleet: the largest worker leaves,
// another one arrives.
BOOST_AUTO_TEST_CASE(feasibility_tracks_fleet_changes) {
    placement_engine engine = engine_with(2, large_worker);
    worker_info leaving = make_worker("w0", large_worker);
    leaving.state = worker_state::leaving;
    engine.upsert_worker(leaving);
    engine.remove_worker("w1");
    engine.upsert_worker(make_worker("w2", {8 * cores, 16 * gigabytes, 0}));
    BOOST_TEST(detail_of(engine, {9 * cores, gigabytes, 0}) ==
               "needs 9 cores; the largest live worker has 8");
}

// Guards against placing work on unavailable workers, and against a wrong wait reason.
BOOST_AUTO_TEST_CASE(only_available_workers_get_work) {
    placement_engine engine(placement_settings{});
    engine.submit(make_task("t", one_core));
    BOOST_TEST(engine.decide(at(0s), 10).empty());
    BOOST_TEST((engine.explain("t") == wait_reason::no_workers));
    for (const worker_state state :
         {worker_state::leaving, worker_state::quarantined, worker_state::unreachable}) {
        worker_info info = make_worker("w", large_worker);
        info.state = state;
        engine.upsert_worker(info);
        BOOST_TEST(engine.decide(at(0s), 10).empty());
    }
    engine.upsert_worker(make_worker("w", large_worker));
    BOOST_TEST(engine.decide(at(0s), 10).tasks.size() == 1U);
    BOOST_TEST((engine.explain("t") == wait_reason::none));
}

// Guards against rejecting a job for good because this shard's part of the quota is small, and
// against waiting work that is not reported in quota_demands() to the other shards.
BOOST_AUTO_TEST_CASE(part_of_a_quota_makes_work_wait) {
    placement_engine engine = engine_with(1, large_worker);
    engine.set_quota("team", {4 * cores, 64 * gigabytes, 0});
    engine.set_quota_part("team", {});
    BOOST_TEST(detail_of(engine, {3 * cores, gigabytes, 0}) == "feasible");
    engine.submit(make_task("t", one_core));
    BOOST_TEST(engine.decide(at(0s), 10).empty());
    BOOST_TEST((engine.explain("t") == wait_reason::quota_exceeded));
    BOOST_REQUIRE(engine.quota_demands().size() == 1U);
    BOOST_TEST((engine.quota_demands().front().waiting == one_core));
    BOOST_TEST((engine.quota_demands().front().next == one_core));
    engine.set_quota_part("team", one_core);
    BOOST_TEST(engine.decide(at(1s), 10).tasks.size() == 1U);
    BOOST_TEST((engine.quota_demands().front().used == one_core));
    BOOST_TEST((engine.quota_demands().front().waiting == resources{}));
}

// Guards against a team exceeding its quota, and against its work staying blocked afterwards.
BOOST_AUTO_TEST_CASE(quota_limits_a_team_until_work_ends) {
    placement_engine engine = engine_with(1, large_worker);
    engine.set_quota("team", {2 * cores, 64 * gigabytes, 0});
    for (int i = 0; i < 3; ++i) {
        engine.submit(make_task("t" + std::to_string(i), one_core));
    }
    task_request other = make_task("other", one_core);
    other.team = "other";
    engine.submit(other);
    BOOST_TEST(engine.decide(at(0s), 10).tasks.size() == 3U);
    BOOST_TEST((engine.explain("t2") == wait_reason::quota_exceeded));
    BOOST_TEST(engine.decide(at(1s), 10).empty());
    engine.release("t0", at(2s));
    const decisions after = engine.decide(at(2s), 10);
    BOOST_REQUIRE(after.tasks.size() == 1U);
    BOOST_TEST(after.tasks.front().task == "t2");
}

// Guards against the backlog of one team starving another team.
BOOST_AUTO_TEST_CASE(teams_share_the_fleet) {
    placement_engine engine = engine_with(1, {10 * cores, 64 * gigabytes, 0});
    for (int i = 0; i < 20; ++i) {
        engine.submit(make_task("a" + std::to_string(i), one_core));
    }
    for (int i = 0; i < 20; ++i) {
        task_request request = make_task("b" + std::to_string(i), one_core);
        request.team = "late";
        engine.submit(request);
    }
    std::map<char, int> started;
    for (const assignment& a : engine.decide(at(0s), 100).tasks) {
        ++started[a.task.front()];
    }
    BOOST_TEST(started['a'] == 5);
    BOOST_TEST(started['b'] == 5);
}

// Guards against urgent work waiting behind a backlog, and against urgent work starving the rest.
BOOST_AUTO_TEST_CASE(urgent_work_goes_first_but_leaves_a_share) {
    placement_engine engine = engine_with(10, large_worker);
    for (int i = 0; i < 200; ++i) {
        task_request normal = make_task("n" + std::to_string(i), one_core);
        engine.submit(normal);
        task_request urgent = make_task("u" + std::to_string(i), one_core);
        urgent.priority = priority_class::urgent;
        engine.submit(urgent);
    }
    const decisions first = engine.decide(at(0s), 100);
    std::map<char, int> started;
    for (const assignment& a : first.tasks) {
        ++started[a.task.front()];
    }
    BOOST_TEST(first.tasks.front().task.front() == 'u');
    BOOST_TEST(started['u'] == 90);
    BOOST_TEST(started['n'] == 10);
}

// Guards against deadlines being ignored within a class.
BOOST_AUTO_TEST_CASE(earliest_deadline_goes_first) {
    placement_engine engine = engine_with(1, one_core);
    engine.submit(make_task("none", one_core));
    for (const int seconds : {50, 20, 40}) {
        task_request request = make_task("d" + std::to_string(seconds), one_core);
        request.deadline = at(std::chrono::seconds(seconds));
        engine.submit(request);
    }
    for (const std::string expected : {"d20", "d40", "d50", "none"}) {
        const decisions next = engine.decide(at(0s), 10);
        BOOST_REQUIRE(next.tasks.size() == 1U);
        BOOST_TEST(next.tasks.front().task == expected);
        engine.release(expected, at(0s));
    }
}

// Guards against placing all tasks of a service in one rack or place, whose failure would stop them
// all.
BOOST_AUTO_TEST_CASE(services_spread_over_places_and_racks) {
    placement_engine engine(placement_settings{});
    std::map<std::string, std::string> rack_of;
    std::map<std::string, std::string> place_of;
    for (int i = 0; i < 32; ++i) {
        const std::string place = "p" + std::to_string(i / 16);
        const std::string rack = place + "r" + std::to_string(i / 4);
        const worker_info info = make_worker("w" + std::to_string(i), large_worker, rack, place);
        engine.upsert_worker(info);
        rack_of[info.id] = rack;
        place_of[info.id] = place;
    }
    for (int i = 0; i < 8; ++i) {
        task_request request = make_task("s" + std::to_string(i), one_core);
        request.job = "service";
        request.kind = workload_kind::service;
        engine.submit(request);
    }
    std::map<std::string, int> in_place;
    std::set<std::string> racks;
    for (const assignment& a : engine.decide(at(0s), 100).tasks) {
        ++in_place[place_of[a.worker]];
        racks.insert(rack_of[a.worker]);
    }
    BOOST_TEST(in_place["p0"] == 4);
    BOOST_TEST(in_place["p1"] == 4);
    BOOST_TEST(racks.size() == 8U);
}

// Guards against treating the limit per rack as a mere preference, and against a wrong wait reason.
BOOST_AUTO_TEST_CASE(rack_limit_of_services_holds) {
    placement_settings settings;
    settings.max_service_tasks_per_rack = 1;
    placement_engine engine = engine_with(4, large_worker, settings);
    for (const std::string id : {"s0", "s1"}) {
        task_request request = make_task(id, one_core);
        request.job = "service";
        request.kind = workload_kind::service;
        engine.submit(request);
    }
    BOOST_TEST(engine.decide(at(0s), 10).tasks.size() == 1U);
    BOOST_TEST((engine.explain("s1") == wait_reason::spread_constraint));
    engine.upsert_worker(make_worker("elsewhere", large_worker, "r2"));
    BOOST_TEST(engine.decide(at(0s), 10).tasks.size() == 1U);
}

// Guards against batch work spreading over workers that larger work needs empty. Tasks in the
// proportions of the workers fill one worker after the other; with other tasks a second worker is
// used before the memory of the first is stranded, but no more than that.
BOOST_AUTO_TEST_CASE(batch_work_is_packed) {
    const auto workers_used = [](const resources& demand) {
        placement_engine engine = engine_with(8, large_worker);
        for (int i = 0; i < 64; ++i) {
            engine.submit(make_task("t" + std::to_string(i), demand));
        }
        std::set<std::string> used;
        for (const assignment& a : engine.decide(at(0s), 100).tasks) {
            used.insert(a.worker);
        }
        return used.size();
    };
    BOOST_TEST(workers_used({cores, 2 * gigabytes, 0}) == 1U);
    BOOST_TEST(workers_used({cores, gigabytes, 0}) <= 2U);
}

// Guards against resources that stay allocated after a refused start, and against losing the
// position in the queue.
BOOST_AUTO_TEST_CASE(refused_start_is_requeued_with_original_age) {
    placement_engine engine = engine_with(1, one_core);
    engine.submit(make_task("first", one_core));
    engine.submit(make_task("second", one_core));
    BOOST_TEST(engine.decide(at(0s), 10).tasks.front().task == "first");
    engine.requeue("first");
    BOOST_TEST((engine.allocated("w0") == resources{}));
    BOOST_TEST(engine.decide(at(0s), 10).tasks.front().task == "first");
    BOOST_TEST(engine.withdraw("second"));
    BOOST_TEST(!engine.withdraw("first"));
}

// Guards against a new owner overcommitting workers on which it found running tasks.
BOOST_AUTO_TEST_CASE(adopted_work_counts_and_survives_the_worker) {
    placement_engine engine = engine_with(1, one_core);
    engine.submit(make_task("t", one_core));
    engine.adopt_running("w0", make_task("t", one_core), at(0s));
    engine.adopt_running("w0", make_task("t", one_core), at(0s));
    BOOST_TEST((engine.allocated("w0") == one_core));
    engine.submit(make_task("next", one_core));
    engine.remove_worker("w0");
    engine.upsert_worker(make_worker("w0", one_core));
    BOOST_TEST(engine.decide(at(0s), 10).empty());
    engine.release("t", at(0s));
    BOOST_TEST(engine.decide(at(0s), 10).tasks.size() == 1U);
    BOOST_CHECK_THROW(engine.adopt_running("w9", make_task("u", one_core), at(0s)),
                      common::usage_error);
}

BOOST_AUTO_TEST_SUITE_END()
