#include "core/dispatch/capacity_fit.h"
#include "core/dispatch/preemption.h"
#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t cores = dispatch_fixture::cores;

class capacity_fixture : public dispatch_fixture {
public:
    explicit capacity_fixture(const std::vector<std::string>& workers) {
        engine.on_queues({plain_queue()});
        become_owner(workers);
    }

    void resize(const std::string& worker, std::int64_t cpu_milli) {
        auto changed = report(worker, cpu_milli);
        changed.clock_ms = clock_ms();
        engine.on_worker(now, changed);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_change_suite)

// Guards against a start over the capacity of a worker that shrank while it runs tasks, and against
// a capacity that stays unused when it is back.
BOOST_AUTO_TEST_CASE(a_shrunk_worker_gets_no_start_that_does_not_fit) {
    capacity_fixture f({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 40 * cores), {}, 11);
    f.advance(100ms);
    BOOST_REQUIRE(f.take_starts().size() == 1U);
    f.resize("w1", 30 * cores);
    BOOST_TEST(f.engine.workers().find("w1")->free().cpu_milli == -10 * cores);
    f.engine.on_job(f.now, dispatch_fixture::job("b", 1, 1 * cores), {}, 12);
    f.engine.on_job(f.now, dispatch_fixture::job("c", 1, 35 * cores), {}, 13);
    f.advance(2s);
    BOOST_TEST(f.take_starts().empty());
    f.end_run("w1", {{"a", 0, 0, 0}, 1}, run_end::succeeded);
    f.advance(1s);
    f.save();
    f.advance(1s);
    // c is larger than the whole worker.
    const auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run.task.job == "b");
    f.resize("w1", 64 * cores);
    f.advance(1s);
    BOOST_TEST(f.take_starts().size() == 1U);
}

// Guards against a start over the capacity of a worker that restarts smaller: its answer to a poll
// shows the new incarnation before the instance list has its capacity.
BOOST_AUTO_TEST_CASE(a_restarted_worker_gets_no_start_before_its_report) {
    capacity_fixture f({"w1"});
    f.incarnations["w1"] = 2000;
    f.advance(2s);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1 * cores), {}, 11);
    f.advance(1s);
    BOOST_TEST(f.take_starts().empty());
    f.report_from("w1");
    f.advance(100ms);
    BOOST_TEST(f.take_starts().size() == 1U);
}

// Guards against a gang that is planned on a capacity that is no longer there.
BOOST_AUTO_TEST_CASE(a_gang_waits_until_the_capacity_is_back) {
    capacity_fixture f({"w1", "w2"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 40 * cores), {}, 11);
    f.advance(100ms);
    const auto first = f.take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    f.resize(first[0].worker, 20 * cores);
    auto spec = dispatch_fixture::job("g", 4, 20 * cores);
    spec.steps[0].gang = true;
    f.engine.on_job(f.now, spec, {}, 12);
    f.advance(2s);
    BOOST_TEST(f.take_starts().empty());
    f.resize(first[0].worker, 64 * cores);
    f.advance(1s);
    const auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 4U);
    for (const auto& id : {"w1", "w2"}) {
        BOOST_TEST(f.engine.workers().find(id)->free().non_negative());
    }
}

// Guards against counting tasks or victims on a worker whose runs exceed its capacity: the excess
// has to be freed first.
BOOST_AUTO_TEST_CASE(runs_beyond_the_capacity_are_made_up_for_by_preemption) {
    const placement::resources demand{10 * cores, 1000, 0};
    BOOST_TEST(count_fitting_tasks(demand, {-5 * cores, 100000, 0}) == 0);
    BOOST_TEST(count_fitting_tasks({0, 1000, 0}, {-5 * cores, 100000, 0}) == 0);
    worker_entry worker;
    worker.report = dispatch_fixture::report("w1", 10 * cores);
    const common::time_point now{100s};
    for (std::uint32_t i = 0; i < 3; ++i) {
        placed_run placed;
        placed.demand = demand;
        placed.phase = run_phase::running;
        placed.preemptible = true;
        placed.priority = 2;
        placed.expected_end = now + 5s;
        placed.latest_end = now + 60s;
        worker.runs[{{"a", 0, 0, i}, 1}] = placed;
        worker.allocated += demand;
    }
    const auto option = find_preemption(worker, demand, worker.free(), unlimited_tasks, 0, now);
    BOOST_TEST(option.gained_tasks == 1);
    BOOST_TEST(option.runs.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
