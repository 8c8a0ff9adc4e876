#define BOOST_TEST_MODULE scenario_routing
#include "scenario/routing/routing_world.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace buckthornspar;
using namespace buckthornspar::scenario;

namespace {

step make_step(common::duration at, const std::string& verb,
               std::initializer_list<std::pair<std::string, std::string>> args) {
    step s;
    s.at = at;
    s.verb = verb;
    for (const auto& [key, value] : args) {
        s.args.set(key, value);
    }
    return s;
}

std::string pick(common::rng& random, std::initializer_list<const char*> names) {
    return *(names.begin() + random.below(names.size()));
}

step random_step(common::rng& random, common::duration at, std::uint64_t number) {
    const std::string runner = "r" + std::to_string(1 + random.below(3));
    const std::string entry = "e" + std::to_string(1 + random.below(2));
    const std::uint64_t kind = random.below(11);
    if (kind < 4) {
        return make_step(at, "fault",
                         {{"runner", runner},
                          {"kind", pick(random, {"none", "none", "none", "silent", "paused", "late",
                                                 "twice", "truncated", "refuses_all"})}});
    }
    if (kind == 4) {
        return make_step(at, "silence", {{"entry", entry}, {"runner", runner}});
    }
    if (kind == 5) {
        return make_step(at, "half_open", {{"entry", entry}, {"runner", runner}});
    }
    if (kind == 6) {
        return make_step(at, "leaving", {{"runner", runner}});
    }
    if (kind == 7) {
        return make_step(at, "restart", {{"runner", runner}});
    }
    if (kind == 9) {
        return make_step(at, "peers",
                         {{"lose", std::to_string(random.below(101))},
                          {"late", pick(random, {"0ms", "100ms", "3s"})},
                          {"cut_off", pick(random, {"", "e1", "e2"})}});
    }
    if (kind == 8) {
        return make_step(at, "wrong_id", {{"runner", runner}});
    }
    return make_step(at, "submit",
                     {{"id", "load" + std::to_string(1 + random.below(number + 2))},
                      {"entry", entry},
                      {"repeat", "true"},
                      {"deadline", "900ms"}});
}

script random_script(std::uint64_t seed) {
    common::rng random(seed);
    script s;
    s.name = "random";
    s.seed = seed;
    s.setup.set("slots", "2");
    s.setup.set("regions", std::to_string(1 + random.below(2)));
    s.setup.set("deadline", "900ms");
    s.setup.set("twice", random.chance(0.3) ? "true" : "false");
    s.setup.set("policy", pick(random, {"slot_grants", "two_choices", "least_outstanding",
                                        "learning_automaton"}));
    s.steps.push_back(make_step(std::chrono::milliseconds(10), "load",
                                {{"rate", std::to_string(20 + random.below(80))},
                                 {"for", "1500ms"},
                                 {"work", pick(random, {"5ms", "40ms", "120ms"})}}));
    common::duration at = std::chrono::milliseconds(20);
    const std::uint64_t steps = 2 + random.below(8);
    for (std::uint64_t i = 0; i < steps; ++i) {
        at += std::chrono::milliseconds(random.below(300));
        s.steps.push_back(random_step(random, at, i));
    }
    s.end = std::max<common::duration>(at, std::chrono::milliseconds(1500)) +
            std::chrono::milliseconds(1300);
    return s;
}

script script_with_defect(const std::string& defect) {
    script s = parse_script(R"(
setup: {runners: 2, entries: 2, slots: 2, work: 100ms}
steps:
  - {at: 10ms, do: leaving, runner: r2}
  - {at: 20ms, do: load, rate: 100, for: 4s, deadline: 1s}
end: 8s
)",
                            defect);
    s.setup.set("defect", defect);
    return s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(scenario_routing)

// Guards against wrong outcomes, lost answers and broken invariants under each known fault.
BOOST_AUTO_TEST_CASE(scripts_pass) {
    const std::string failures = run_directory(BTS_SCRIPTS, make_routing_world());
    BOOST_TEST(failures.empty(), failures);
}

// Guards against broken invariants when several faults coincide.
BOOST_AUTO_TEST_CASE(random_runs_keep_the_invariants) {
    constexpr std::uint64_t first_seed = 1;
    constexpr std::size_t runs = 3000;
    const std::string failure = run_random(first_seed, runs, random_script, make_routing_world());
    BOOST_TEST(failure.empty(), failure);
}

// Guards against checks that cannot fail: each injected defect must be detected, with the matching
// message.
BOOST_AUTO_TEST_CASE(each_check_finds_its_fault) {
    const std::array<std::pair<const char*, const char*>, 7> defects{{
        {"answer_twice", "answered twice"},
        {"drop_answer", "got no answer"},
        {"swap_body", "got the answer"},
        {"cut_body", "got the answer"},
        {"deny_run", "was told 'not run'"},
        {"ignore_slots", "more than its slots"},
        {"hide_leaving", "shown as leaving"},
    }};
    for (const auto& [defect, expected] : defects) {
        const run_result result = run_script(script_with_defect(defect), make_routing_world());
        BOOST_TEST(!result.passed, defect);
        BOOST_TEST(result.failure.find(expected) != std::string::npos, result.failure);
    }
}

// Guards against checks that miss double executions, for idempotent and other requests.
BOOST_AUTO_TEST_CASE(double_executions_are_found) {
    script s = script_with_defect("send_twice");
    s.steps.erase(s.steps.begin());
    s.steps[0].args.set("idempotent_percent", "0");
    const run_result twice = run_script(s, make_routing_world());
    BOOST_TEST(twice.failure.find("runs twice") != std::string::npos, twice.failure);
    s.steps[0].args.set("idempotent_percent", "100");
    const run_result overlap = run_script(s, make_routing_world());
    BOOST_TEST(overlap.failure.find("two places") != std::string::npos, overlap.failure);
}

// Guards against a response time check that cannot fail.
BOOST_AUTO_TEST_CASE(slow_responses_are_found) {
    const script s = parse_script(R"(
setup: {runners: 2, entries: 2, slots: 2, work: 100ms}
steps:
  - {at: 10ms, do: load, rate: 10, for: 2s}
  - {at: 4s, expect: response_time, from: 0s, until: 2s, at_most: 90ms}
end: 5s
)",
                                  "slow");
    const run_result result = run_script(s, make_routing_world());
    BOOST_TEST(result.failure.find("response time") != std::string::npos, result.failure);
}

BOOST_AUTO_TEST_SUITE_END()
