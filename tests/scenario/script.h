#pragma once

#include "core/common/clock.h"
#include "core/common/error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::scenario {

/// An invalid script, or a step unknown to the world.
class script_error : public common::error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "script_error"; }
};

/// Named arguments of a step or of the setup. Values are parsed on access.
class arguments {
public:
    arguments() = default;
    explicit arguments(std::map<std::string, std::string, std::less<>> values)
        : m_values(std::move(values)) {}

    [[nodiscard]] bool has(std::string_view key) const { return m_values.contains(key); }
    /// Throws script_error if the key is absent.
    [[nodiscard]] std::string text(std::string_view key) const;
    [[nodiscard]] std::string text(std::string_view key, std::string_view fallback) const;
    [[nodiscard]] std::int64_t number(std::string_view key) const;
    [[nodiscard]] std::int64_t number(std::string_view key, std::int64_t fallback) const;
    /// A duration such as "250ms", "3s" or "1500us".
    [[nodiscard]] common::duration time(std::string_view key) const;
    [[nodiscard]] common::duration time(std::string_view key, common::duration fallback) const;
    [[nodiscard]] bool flag(std::string_view key, bool fallback) const;
    /// Comma-separated values.
    [[nodiscard]] std::vector<std::string> list(std::string_view key) const;

    void set(const std::string& key, const std::string& value) { m_values[key] = value; }
    [[nodiscard]] const auto& all() const { return m_values; }

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

enum class step_kind { action, expectation };

/// One step of a script: an action on the world, or an expectation, at a given time.
struct step {
    common::duration at{0};
    step_kind kind = step_kind::action;
    std::string verb;
    arguments args;
    int line = 0;
};

/// A scenario:
///
///     name: worker dies
///     seed: 7
///     setup: {workers: 4}
///     steps:
///       - {at: 0ms, do: submit, job: a, tasks: 3}
///       - {at: 2s, expect: running, job: a}
///     end: 30s
struct script {
    std::string name;
    std::uint64_t seed = 1;
    arguments setup;
    std::vector<step> steps;
    common::duration end{0};
};

/// Adds an action step.
void add_action(script& s, common::duration at, const std::string& verb,
                std::map<std::string, std::string, std::less<>> arguments_by_name);
/// Sorts the steps by time; steps with equal times keep their order.
void sort_steps(script& s);

/// Reads a script; its steps must be ordered by time. Throws script_error.
[[nodiscard]] script load_script(const std::string& path);
[[nodiscard]] script parse_script(const std::string& yaml, const std::string& name);

/// Returns the YAML text of the script, which parse_script() reads back.
[[nodiscard]] std::string to_yaml(const script& s);

/// Parses a duration such as "250ms", "3s" or "1500us".
[[nodiscard]] common::duration parse_duration(std::string_view text);

} // namespace buckthornspar::scenario
