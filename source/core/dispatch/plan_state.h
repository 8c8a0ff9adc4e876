#pragma once

#include "core/common/clock.h"
#include "core/customers/cap_budget.h"
#include "core/customers/cap_holds.h"
#include "core/dispatch/capacity_fit.h"
#include "core/dispatch/dispatch_actions.h"
#include "core/dispatch/step_order.h"
#include "core/dispatch/worker_preference.h"
#include "core/dispatch/worker_registry.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornspar::dispatch {

/// Free capacity of a worker, by slot. The pointer is null for a worker that may get no work.
struct worker_free_capacity {
    const worker_entry* worker = nullptr;
    placement::resources free;
    /// Capacity of runs that are being stopped.
    placement::resources stopping;
};

struct planned_start {
    task_key task;
    worker_slot worker = 0;
    std::string ticket;
    std::uint32_t run = 0;
};

/// Members of a gang on one worker.
struct launch_part {
    worker_slot worker = 0;
    /// Index of the next member to start, and of the one after the last.
    std::uint32_t next = 0;
    std::uint32_t end = 0;
};

/// A gang whose members are started over several turns of the owner's loop.
struct planned_launch {
    task_key step;
    std::uint32_t run = 0;
    placement::resources demand;
    std::vector<launch_part> parts;
};

/// A request for tickets of a step on the named workers.
struct ticket_request {
    task_key step;
    const queue_settings* queue = nullptr;
    std::vector<worker_slot> workers;
    std::string_view reason;
    bool excess = false;
};

/// Room that is kept for a gang from plan to plan while runs are stopped for it.
struct gang_hold {
    task_key step;
    placement::resources demand;
    tasks_by_worker workers;
    common::time_point until;
};

struct plan_limits {
    /// Starts that await a response.
    std::size_t pending_starts = 0;
    std::size_t max_pending_starts = std::numeric_limits<std::size_t>::max();
    /// Memory in bytes of these starts.
    std::int64_t pending_start_memory = 0;
    std::int64_t max_start_memory = std::numeric_limits<std::int64_t>::max();
    /// Starts that the plan may decide.
    std::size_t max_starts = std::numeric_limits<std::size_t>::max();
    /// A gang with more members, or whose starts take more memory in bytes, is launched.
    std::size_t largest_gang = std::numeric_limits<std::size_t>::max();
    std::int64_t largest_gang_memory = std::numeric_limits<std::int64_t>::max();
    /// Runs on all workers.
    std::size_t runs = 0;
    std::size_t max_runs = std::numeric_limits<std::size_t>::max();
    /// Tasks of a job that may have a state of their own, see max_open_tasks().
    std::size_t max_open_tasks = std::numeric_limits<std::size_t>::max();
    /// Another gang is being launched.
    bool launching = false;
    /// Ticket requests that may be sent, and those of them that may be sent in advance or to widen
    /// a choice.
    advice_slots advice;
    std::size_t optional_requests = std::numeric_limits<std::size_t>::max();
    /// A suspected task starts only on workers that responded this long after their last start.
    common::duration suspect_distance{0};
    /// Crashes of workers after which a task may be given up.
    std::uint32_t crash_limit = std::numeric_limits<std::uint32_t>::max();
    /// Whether runs may be preempted.
    bool preemption = false;
    /// What customers run, with their caps; null when no customer has one.
    const customers::cap_ledger* caps = nullptr;
    /// Set along with caps.
    customers::cap_holds* cap_holds = nullptr;
    /// Workers on which the last plan kept room for gangs, by slot. Tasks that are placed before
    /// the gangs avoid them where other workers have room.
    std::vector<bool> kept_for_gangs;
    /// Whether gangs keep the room for which runs are stopped, and the workers for which they have
    /// asked for tickets.
    bool steady_gangs = false;
    /// The holds that the last plan left.
    std::vector<gang_hold> holds;
    /// Part of the limits that steps in excess leave to entitled ones.
    std::size_t starts_kept = 0;
    advice_slots advice_kept{0, 0};
    /// What is known of workers and kinds of work; null when nothing is.
    const learning::run_learning* learnt = nullptr;
};

/// A run to be stopped for more urgent work.
struct preempted_run {
    worker_slot worker = 0;
    run_key run;
};

struct plan_result {
    std::vector<planned_start> starts;
    std::optional<planned_launch> launch;
    std::vector<ticket_request> ticket_requests;
    std::vector<preempted_run> preemptions;
    /// See plan_limits.
    std::vector<bool> kept_for_gangs;
    std::vector<gang_hold> holds;
    /// Workers that were examined for steps.
    std::size_t candidates_examined = 0;
};

/// Capacity reserved on a worker for a gang with a planned start.
struct capacity_reservation {
    placement::resources amount;
    common::time_point until;
    /// The step of the hold; null for a reservation of this plan only.
    const task_key* holder = nullptr;
};

/// A worker on which a step may run, with its ticket if the queue requires one.
struct worker_candidate {
    worker_slot worker = 0;
    const ticket_state* ticket = nullptr;
};

/// Minimum remaining validity of a ticket that is used, so that the start arrives before it
/// expires.
inline constexpr common::duration ticket_margin = std::chrono::milliseconds(60);

/// A plan in the making: what is left of the workers' capacity, the workers on which the selected
/// step may run, and the result so far.
class plan_state {
public:
    plan_state(std::vector<worker_free_capacity> free_capacities, const plan_limits& plan_limits,
               common::time_point time);

