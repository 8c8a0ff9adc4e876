#include "unit/dispatch/dispatch_fixture.h"

#include "core/dispatch/preemption.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

// Two workers full of long checkpointing tasks of a less urgent queue.
struct full_fleet : dispatch_fixture {
    full_fleet() {
        auto urgent = plain_queue("gangs");
        urgent.priority = 1;
        auto patient = plain_queue("patient");
        patient.priority = 2;
        patient.slack_factor = 4.0;
        patient.target_ms = 3000;
        engine.on_queues({urgent, patient});
        become_owner({"w1", "w2"});
        stops_take_time = true;
    }

    void fill(bool checkpointing, std::int64_t estimate_ms = 8000) {
        auto spec = job("p", 8, 16 * cores, "patient");
        spec.steps[0].checkpointing = checkpointing;
        spec.steps[0].estimate_ms = estimate_ms;
        engine.on_job(now, spec, {}, 11);
        advance(500ms);
        BOOST_REQUIRE(take_starts().size() == 8U);
    }

    void submit_gang(std::uint32_t width) {
        auto spec = job("g", width, 30 * cores, "gangs");
        spec.steps[0].gang = true;
        spec.steps[0].estimate_ms = 3000;
        engine.on_job(now, spec, {}, 12);
        advance(200ms);
    }
};

placed_run make_placed(std::int64_t cpu_milli, common::time_point now) {
    placed_run placed;
    placed.phase = run_phase::running;
    placed.demand = {cpu_milli, 1000, 0};
    placed.priority = 2;
    placed.preemptible = true;
    placed.expected_end = now + 5s;
    placed.latest_end = now + 20s;
    return placed;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(preemption_suite, full_fleet)

// Pattern: wide gangs over a fleet that is busy with patient work. Guards against gangs that wait
// for seconds until enough runs happen to end together.
BOOST_AUTO_TEST_CASE(patient_runs_give_way_to_a_gang) {
    fill(true);
    submit_gang(2);
    BOOST_TEST(stops.size() == 4U);
    // Nothing starts before the ends are listed: the runs still occupy their capacity.
    BOOST_TEST(take_starts().empty());
    for (const auto& stop : stops) {
        end_run(stop.worker, stop.run, run_end::stopped, "saved");
    }
    advance(300ms);
    unsigned members = 0;
    for (const auto& start : take_starts()) {
        members += start.run.task.job == "g" ? 1U : 0U;
    }
    BOOST_TEST(members == 2U);
}

// Guards against work that is thrown away, and against jobs that miss their objective.
BOOST_AUTO_TEST_CASE(runs_without_checkpoints_or_near_their_end_are_left_alone) {
    fill(false);
    submit_gang(2);
    BOOST_TEST(stops.empty());
}

// Guards against runs that are stopped although the gang does not fit even then.
BOOST_AUTO_TEST_CASE(nothing_is_stopped_for_a_gang_that_is_too_wide) {
    fill(true);
    submit_gang(5);
    BOOST_TEST(stops.empty());
}

BOOST_AUTO_TEST_CASE(a_run_is_preempted_only_for_more_urgent_work_and_with_time_left) {
    const run_key run{{"p", 0, 0, 0}, 1};
    const auto placed = make_placed(16000, now);
    BOOST_TEST(may_preempt(run, placed, 1, now));
    BOOST_TEST(!may_preempt(run, placed, 2, now));
    BOOST_TEST(!may_preempt({run.task, 4}, placed, 1, now));
    auto other = placed;
    other.phase = run_phase::stopping;
    BOOST_TEST(!may_preempt(run, other, 1, now));
    other = placed;
    other.expected_end = now + 300ms;
    BOOST_TEST(!may_preempt(run, other, 1, now));
    other = placed;
    other.latest_end = now + 7s;
    BOOST_TEST(!may_preempt(run, other, 1, now));
}

// Guards against stopping more than needed: the cheapest workers are taken first.
BOOST_AUTO_TEST_CASE(the_options_that_stop_least_are_chosen) {
    const preemption_option dear{0, 1, 40000, {{{"p", 0, 0, 0}, 1}}};
    const preemption_option cheap{1, 1, 20000, {{{"p", 0, 0, 1}, 1}}};
    const preemption_option useless{2, 0, 0, {}};
    auto chosen = choose_preemptions({dear, cheap, useless}, 1);
    BOOST_REQUIRE(chosen.size() == 1U);
    BOOST_TEST(chosen[0].worker == 1U);
    BOOST_TEST(choose_preemptions({dear, cheap, useless}, 2).size() == 2U);
    BOOST_TEST(choose_preemptions({dear, cheap, useless}, 3).empty());
}

BOOST_AUTO_TEST_SUITE_END()
