#define BOOST_TEST_MODULE scheduling_scenarios
#include "scenario/scheduling/scheduling_world.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace buckthornspar::scenario;

namespace {

constexpr std::size_t random_runs = 500;

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback) {
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// BTS_SCRIPTS names another directory of scripts, for example one failing script to trace.
std::string script_directory() {
    const char* const text = std::getenv("BTS_SCRIPTS");
    return text == nullptr ? BTS_SCRIPT_DIR : text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scheduling_scenario_test)

// Guards against the failures that the scripts describe: see the head of each.
BOOST_AUTO_TEST_CASE(scripts_pass) {
    const std::string failures = run_directory(script_directory(), make_scheduling_world);
    BOOST_TEST(failures.empty(), failures);
}

// Guards against combinations of faults that nobody thought of. BTS_SEED and BTS_RUNS choose other
// runs.
BOOST_AUTO_TEST_CASE(random_runs_pass) {
    const auto seed = number_from_environment("BTS_SEED", 1);
    const auto count = number_from_environment("BTS_RUNS", random_runs);
    const std::string failure =
        run_random(seed, count, random_scheduling_script, make_scheduling_world);
    BOOST_TEST(failure.empty(), failure);
}

BOOST_AUTO_TEST_SUITE_END()