    /// Selects the step and collects its candidates. Workers without room are left out unless the
    /// step is a gang, which may reserve capacity that becomes free later.
    void select(const waiting_step& step);
    /// Whether the selected step may ever run on the worker, tickets aside.
    [[nodiscard]] bool is_eligible(const waiting_step& step, worker_slot w) const;
    [[nodiscard]] bool is_valid(const worker_candidate& c) const {
        return c.ticket == nullptr || c.ticket->expires > now + ticket_margin;
    }
    /// Free capacity that the step may use on the worker. Reservations of gangs are not available
    /// to a step that does not end before the gang's start, unless the step is entitled and has the
    /// most urgent priority.
    [[nodiscard]] placement::resources available_capacity(const waiting_step& step,
                                                          worker_slot w) const;
    /// Number of tasks of the step that the worker may still receive.
    [[nodiscard]] std::int64_t remaining_tasks_on(const waiting_step& step, worker_slot w) const;
    /// Number of tasks of the step that fit on the worker when it is empty.
    [[nodiscard]] std::int64_t capacity_in_tasks(const waiting_step& step, worker_slot w) const;
    /// Number of tasks of the step that fit on the candidates when these are empty.
    [[nodiscard]] std::int64_t total_task_capacity(const waiting_step& step) const;
    /// Whether this many further starts may be sent together. A gang that exceeds the limit by
    /// itself need not wait until nothing is pending, which may never be the case beside other
    /// work.
    [[nodiscard]] bool may_start(std::size_t count) const;
    /// Whether this many tasks of the selected step's job may start for the first time.
    [[nodiscard]] bool may_open(std::size_t count) const;
    /// Whether the workers may hold this many further runs of the selected step's job.
    [[nodiscard]] bool may_hold(std::size_t count) const;
    /// Room on the worker is kept for a gang, in this plan or in the last one.
    [[nodiscard]] bool is_kept_for_gang(worker_slot w) const {
        return !reservations[w].empty() ||
               (w < limits.kept_for_gangs.size() && limits.kept_for_gangs[w]);
    }
    void start(const waiting_step& step, std::uint32_t index, worker_slot w, std::uint32_t run);
    /// The gang has too many members to be started in one turn of the loop.
    [[nodiscard]] bool is_launched(const waiting_step& step) const;
    [[nodiscard]] bool may_launch(const waiting_step& step) const {
        return !limits.launching && !result.launch && may_start(1) && may_hold(step.spec->count);
    }
    void launch(const waiting_step& step, const tasks_by_worker& workers, std::uint32_t run);
    /// Number of the step's tasks that the plan starts, given the size of result.starts before it.
    [[nodiscard]] std::size_t planned_since(const waiting_step& step, std::size_t before) const {
        const bool launched = result.launch && result.launch->step == step.step;
        return launched ? step.spec->count : result.starts.size() - before;
    }
    /// Keeps the room for the gang in later plans, too, in place of what is held for it. A new hold
    /// ends at the given time.
    void hold(const waiting_step& step, const tasks_by_worker& workers, common::time_point until);
    [[nodiscard]] bool is_held(const waiting_step& step) const {
        return find_hold(step) != nullptr;
    }
    /// The room on the worker is held for the gang.
    [[nodiscard]] bool is_held_on(const waiting_step& step, worker_slot w) const;
    void release(const waiting_step& step);
    /// Places nothing more on the worker.
    void withdraw(worker_slot w);

    std::vector<worker_free_capacity> capacities;
    std::vector<std::vector<capacity_reservation>> reservations;
    plan_limits limits;
    customers::cap_budget caps;
    common::time_point now;
    plan_result result;
    /// Workers that receive a start of this plan.
    std::set<worker_slot> started;
    /// Room for which tickets have been requested for tasks of the steps planned so far, by slot.
    std::vector<placement::resources> requested;

    /// The holds as they are now, for the next plan.
    [[nodiscard]] std::vector<gang_hold> holds() const { return {m_holds.begin(), m_holds.end()}; }
    [[nodiscard]] std::size_t hold_count() const { return m_holds.size(); }

    // The selected step.
    placement::resources demand;
    std::int64_t start_memory = 0;
    /// Runs of its job, and starts of this plan, when it was selected.
    std::size_t job_runs = 0;
    std::size_t starts_before = 0;
    /// Its tasks with a state of their own.
    std::size_t open_tasks = 0;
    std::vector<worker_candidate> candidates;
    bool excess = false;
    /// Prefers some of the workers on which a step fits.
    worker_preference preference;
    /// The step may run on some worker, with or without room.
    bool has_eligible_workers = false;

private:
    /// Steps with this demand or a larger one have no room on any worker that they may use.
    struct rejected_demand {
        const std::vector<bool>* service = nullptr;
        std::string label;
        placement::resources demand;
    };

    [[nodiscard]] const std::vector<bool>& workers_of(const std::string& service);
    [[nodiscard]] bool is_rejected(const waiting_step& step) const;
    [[nodiscard]] const gang_hold* find_hold(const waiting_step& step) const;
    void add_candidate(const waiting_step& step, worker_slot w, const ticket_state* ticket);

    /// A list, because reservations refer to the steps.
    std::list<gang_hold> m_holds;
    /// Usable workers of each service, by slot.
    std::map<std::string, std::vector<bool>> m_services;
    const std::vector<bool>* m_selected_service = nullptr;
    /// Memory in bytes of the planned starts.
    std::int64_t m_planned_start_memory = 0;
    /// Planned first starts, by job.
    std::unordered_map<std::string, std::size_t> m_opened;
    std::vector<rejected_demand> m_rejected;
    /// Tasks of the selected step by worker, if their number is limited.
    std::unordered_map<std::string_view, std::int64_t> m_present_tasks;
};

} // namespace buckthornspar::dispatch
