#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

// A decision may take 1 ms (design, 1.7). With an assumed 1 us for a step and 5 ns for a worker
// that is examined for it, this is the most that a plan may examine. The time itself is measured by
// buckthornspar-bench plan-backlog.
constexpr std::int64_t max_steps_per_plan = 1000;
constexpr std::int64_t max_candidates_per_plan = 200'000;
// Urgent work starts within this time (design, 1.7).
constexpr auto urgent_start = 2800ms;

/// A service whose workers are full.
struct backlog_fixture : dispatch_fixture {
    static constexpr std::size_t worker_count = 100;

    backlog_fixture() {
        auto urgent = ticket_queue("urgent");
        urgent.priority = 0;
        urgent.ticket_valid_ms = 60'000;
        auto bulk = ticket_queue("bulk");
        bulk.priority = 2;
        bulk.ticket_valid_ms = 60'000;
        engine.on_queues({urgent, bulk, plain_queue("fill")});
        for (std::size_t i = 0; i < worker_count; ++i) {
            workers.push_back("w" + std::to_string(i));
        }
        become_owner(workers);
        engine.on_job(now, job("filler", worker_count, 63 * cores, "fill"), {}, 11);
        advance(100ms);
        fillers = take_starts();
        BOOST_REQUIRE(fillers.size() == worker_count);
    }

    /// Submits jobs that do not fit beside the runs of the filler.
    void submit(const std::string& prefix, std::size_t count, const std::string& queue,
                bool gang = false) {
        for (std::size_t i = 0; i < count; ++i) {
            auto spec = job(prefix + std::to_string(i), gang ? 2 : 1, 2 * cores, queue);
            spec.steps[0].gang = gang;
            engine.on_job(now, spec, {}, 12);
        }
    }

    /// Grants seven of ten workers to each ticket request.
    void answer_requests() {
        for (; m_answered < advice.size(); ++m_answered) {
            const auto& call = advice[m_answered];
            advice_result result;
            result.answered = true;
            for (std::size_t i = 0; i < call.request.workers.size(); ++i) {
                if ((i + call.id) % 10 < 7) {
                    result.granted.push_back({call.request.workers[i], "k"});
                }
            }
            engine.on_advice_result(now, call.id, result);
        }
    }

    void advance_answering(common::duration by) {
        const auto end = now + by;
        while (now < end) {
            advance(50ms);
            answer_requests();
        }
    }

    struct plan_cost {
        std::int64_t steps = 0;
        std::int64_t candidates = 0;
    };

    /// Work of a plan, averaged over some time in which nothing happens.
    plan_cost cost_when_nothing_can_start() {
        advance_answering(1s);
        const auto plans = counters.get("plans_total").value();
        const auto steps = counters.get("plan_steps_examined_total").value();
        const auto candidates = counters.get("plan_candidates_examined_total").value();
        advance_answering(500ms);
        BOOST_REQUIRE(starts.empty());
        const auto count = counters.get("plans_total").value() - plans;
        BOOST_REQUIRE(count > 0);
        return {(counters.get("plan_steps_examined_total").value() - steps) / count,
                (counters.get("plan_candidates_examined_total").value() - candidates) / count};
    }

