#define BOOST_TEST_MODULE scenario_config
#include "scenario/config/config_world.h"
#include "scenario/config/random_script.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::scenario;

namespace {

constexpr std::uint64_t first_seed = 1;
constexpr std::size_t random_runs = 3000;

std::unique_ptr<world> make_world(const script& s) {
    return std::make_unique<config_world>(s);
}

std::string run_with_mutation(const std::string& file, const std::string& mutation) {
    script s = load_script(std::string(CONFIG_SCRIPTS) + "/" + file);
    s.setup.set("mutation", mutation);
    return run_script(s, make_world).failure;
}

bool mentions(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_scenarios)

// Runs the scripts, one for each failure mode of the design page that is covered.
BOOST_AUTO_TEST_CASE(scripts_pass) {
    const std::string failures = run_directory(CONFIG_SCRIPTS, make_world);
    BOOST_TEST(failures.empty(), failures);
}

// Guards against failures in combinations of faults that no script covers. BTS_SEED and BTS_RUNS
// set the first seed and the number of runs.
BOOST_AUTO_TEST_CASE(random_scripts_pass) {
    const std::string failures = run_random(random_runs, make_random_config_script, make_world);
    BOOST_TEST(failures.empty(), failures);
}

// Guards against random scripts in which no patch is accepted, which would make the checks
// ineffective.
BOOST_AUTO_TEST_CASE(random_scripts_accept_patches) {
    std::size_t accepted = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + 100; ++seed) {
        const script s = make_random_config_script(seed);
        config_world w(s);
        for (const auto& item : s.steps) {
            w.run_until(item.at);
            if (item.kind == step_kind::action) {
                w.act(item);
            }
        }
        accepted += w.accepted();
    }
    BOOST_TEST(accepted > 300U);
}

// The remaining cases verify that each check detects the fault that it is intended for.

BOOST_AUTO_TEST_CASE(creation_in_pruned_slots_is_detected) {
    const auto failure = run_with_mutation("paused_through_ten_versions.yaml", "create_if_absent");
    BOOST_TEST(mentions(failure, "was written after version"), failure);
}

BOOST_AUTO_TEST_CASE(write_without_compare_is_detected) {
    const auto failure = run_with_mutation("operators_race.yaml", "no_compare");
    BOOST_TEST(mentions(failure, "was written after version"), failure);
}

BOOST_AUTO_TEST_CASE(refusal_of_a_written_patch_is_detected) {
    const auto failure = run_with_mutation("answer_lost_after_write.yaml", "unknown_as_refused");
    BOOST_TEST(mentions(failure, "was refused but is a version"), failure);
}

BOOST_AUTO_TEST_CASE(acceptance_of_an_unwritten_patch_is_detected) {
    const auto failure = find_mutation_failure("unknown_as_accepted", random_runs,
                                               make_random_config_script, make_world);
    BOOST_TEST(mentions(failure, "which is not in the store"), failure);
}

BOOST_AUTO_TEST_CASE(lost_version_is_detected) {
    const std::string text = "setup: {regions: 1}\nsteps:\n"
                             "  - {at: 100ms, do: submit, process: c0.0, id: p1, version: 0}\n"
                             "  - {at: 4s, do: lose_version, process: m0.0}\nend: 5s\n";
    const auto result = run_script(parse_script(text, "lost version"), make_world);
    BOOST_TEST(mentions(result.failure, "went back from version 1"), result.failure);
}

BOOST_AUTO_TEST_CASE(process_that_does_not_pull_is_detected) {
    const auto failure =
        find_mutation_failure("no_pull", random_runs, make_random_config_script, make_world);
    BOOST_TEST(mentions(failure, "instead of"), failure);
}

BOOST_AUTO_TEST_SUITE_END()
