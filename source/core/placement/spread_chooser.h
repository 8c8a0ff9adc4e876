#pragma once

#include "core/placement/workload_policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Number of tasks of one job in each place and rack.
struct job_spread {
    std::vector<std::uint32_t> by_place;
    std::unordered_map<std::uint32_t, std::uint32_t> by_rack;
    std::uint32_t tasks = 0;

    [[nodiscard]] std::uint32_t in_place(std::uint32_t place) const;
    [[nodiscard]] std::uint32_t in_rack(std::uint32_t rack) const;
};

/// Chooses workers such that the tasks of a job are spread evenly; the scorer selects among the
/// workers of the least used racks. The even spread is a preference, so that a full place does not
/// prevent a task from running; the maximum number of tasks per rack is a hard limit.
class spread_chooser {
public:
    /// max_per_rack of 0 means no limit.
    spread_chooser(spread_rule rule, std::size_t max_per_rack);

    /// Returns true when the rule changed; the counts are then reset, and the caller reports all
    /// running tasks again through task_assigned().
    [[nodiscard]] bool set_rule(spread_rule rule);
    [[nodiscard]] spread_rule rule() const { return m_rule; }

    [[nodiscard]] placement_choice choose(const placement_context& view,
                                          const task_request& request) const;

    void task_assigned(const task_request& request, const worker_location& location);
    void task_released(const task_request& request, const worker_location& location);

private:
    [[nodiscard]] std::optional<worker_index> choose_even(const placement_context& view,
                                                          const task_request& request,
                                                          const job_spread& spread) const;
    [[nodiscard]] std::optional<worker_index> choose_by_place(const placement_context& view,
                                                              const task_request& request,
                                                              const job_spread& spread) const;
    [[nodiscard]] std::optional<worker_index> choose_by_rack(const placement_context& view,
                                                             const task_request& request,
                                                             const job_spread& spread) const;

    spread_rule m_rule;
    std::uint32_t m_rack_limit;
    std::unordered_map<std::string, job_spread> m_jobs;
};

} // namespace buckthornspar::placement
