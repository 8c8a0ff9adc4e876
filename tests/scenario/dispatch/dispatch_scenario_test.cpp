#define BOOST_TEST_MODULE dispatch_scenarios
#include "scenario/dispatch/dispatch_world.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::scenario;

namespace {

constexpr std::size_t random_runs = 1000;
constexpr std::size_t mutation_runs = 300;

bool mutation_is_detected(const std::string& mutation, const std::string& expected) {
    const auto failure =
        find_mutation_failure(mutation, mutation_runs, random_dispatch_script, make_dispatch_world);
    BOOST_TEST_MESSAGE(mutation << ": " << failure);
    return failure.find(expected) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(dispatch_scenario_test)

// Guards against the failures that are described at the head of each script.
BOOST_AUTO_TEST_CASE(scripts_pass) {
    const auto failures = run_directory(script_directory(BTS_SCRIPT_DIR), make_dispatch_world);
    BOOST_TEST(failures.empty(), failures);
}

// Guards against unforeseen combinations of faults. BTS_SEED and BTS_RUNS select other runs.
BOOST_AUTO_TEST_CASE(random_runs_pass) {
    const auto failure = run_random(random_runs, random_dispatch_script, make_dispatch_world);
    BOOST_TEST(failure.empty(), failure);
}

// The cases below guard against checks that cannot fail: each gives the owner one kind of wrong
// information and expects the matching violation.
BOOST_AUTO_TEST_CASE(an_overcommitted_worker_is_detected) {
    BOOST_TEST(mutation_is_detected("demand", "runs more than its capacity"));
}

BOOST_AUTO_TEST_CASE(a_start_before_an_earlier_step_is_detected) {
    BOOST_TEST(mutation_is_detected("order", "before an earlier step"));
}

BOOST_AUTO_TEST_CASE(a_start_after_the_last_attempt_is_detected) {
    BOOST_TEST(mutation_is_detected("attempts", "after the last attempt"));
}

BOOST_AUTO_TEST_CASE(a_task_that_crashes_too_many_workers_is_detected) {
    BOOST_TEST(mutation_is_detected("crashes", "has crashed"));
}

BOOST_AUTO_TEST_CASE(a_start_of_a_cancelled_job_is_detected) {
    BOOST_TEST(mutation_is_detected("cancel", "after its job was cancelled"));
}

BOOST_AUTO_TEST_SUITE_END()
