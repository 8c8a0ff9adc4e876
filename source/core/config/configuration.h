#pragma once

#include "core/placement/placement_types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::config {

using placement::spread_rule;

/// Placement and retry policy for the tasks of one workload kind.
struct workload_policy_settings {
    std::string scorer = "best_fit";
    spread_rule spread = spread_rule::none;
    /// Number of attempts after which a task is reported as failed.
    std::int64_t max_attempts = 5;

    bool operator==(const workload_policy_settings&) const = default;
};

/// Numeric limits that operators can change at run time.
enum class limit {
    max_tasks_per_job,
    max_pending_jobs_per_team,
    max_queued_requests_per_caller,
    max_request_deadline_ms,
    cross_region_bytes_per_s,
    retry_budget_percent,
};
constexpr std::size_t limit_count = 6;

struct limit_definition {
    std::string_view name;
    std::int64_t min;
    std::int64_t max;
    std::int64_t initial;
};
[[nodiscard]] const limit_definition& definition_of(limit l);

/// Names that a configuration may refer to. An empty list allows every name.
struct configuration_rules {
    std::vector<std::string> workload_kinds = {"service", "batch", "all_at_once"};
    std::vector<std::string> scorers = {"first_fit", "two_choices", "best_fit"};
    std::vector<std::string> regions;
};

/// The operators' configuration. A default-constructed one is valid: no team has a quota, every
/// workload kind has the default policy, and the limits have their initial values.
struct configuration {
    configuration();

    /// Maximum resources for the running tasks of a team; teams without an entry are unlimited.
    std::map<std::string, placement::resources> quotas;
    std::map<std::string, workload_policy_settings> workload_policies;
    /// Workers that receive no new tasks, with the operator's reason.
    std::map<std::string, std::string> worker_exclusions;
    /// Regions in which a team's work is placed, in order of preference.
    std::map<std::string, std::vector<std::string>> region_preferences;
    std::array<std::int64_t, limit_count> limits{};

    [[nodiscard]] std::int64_t get(limit l) const { return limits.at(static_cast<std::size_t>(l)); }

    bool operator==(const configuration&) const = default;
};

/// JSON document with one object per member and one entry per field.
[[nodiscard]] std::string to_json(const configuration& c);

/// Parses and validates a complete document. Absent sections, policies and limits take their
/// defaults. Throws configuration_error.
[[nodiscard]] configuration read_configuration(std::string_view json,
                                               const configuration_rules& rules);

} // namespace buckthornspar::config
