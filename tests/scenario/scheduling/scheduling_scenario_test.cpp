#define BOOST_TEST_MODULE scheduling_scenarios
#include "scenario/scheduling/scheduling_world.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::scenario;

namespace {

constexpr std::size_t random_runs = 2000;
constexpr std::size_t partition_runs = 2000;
constexpr std::size_t mutation_runs = 400;

/// True if a random run with the given setup value fails with the expected violation.
bool detects_violation(const std::string& key, const std::string& value,
                       std::string_view expected) {
    for (std::uint64_t seed = 1; seed <= mutation_runs; ++seed) {
        script s = random_scheduling_script(seed);
        s.setup.set(key, value);
        const auto result = run_script(s, make_scheduling_world);
        if (!result.passed && result.failure.find(expected) != std::string::npos) {
            return true;
        }
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling_scenario_test)

// Guards against the failures described at the head of each script.
BOOST_AUTO_TEST_CASE(scripts_pass) {
    const std::string failures =
        run_directory(script_directory(BTS_SCRIPT_DIR), make_scheduling_world);
    BOOST_TEST(failures.empty(), failures);
}

// Guards against failures under unforeseen combinations of faults. BTS_SEED and BTS_RUNS select the
// runs.
BOOST_AUTO_TEST_CASE(random_runs_pass) {
    const std::string failure =
        run_random(random_runs, random_scheduling_script, make_scheduling_world);
    BOOST_TEST(failure.empty(), failure);
}

// Guards against two owners that run a task at the same time, each with a part of the workers.
BOOST_AUTO_TEST_CASE(random_partitions_pass) {
    const std::string failure =
        run_random(partition_runs, random_partition_script, make_scheduling_world);
    BOOST_TEST(failure.empty(), failure);
}

// The cases below guard against invariant checks that cannot fail: each disables one safety rule
// and expects the violation that the rule prevents.
BOOST_AUTO_TEST_CASE(missing_epoch_check_is_detected) {
    BOOST_TEST(
        detects_violation("skip_epoch_check", "true", "was reported as not run, but was started"));
}

BOOST_AUTO_TEST_CASE(stored_lower_epoch_is_detected) {
    BOOST_TEST(detects_violation("store_lower_epoch", "true", "went back to a lower epoch"));
}

BOOST_AUTO_TEST_CASE(lease_without_end_is_detected) {
    BOOST_TEST(detects_violation("skip_lease_end", "true", " runs on "));
}

BOOST_AUTO_TEST_CASE(start_without_validity_is_detected) {
    BOOST_TEST(detects_violation("skip_start_validity", "true", "was started twice"));
}

// With this drift, the owner considers leases expired after a tenth of their duration.
BOOST_AUTO_TEST_CASE(missing_wait_for_the_lease_is_detected) {
    BOOST_TEST(detects_violation("drift_permille", "-900", " runs on "));
}

BOOST_AUTO_TEST_CASE(store_without_compare_and_swap_is_detected) {
    BOOST_TEST(detects_violation("skip_cas_check", "true", "is lost"));
}

BOOST_AUTO_TEST_CASE(overcommitted_worker_is_detected) {
    BOOST_TEST(detects_violation("shrunk_capacity", "true", "is overcommitted"));
}

BOOST_AUTO_TEST_SUITE_END()
