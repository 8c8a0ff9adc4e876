#pragma once

#include "cell_acceptance.h"
#include "core/common/rng.h"
#include "core/placement/placement_engine.h"
#include "core/scheduling/worker_health.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::bench {

constexpr std::int64_t cores = 1000;
constexpr std::int64_t gigabytes = 1024;

/// Returns workers of equal capacity, 8 per rack.
[[nodiscard]] std::vector<placement::worker_info>
make_workers(std::size_t count, const placement::resources& capacity, const std::string& prefix);

/// Draws the demand of a task from a mix of small, CPU-bound, memory-bound and large batch tasks.
/// On average the mix needs about 2 GB per core.
[[nodiscard]] placement::resources mixed_demand(common::rng& random);

/// Returns the largest fraction of the capacity that the demand takes of any resource.
[[nodiscard]] double dominant_share(const placement::resources& demand,
                                    const placement::resources& capacity);

/// Fixed delays of the steps outside the placement engine; zero skips a step.
struct cell_delays {
    /// From the caller's submission to its arrival at the shard owner.
    common::duration submission{0};
    /// From a placement decision to the worker's acceptance of the task.
    common::duration start{0};
    /// From a worker's failure until the engine stops placing tasks on it.
    common::duration failure_detection{0};
    /// From a worker's failure until its lease ends and its tasks may start on another worker.
    common::duration lease{0};
    /// From a refused submission until the caller's next attempt.
    common::duration resubmission{0};
};

/// Actual run time and CPU use of a task, which may differ from the declared values that the engine
/// sees.
struct actual_usage {
    common::duration run_time{0};
    /// CPU that the task uses. Tasks that start on an overcommitted worker run slower. 0 excludes
    /// the task from this model.
    std::int64_t cpu_milli = 0;
};

enum class failure_extent { worker, rack };

/// Discrete-event simulation of a cell around a placement engine, in virtual time. Tasks end after
/// their actual run time, and faults occur at given times. The engine makes one decision after the
/// events of each point in time.
class cell_simulation {
public:
    using task_listener = std::function<void(const std::string& task, common::time_point now)>;

    explicit cell_simulation(placement::placement_engine& engine) : m_engine(engine) {}

    /// Adds the workers to the engine. Faults are injected only into workers added here.
    void add_workers(const std::vector<placement::worker_info>& workers);
    void set_delays(const cell_delays& delays) { m_delays = delays; }
    /// Without a store model, submissions are accepted immediately.
    void set_store(const store_model& store) { m_acceptance.emplace(store); }

    /// Called when a worker accepts a task, except on a worker that is down or fails all tasks.
    void on_start(task_listener listener) { m_on_start = std::move(listener); }
    void on_refusal(task_listener listener) { m_on_refusal = std::move(listener); }
    void on_cancellation(task_listener listener) { m_on_cancellation = std::move(listener); }

    /// Schedules the submission of the task at request.submitted.
    void add_task(placement::task_request request, const actual_usage& actual);

    /// Schedules a failure of the worker that then runs most tasks, or of its whole rack. The
    /// workers recover after the outage; their tasks are queued again.
    void add_failure(common::time_point at, failure_extent extent, common::duration outage);

    /// From the given time on, the worker that then runs most tasks fails each task shortly after
    /// its start. worker_health decides when it is excluded from placement.
    void add_faulty_worker(common::time_point at);

    /// Cancels every n-th waiting task.
    void add_cancellations(common::time_point at, std::size_t every_nth);

    /// Leaves the shard without an owner: no decisions and no accepted submissions during the
    /// outage, while workers continue to run their tasks.
    void add_owner_loss(common::time_point at, common::duration outage);

    /// Processes all events and returns the time of the last one.
    common::time_point run();

    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    enum class event_kind {
        submission,
        acceptance,
        end,
        worker_failure,
        rack_failure,
        failure_detection,
        lease_end,
        recovery,
        fault,
        task_failure,
        exclusion_end,
        cancellations,
        owner_loss,
        owner_return
    };
    struct event {
        event_kind kind = event_kind::submission;
        /// Id of the task or worker.
        std::string name;
        /// Attempt of the task, or another number that depends on the kind of the event.
        std::uint64_t number = 0;
    };
    struct task_state {
        placement::task_request request;
        actual_usage actual;
        std::string worker;
        std::uint64_t attempt = 0;
        bool submitted = false;
    };

    void schedule(common::time_point at, event_kind kind, const std::string& name = {},
                  std::uint64_t number = 0);
    /// Returns true when only the shard owner can process the event and there is no owner.
    [[nodiscard]] bool waits_for_owner(event_kind kind) const;
    void process(const event& e);
    void process_task_event(const event& e);
    void process_worker_event(const event& e);
    void submit(const std::string& task);
    void refuse(const std::string& task);
    void accept();
    void schedule_acceptance(common::time_point at);
    void decide();
    void start(const placement::assignment& a);
    [[nodiscard]] common::duration run_time_on(const std::string& worker,
                                               const actual_usage& actual);
    void end(const std::string& task, std::uint64_t attempt);
    void unassign(task_state& task);

    // Fault injection.
    [[nodiscard]] std::string busiest_worker() const;
    void fail_busiest(failure_extent extent, common::duration outage);
    void fail(const std::string& worker);
    void requeue_tasks_of(const std::string& worker);
    void fail_task(const std::string& task, std::uint64_t attempt);
    void update_exclusion(const std::string& worker);
    void cancel(std::size_t every_nth);

    placement::placement_engine& m_engine;
    cell_delays m_delays;
    std::optional<cell_acceptance> m_acceptance;
    task_listener m_on_start;
    task_listener m_on_refusal;
    task_listener m_on_cancellation;
    std::multimap<common::time_point, event> m_events;
    std::unordered_map<std::string, task_state> m_tasks;
    std::map<std::string, placement::worker_info> m_workers;
    std::set<std::string> m_down;
    std::set<std::string> m_faulty;
    scheduling::worker_health m_health{scheduling::worker_health_settings{}};
    /// CPU in use on each worker, in milli-cores; see actual_usage::cpu_milli.
    std::unordered_map<std::string, std::int64_t> m_used_cpu;
    /// Number of the latest acceptance event; earlier ones that are still scheduled are ignored.
    std::uint64_t m_acceptance_number = 0;
    std::optional<common::time_point> m_acceptance_due;
    common::time_point m_owner_return_time{};
    common::time_point m_now{};
    std::size_t m_starts = 0;
};

} // namespace buckthornspar::bench
