#pragma once

#include "scenario/script.h"

#include <functional>
#include <memory>
#include <string>

namespace buckthornspar::scenario {

/// An expectation of a script, or an invariant of the world, that does not hold.
class violation : public common::error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "violation"; }
};

/// The system under test with its fakes, under a virtual clock. Implementations check their
/// invariants after every event that they process and throw violation.
class world {
public:
    virtual ~world() = default;

    /// Processes all internal events up to and including the time since the start.
    virtual void run_until(common::duration since_start) = 0;

    /// Executes an action step. Throws script_error for an unknown verb.
    virtual void act(const step& s) = 0;

    /// Checks an expectation step. Throws violation when it does not hold, script_error for an
    /// unknown verb.
    virtual void expect(const step& s) = 0;

    /// Checks what must hold once the script has ended, for example that every caller was answered.
    virtual void finish() {}

protected:
    world() = default;
    world(const world&) = default;
    world& operator=(const world&) = default;
};

using world_factory = std::function<std::unique_ptr<world>(const script&)>;

struct run_result {
    bool passed = true;
    /// Empty when passed; otherwise the violation and the line of the step.
    std::string failure;
};

/// Runs the script in a new world. A violation gives a failed result; script_error passes through.
[[nodiscard]] run_result run_script(const script& s, const world_factory& make_world);

/// Removes steps of a failing script as long as it still fails.
[[nodiscard]] script shrink(const script& failing, const world_factory& make_world);

/// The directory that BTS_SCRIPTS names, for example one with a failing script to trace; otherwise
/// the given one.
[[nodiscard]] std::string script_directory(const std::string& default_directory);

/// Runs every *.yaml script below the directory and returns the text of all failures.
[[nodiscard]] std::string run_directory(const std::string& directory,
                                        const world_factory& make_world);

using script_generator = std::function<script(std::uint64_t seed)>;

/// Runs generated scripts for seeds first_seed, first_seed + 1, ... Returns an empty text when all
/// pass, otherwise the failure and the shortest failing script found.
[[nodiscard]] std::string run_random(std::uint64_t first_seed, std::size_t count,
                                     const script_generator& generate,
                                     const world_factory& make_world);

/// run_random() with the first seed of BTS_SEED (1) and the number of runs of BTS_RUNS.
[[nodiscard]] std::string run_random(std::size_t default_count, const script_generator& generate,
                                     const world_factory& make_world);

/// Runs generated scripts from seed 1 on with a fault in the system, which the setup names as
/// mutation, until one fails. Returns the violation; empty when the fault is not noticed.
[[nodiscard]] std::string find_mutation_failure(const std::string& mutation, std::size_t count,
                                                const script_generator& generate,
                                                const world_factory& make_world);

} // namespace buckthornspar::scenario
