#include "unit/learning/random_runs.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::learning;
using namespace buckthornspar::learning::test;

namespace {

constexpr std::uint64_t seeds = 10;

std::vector<double> even_fleet(std::size_t workers) {
    return std::vector<double>(workers, 1.0);
}

std::vector<double> uneven_fleet(std::size_t workers) {
    std::vector<double> speeds;
    speeds.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i) {
        speeds.push_back(i % 3 == 0 ? 0.6 : i % 3 == 1 ? 1.0 : 1.6);
    }
    return speeds;
}

double speed_of(const run_learning& learning, worker_index worker) {
    return std::exp(learning.log_speed(worker));
}

} // namespace

BOOST_AUTO_TEST_SUITE(worker_speed_suite)

// Load: a fleet of equal workers under tasks of which 3 % take seven times as long. Guards against
// taking chance or a few long tasks for a slow worker, which would change the placement on a fleet
// that has no uneven workers.
BOOST_AUTO_TEST_CASE(workers_of_an_even_fleet_keep_the_common_speed) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        run_learning learning({});
        random_runs runs(seed, even_fleet(300));
        for (int i = 0; i < 20; ++i) {
            runs.run_steps(learning, 50);
            BOOST_TEST(learning.uneven_workers() <= 1U, "seed " << seed << " round " << i);
        }
    }
}

// Load: a third of the workers runs at .6, a third at 1.6 of the common speed. Guards against
// speeds that are learnt too late or too weakly to be of use.
BOOST_AUTO_TEST_CASE(speeds_of_an_uneven_fleet_are_learnt) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto speeds = uneven_fleet(60);
        run_learning learning({});
        random_runs runs(seed, speeds);
        runs.run_steps(learning, 120);
        std::size_t right = 0;
        for (worker_index w = 0; w < speeds.size(); ++w) {
            const auto error = std::abs(std::log(speeds[w]) - learning.log_speed(w));
            right += error < 0.25 ? 1U : 0U;
        }
        BOOST_TEST(right >= 54U, "seed " << seed << ": " << right);
    }
}

// Load: one worker of fifty runs at half the speed of the others. Guards against finding uneven
// workers only where there are many of them.
BOOST_AUTO_TEST_CASE(a_single_slow_worker_is_learnt_and_the_others_are_not) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto speeds = even_fleet(50);
        speeds[7] = 0.5;
        run_learning learning({});
        random_runs runs(seed, speeds);
        runs.run_steps(learning, 200);
        BOOST_TEST(speed_of(learning, 7) < 0.7, "seed " << seed);
        BOOST_TEST(learning.uneven_workers() <= 2U, "seed " << seed);
    }
}

// Load: one task in thirty takes seven times as long, on one worker only. Guards against taking a
// worker with a few stragglers for a slow one.
BOOST_AUTO_TEST_CASE(one_long_task_in_thirty_does_not_make_a_worker_slow) {
    run_learning learning({});
    random_runs runs(1, even_fleet(20));
    runs.straggler_share = 0.0;
    runs.run_steps(learning, 20);
    std::size_t stragglers = 0;
    for (int i = 0; i < 300; ++i) {
        const auto step = runs.random().next();
        for (worker_index w = 1; w < 4; ++w) {
            learning.add({w, {step, 0, no_kind, true}, 0, "q", 4, 1000.0, 1000.0});
        }
        const double ms = i % 30 == 29 ? 7000.0 : 1000.0;
        stragglers += learning.add({0, {step, 0, no_kind, true}, 0, "q", 4, ms, 1000.0});
        BOOST_TEST(learning.log_speed(0) == 0.0);
    }
    BOOST_TEST(stragglers == 10U);
}

// Load: a slow worker restarts, perhaps as another kind of machine. Guards against decisions by the
// speed of the machine that was there before.
BOOST_AUTO_TEST_CASE(a_restarted_worker_is_at_the_common_speed_again) {
    run_learning learning({});
    random_runs runs(1, uneven_fleet(60));
    runs.run_steps(learning, 200);
    BOOST_TEST(learning.log_speed(0) < 0.0);
    const auto uneven = learning.uneven_workers();
    learning.forget_worker(0);
    BOOST_TEST(learning.log_speed(0) == 0.0);
    BOOST_TEST(learning.uneven_workers() == uneven - 1);
}

// Load: an uneven fleet whose estimates are off by half. Guards against expected ends by the
// estimate alone, by which gangs reserve capacity too early or too late.
BOOST_AUTO_TEST_CASE(expected_durations_follow_the_step_and_the_worker) {
    run_learning learning({});
    BOOST_TEST(learning.expected_ms(2, 1, "q", 700.0) == 700.0);
    random_runs runs(1, uneven_fleet(60));
    runs.run_steps(learning, 200);
    const auto step = runs.random().next();
    for (const worker_index w : {1U, 4U, 7U}) {
        learning.add({w, {step, 0, no_kind, true}, 0, "q", 4, 3000.0, 1000.0});
    }
    BOOST_TEST(learning.expected_ms(1, step, "q", 1000.0) == 3000.0,
               boost::test_tools::tolerance(0.2));
    BOOST_TEST(learning.expected_ms(0, step, "q", 1000.0) == 5000.0,
               boost::test_tools::tolerance(0.25));
}

BOOST_AUTO_TEST_SUITE_END()
