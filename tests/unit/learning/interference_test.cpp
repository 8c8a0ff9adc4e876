#include "unit/learning/random_runs.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::learning;
using namespace buckthornspar::learning::test;

namespace {

constexpr std::uint64_t seeds = 10;
constexpr kind_index tiles = 0;
constexpr kind_index billing = 1;
constexpr kind_index sweep = 2;

run_learning make_learning() {
    run_learning learning({});
    BOOST_TEST_REQUIRE(learning.pairs().add_kind("tiles") == tiles);
    BOOST_TEST_REQUIRE(learning.pairs().add_kind("billing") == billing);
    BOOST_TEST_REQUIRE(learning.pairs().add_kind("sweep") == sweep);
    return learning;
}

/// A random half of the workers has each kind.
void draw_neighbours(random_runs& runs, std::size_t workers) {
    runs.neighbours_of_worker.clear();
    for (std::size_t w = 0; w < workers; ++w) {
        runs.neighbours_of_worker.push_back(static_cast<kind_set>(runs.random().below(8)));
    }
}

double tiles_slow_down_billing(kind_index kind, kind_set beside) {
    return kind == billing && (beside & set_of(tiles)) != 0 ? 1.4 : 1.0;
}

void play(run_learning& learning, random_runs& runs, std::size_t workers, int rounds) {
    for (int i = 0; i < rounds; ++i) {
        draw_neighbours(runs, workers);
        for (const auto kind : {tiles, billing, sweep}) {
            runs.run_steps(learning, 3, kind);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(interference_suite)

// Load: three kinds of work share all workers, and one slows another down by 40 %. Guards against
// missing the pair, and against blaming the third kind, which is often there as well.
BOOST_AUTO_TEST_CASE(the_pair_that_disturbs_is_believed_and_no_other) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto learning = make_learning();
        random_runs runs(seed, std::vector<double>(60, 1.0));
        runs.slowdown = &tiles_slow_down_billing;
        play(learning, runs, 60, 60);
        const auto& pairs = learning.pairs();
        BOOST_TEST(pairs.slowdown(billing, set_of(tiles)) > 0.2, "seed " << seed);
        BOOST_TEST(pairs.slowdown(billing, set_of(tiles)) < 0.45, "seed " << seed);
        BOOST_TEST(pairs.slowdown(billing, set_of(sweep)) == 0.0, "seed " << seed);
        BOOST_TEST(pairs.believed_pairs() == 1U, "seed " << seed);
        // Placing either of the two beside the other costs the same.
        BOOST_TEST(pairs.cost(tiles, set_of(billing)) == pairs.cost(billing, set_of(tiles)));
    }
}

// Load: three kinds of work share all workers of an uneven fleet, and none disturbs another. Guards
// against keeping kinds apart because of chance, of long tasks or of the workers' speeds.
BOOST_AUTO_TEST_CASE(no_pair_is_believed_without_interference) {
    std::size_t alarms = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto learning = make_learning();
        std::vector<double> speeds;
        speeds.reserve(60);
        for (int w = 0; w < 60; ++w) {
            speeds.push_back(w % 3 == 0 ? 0.6 : w % 3 == 1 ? 1.0 : 1.6);
        }
        random_runs runs(seed, speeds);
        play(learning, runs, 60, 100);
        alarms += learning.pairs().take_changes().size();
    }
    BOOST_TEST(alarms <= 1U);
}

// Load: a kind of work is always on the same slow workers. Guards against taking the speed of these
// workers for a disturbance by that kind.
BOOST_AUTO_TEST_CASE(a_slow_worker_is_not_taken_for_a_bad_pair) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto learning = make_learning();
        std::vector<double> speeds(60, 1.0);
        std::vector<kind_set> kinds(60, set_of(sweep));
        for (std::size_t w = 0; w < 20; ++w) {
            speeds[w] = 0.6;
            kinds[w] = set_of(tiles);
        }
        random_runs runs(seed, speeds);
        runs.neighbours_of_worker = kinds;
        runs.run_steps(learning, 400, billing);
        BOOST_TEST(learning.pairs().believed_pairs() == 0U, "seed " << seed);
        BOOST_TEST(learning.log_speed(0) < -0.2, "seed " << seed);
    }
}

// Load: a pair disturbs for a time, then a new release of one of them ends that. Guards against
// keeping kinds apart for good.
BOOST_AUTO_TEST_CASE(a_pair_that_stops_to_disturb_is_given_up) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto learning = make_learning();
        random_runs runs(seed, std::vector<double>(60, 1.0));
        runs.slowdown = &tiles_slow_down_billing;
        play(learning, runs, 60, 60);
        BOOST_TEST_REQUIRE(learning.has_interference());
        runs.slowdown = [](kind_index, kind_set) { return 1.0; };
        play(learning, runs, 60, 60);
        BOOST_TEST(!learning.has_interference(), "seed " << seed);
    }
}

// Load: a disturbing pair is kept apart, so that no run shows any more whether it still disturbs.
// Guards against a belief that nothing can ever correct.
BOOST_AUTO_TEST_CASE(a_pair_that_is_kept_apart_is_tried_again) {
    auto learning = make_learning();
    random_runs runs(1, std::vector<double>(60, 1.0));
    runs.slowdown = &tiles_slow_down_billing;
    play(learning, runs, 60, 60);
    BOOST_TEST_REQUIRE(learning.has_interference());
    runs.neighbours_of_worker.assign(60, set_of(sweep));
    runs.run_steps(learning, 600, billing);
    BOOST_TEST(!learning.has_interference());
}

// Load: more kinds of work than the table has room for. Guards against memory that grows with the
// number of images.
BOOST_AUTO_TEST_CASE(the_number_of_kinds_is_bounded) {
    interference pairs;
    for (std::size_t i = 0; i < max_kinds; ++i) {
        BOOST_TEST(pairs.add_kind("kind" + std::to_string(i)) == i);
    }
    BOOST_TEST(pairs.add_kind("one too many") == no_kind);
    BOOST_TEST(pairs.add_kind("kind3") == 3);
    pairs.add(no_kind, 1, 1, 0.5);
    BOOST_TEST(pairs.cost(no_kind, ~kind_set{0}) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
