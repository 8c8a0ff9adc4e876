#pragma once

#include "core/dispatch/cap_gate.h"
#include "core/dispatch/capacity_fit.h"
#include "core/dispatch/plan_state.h"
#include "core/dispatch/ticket_planner.h"
#include "core/dispatch/waiting_report.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// Places waiting steps on the workers in the order in which they are given. Tasks that wait for
/// free capacity, tickets or other members of their gang are not part of the result, nor those
/// beyond the limit. A gang that exceeds the limit by itself starts when little else is pending.
/// Runs are preempted for at most one gang. Has no side effects.
class step_planner {
public:
    step_planner(std::vector<worker_free_capacity> free_capacities, const plan_limits& limits,
                 common::time_point now)
        : m_plan(std::move(free_capacities), limits, now) {}
    step_planner(const step_planner&) = delete;
    step_planner& operator=(const step_planner&) = delete;

    /// Returns whether tasks of the step were placed.
    bool plan(const waiting_step& step);
    /// How the cap of its customer kept the last step of plan() from being placed.
    [[nodiscard]] cap_effect effect_of_cap() const { return m_cap_effect; }
    /// Why nothing of the step was placed; the step is that of the last call of plan().
    [[nodiscard]] wait_cause cause_of_wait(const waiting_step& step) const;
    [[nodiscard]] plan_result take();

private:
    void plan_tasks(const waiting_step& step);
    [[nodiscard]] bool may_start_task(const waiting_step& step, std::uint32_t index) const;
    void plan_suspect(const waiting_step& step, std::uint32_t index);
    /// Nothing else is started in this plan on the workers of the suspected tasks planned so far.
    void withdraw_suspect_workers();
    [[nodiscard]] std::optional<worker_slot> best_worker(const waiting_step& step,
                                                         const task_state& task) const;
    void plan_gang(const waiting_step& step);
    /// The last launch of the gang took too long, so that the next one waits.
    [[nodiscard]] bool is_postponed(const waiting_step& step) const;
    bool plan_fitting_gang(const waiting_step& step);
    /// Reserves the capacity on which the gang fits once the stopped runs have ended; false when it
    /// does not fit.
    bool reserve_after_stops(const waiting_step& step);
    /// Which workers a gang may be placed on, besides those without a need for tickets.
    enum class ticket_need {
        valid,     ///< with a valid ticket
        requested, ///< also those that a request under way names
        granted,   ///< all that have ever been granted
        held,      ///< those on which room is held for the gang
    };
    template <typename CapacityOf>
    [[nodiscard]] tasks_by_worker fit_gang(const waiting_step& step, ticket_need need,
                                           const std::string* rack, CapacityOf capacity_at) const;
    template <typename CapacityOf>
    [[nodiscard]] tasks_by_worker place_gang(const waiting_step& step, ticket_need need,
                                             CapacityOf capacity_at) const;
    [[nodiscard]] bool may_use(const waiting_step& step, const worker_candidate& c,
                               ticket_need need) const;
    [[nodiscard]] bool has_valid_tickets(const waiting_step& step, const tasks_by_worker& workers,
                                         common::duration margin) const;
    /// Upper bound of the number of tasks that fit once all stopped runs have ended, and those
    /// that the step may preempt as well.
    [[nodiscard]] std::int64_t most_fitting_tasks(const waiting_step& step, bool preempting);
    [[nodiscard]] const placement::resources& preemptible_capacity(worker_slot w, int priority);
    /// Whether the gang has tickets for enough workers, or can ask for them now.
    [[nodiscard]] bool can_use_room(const waiting_step& step) const;
    bool preempt_for_gang(const waiting_step& step);
    void start_gang(const waiting_step& step, const tasks_by_worker& workers);
    [[nodiscard]] bool may_preempt_for(const waiting_step& step) const;
    /// Keeps the room for the gang: in later plans as well if it is held.
    void keep_room(const waiting_step& step, const tasks_by_worker& workers);
    void reserve_now(const tasks_by_worker& workers);
    void reserve_capacity_for_gang(const waiting_step& step);
    void reserve_capacity(const waiting_step& step, const tasks_by_worker& workers,
                          common::time_point at);

    plan_state m_plan;
    ticket_planner m_tickets{m_plan};
    cap_gate m_caps{m_plan};
    cap_effect m_cap_effect = cap_effect::none;
    std::size_t m_reserved_gangs = 0;
    std::size_t m_unasked_gangs = 0;
    std::size_t m_preempting_gangs = 0;
    /// The step of the suspected task that was planned last.
    std::optional<task_key> m_probed_step;
    /// Workers that get suspected tasks of the step that is being planned.
    std::set<worker_slot> m_suspect_workers;
    /// Sum of the runs on each worker that work of a priority may preempt, by slot.
    std::map<int, std::vector<std::optional<placement::resources>>> m_preemptible;
};

} // namespace buckthornspar::dispatch
