#pragma once

#include "core/dispatch/plan_state.h"

#include <cstddef>
#include <cstdint>

namespace buckthornspar::dispatch {

/// How the cap of its customer keeps a step from being placed.
enum class cap_effect {
    none,     ///< not at all
    step,     ///< the step alone waits: others of the customer may be placed
    customer, ///< what is left of the cap is kept for the step
};

/// Holds the steps of a plan to the caps of their customers.
class cap_gate {
public:
    explicit cap_gate(plan_state& plan) : m_plan(plan) {}

    [[nodiscard]] cap_effect check(const waiting_step& step);
    /// Number of tasks of the step that may start now.
    [[nodiscard]] std::int64_t permitted_tasks(const waiting_step& step);
    /// Leaves what the step has requested tickets for to it when later steps request theirs. The
    /// counts are those of the plan's result before the step was planned.
    void claim(const waiting_step& step, std::size_t starts_before, std::size_t requests_before);

private:
    plan_state& m_plan;
};

} // namespace buckthornspar::dispatch
