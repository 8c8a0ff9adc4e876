#pragma once

#include "core/placement/workload_policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Tasks of one job per place and per rack.
struct job_spread {
    std::vector<std::uint32_t> by_place;
    std::unordered_map<std::uint32_t, std::uint32_t> by_rack;
    std::uint32_t tasks = 0;

    [[nodiscard]] std::uint32_t in_place(std::uint32_t place) const;
    [[nodiscard]] std::uint32_t in_rack(std::uint32_t rack) const;
};

/// Chooses workers so that the tasks of a job are spread evenly; among the workers of the least
/// used racks the scorer decides. Even spread is a preference, so that a full place keeps no task
/// from running; the most tasks per rack is a limit.
class spread_chooser {
public:
    /// max_per_rack is 0 for no limit.
    spread_chooser(spread_rule rule, std::size_t max_per_rack);

    /// True when the rule is a new one; the tasks are then counted anew.
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
