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

/// Workers of one capacity, 8 to a rack.
[[nodiscard]] std::vector<placement::worker_info>
make_workers(std::size_t count, const placement::resources& capacity, const std::string& prefix);

/// A demand from a mix of small, processor-heavy, memory-heavy and large batch tasks. Over many
/// tasks the mix needs about 2 GB to a core.
[[nodiscard]] placement::resources mixed_demand(common::rng& random);

/// The largest share of any resource that the demand takes of the capacity.
[[nodiscard]] double largest_share(const placement::resources& demand,
                                   const placement::resources& capacity);

/// Simple delays for what the engine is not concerned with; zero leaves the step out.
struct cell_delays {
    /// From the caller to the owner of the shard.
    common::duration submission{0};
    /// From a decision to the worker's acceptance.
    common::duration start{0};
    /// From a worker's failure until it gets no more starts.
    common::duration failure_notice{0};
    /// From a worker's failure until its tasks may start elsewhere.
    common::duration lease{0};
    /// From a refusal until the caller submits again.
    common::duration resubmission{0};
};

/// What the engine is not told about a task.
struct task_truth {
    common::duration run{0};
    /// Processors that the task uses; a worker on which more are used than it has runs the tasks
    /// that it then starts slower. 0 when they do not matter.
    std::int64_t cpu_milli = 0;
};

enum class failure_extent { worker, rack };

/// Runs an engine under virtual time: tasks end after their real run time, and faults happen at
/// given times. Each event is followed by one decision.
class cell_simulation {
public:
    using task_listener = std::function<void(const std::string& task, common::time_point now)>;

    explicit cell_simulation(placement::placement_engine& engine) : m_engine(engine) {}

    /// Adds the workers to the engine. Only these can have faults.
    void add_workers(const std::vector<placement::worker_info>& workers);
    void set_delays(const cell_delays& delays) { m_delays = delays; }
    /// Without a store, submissions are accepted at once.
    void set_store(const store_model& store) { m_acceptance.emplace(store); }

    /// Called when a worker has accepted a task, unless the worker was lost or fails all tasks.
    void on_start(task_listener listener) { m_on_start = std::move(listener); }
    void on_refusal(task_listener listener) { m_on_refusal = std::move(listener); }
    void on_cancellation(task_listener listener) { m_on_cancellation = std::move(listener); }

    /// Schedules the submission at its submission time.
    void add_task(placement::task_request request, const task_truth& truth);

    /// At the time the worker that runs most tasks, or its rack, fails; it comes back after the
    /// outage. Its tasks are submitted again.
    void add_failure(common::time_point at, failure_extent extent, common::duration outage);

    /// From the time on the worker that runs most tasks then fails each task soon after the start.
    /// worker_health decides when it gets work.
    void add_faulty_worker(common::time_point at);

    /// One of so many waiting tasks is cancelled.
    void add_cancellations(common::time_point at, std::size_t one_of);

    /// Nobody decides or accepts submissions during the outage; workers go on.
    void add_owner_loss(common::time_point at, common::duration outage);

    /// Processes all events. Returns the time of the last one.
    common::time_point run();

    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    enum class event_kind {
        submission,
        acceptance,
        end,
        worker_failure,
        rack_failure,
        failure_notice,
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
        /// Of the task or the worker.
        std::string name;
        /// The attempt of the task, or another number that the kind of event needs.
        std::uint64_t number = 0;
    };
    struct running_task {
        placement::task_request request;
        task_truth truth;
        std::string worker;
        std::uint64_t attempt = 0;
        bool submitted = false;
    };

    void schedule(common::time_point at, event_kind kind, const std::string& name = {},
                  std::uint64_t number = 0);
    /// True when only the owner can act on the event and there is none.
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
    [[nodiscard]] common::duration run_on(const std::string& worker, const task_truth& truth);
    void end(const std::string& task, std::uint64_t attempt);
    void leave_worker(running_task& task);

    // Faults.
    [[nodiscard]] std::string busiest_worker() const;
    void fail_busiest(failure_extent extent, common::duration outage);
    void fail(const std::string& worker);
    void requeue_lost(const std::string& worker);
    void fail_task(const std::string& task, std::uint64_t attempt);
    void update_exclusion(const std::string& worker);
    void cancel(std::size_t one_of);

    placement::placement_engine& m_engine;
    cell_delays m_delays;
    std::optional<cell_acceptance> m_acceptance;
    task_listener m_on_start;
    task_listener m_on_refusal;
    task_listener m_on_cancellation;
    std::multimap<common::time_point, event> m_events;
    std::unordered_map<std::string, running_task> m_tasks;
    std::map<std::string, placement::worker_info> m_workers;
    std::set<std::string> m_down;
    std::set<std::string> m_faulty;
    scheduling::worker_health m_health{scheduling::worker_health_settings{}};
    /// Processors in use, where these matter.
    std::unordered_map<std::string, std::int64_t> m_used_cpu;
    /// Of the last acceptance event; earlier ones that are still scheduled have no effect.
    std::uint64_t m_acceptance_number = 0;
    std::optional<common::time_point> m_acceptance_due;
    common::time_point m_owner_returns{};
    common::time_point m_now{};
    std::size_t m_starts = 0;
};

} // namespace buckthornspar::bench