    std::vector<std::string> workers;
    std::vector<start_order> fillers;

private:
    std::size_t m_answered = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(backlog_suite, backlog_fixture)

// Pattern: backlog after an outage. Guards against plans that take longer the more jobs wait, so
// that the owner handles fewer ends of runs and still more jobs wait (SHORT).
BOOST_AUTO_TEST_CASE(the_cost_of_a_plan_does_not_grow_with_the_backlog) {
    submit("s", 500, "urgent");
    submit("g", 100, "bulk", true);
    const auto small = cost_when_nothing_can_start();
    submit("t", 4500, "urgent");
    submit("h", 900, "bulk", true);
    const auto large = cost_when_nothing_can_start();
    BOOST_TEST_MESSAGE("steps " << small.steps << " -> " << large.steps << ", workers "
                                << small.candidates << " -> " << large.candidates);
    BOOST_TEST(large.steps <= max_steps_per_plan);
    BOOST_TEST(large.candidates <= max_candidates_per_plan);
}

// Pattern: backlog after an outage. Guards against a step that can start and waits behind many that
// cannot, such as jobs that need more than any worker has free.
BOOST_AUTO_TEST_CASE(a_step_behind_a_backlog_that_cannot_start_starts_in_time) {
    submit("a", 3000, "urgent");
    advance_answering(500ms);
    engine.on_job(now, job("z", 1, cores / 2, "urgent"), {}, 13);
    advance_answering(urgent_start);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run.task.job == "z");
}

// Pattern: backlog after an outage. Guards against work of other queues that is never examined
// because the most urgent queue has a backlog.
BOOST_AUTO_TEST_CASE(a_backlog_of_one_queue_does_not_hide_another) {
    submit("a", 3000, "urgent");
    advance_answering(300ms);
    engine.on_job(now, job("b", 1, cores / 2, "bulk"), {}, 13);
    engine.on_job(now, job("c", 1, cores / 2, "fill"), {}, 13);
    advance_answering(300ms);
    BOOST_TEST(starts.size() == 2U);
}

// Pattern: backlog after an outage. Guards against jobs that are lost from the plans, and against
// less urgent jobs that start first while the backlog is worked off.
BOOST_AUTO_TEST_CASE(a_backlog_is_worked_off_in_order) {
    constexpr std::size_t jobs = 1500;
    for (std::size_t i = 0; i < jobs; ++i) {
        engine.on_job(now, job(std::to_string(i), 1, 30 * cores, "urgent"), {}, 12);
        now += 1ms;
    }
    advance_answering(300ms);
    for (const auto& order : fillers) {
        end_run(order.worker, order.run, run_end::succeeded);
    }
    std::vector<std::size_t> order_of_starts;
    for (int round = 0; round < 200 && order_of_starts.size() < jobs; ++round) {
        advance_answering(50ms);
        for (const auto& order : take_starts()) {
            order_of_starts.push_back(std::stoul(order.run.task.job));
            end_run(order.worker, order.run, run_end::succeeded);
        }
        save();
    }
    BOOST_REQUIRE(order_of_starts.size() == jobs);
    advance_answering(1s);
    save();
    BOOST_TEST(engine.jobs().empty());
    // The first tenth of the starts belongs to the first quarter of the backlog.
    for (std::size_t i = 0; i < jobs / 10; ++i) {
        BOOST_TEST(order_of_starts[i] < jobs / 4);
    }
}

// Guards against a job that is forgotten when its place in the order of waiting steps changes:
// later steps, repeated tasks and cancelled jobs among a backlog.
BOOST_AUTO_TEST_CASE(later_steps_and_repeated_tasks_return_to_the_order) {
    submit("a", 700, "urgent");
    auto chain = job("chain", 1, cores / 2, "fill");
    chain.steps.push_back(chain.steps[0]);
    chain.steps[1].after = {0};
    engine.on_job(now, chain, {}, 13);
    advance_answering(200ms);
    auto first = take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    end_run(first[0].worker, first[0].run, run_end::failed);
    advance_answering(600ms);
    const auto again = take_starts();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].run.run == 2U);
    end_run(again[0].worker, again[0].run, run_end::succeeded);
    advance_answering(600ms);
    const auto later = take_starts();
    BOOST_REQUIRE(later.size() == 1U);
    BOOST_TEST(later[0].run.task.step == 1U);
    for (int i = 0; i < 700; ++i) {
        engine.on_cancel(now, "a" + std::to_string(i));
    }
    for (const auto& order : fillers) {
        end_run(order.worker, order.run, run_end::succeeded);
    }
    advance_answering(600ms);
    BOOST_TEST(starts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
