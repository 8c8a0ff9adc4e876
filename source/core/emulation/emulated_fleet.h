#pragma once

#include "core/common/clock.h"
#include "core/common/rng.h"
#include "core/dispatch/worker_link.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::emulation {

struct fleet_settings {
    common::duration max_lease = std::chrono::milliseconds(6000);
    /// A gang member ends as run_end::alone when the others have not started within this time.
    common::duration gang_wait = std::chrono::milliseconds(3000);
    common::duration stop_delay = std::chrono::milliseconds(200);
    /// Amount of work after which a run produces a new checkpoint.
    common::duration checkpoint_interval = std::chrono::milliseconds(500);
    /// Mutation: workers begin starts whose validity is over.
    bool refuses_late_starts = true;
    /// Time from the start of a deadly task to the crash of its worker.
    common::duration crash_delay = std::chrono::milliseconds(50);
};

/// A run in progress on an emulated worker.
struct emulated_run {
    placement::resources demand;
    common::time_point started;
    double work_ms = 0.0;
    double done_ms = 0.0;
    double checkpoint_ms = 0.0;
    std::string checkpoint;
    bool fails = false;
    std::optional<common::time_point> stop_at;

    [[nodiscard]] int percent() const {
        return work_ms <= 0.0 ? 100 : static_cast<int>(100.0 * done_ms / work_ms);
    }
};

/// The actual state of a worker, as opposed to the owner's view of it. Faults are set by the
/// experiment.
struct emulated_worker {
    dispatch::worker_report report;
    /// Offset and rate of the worker's clock relative to the time of the experiment.
    std::int64_t clock_offset_ms = 0;
    double clock_rate = 1.0;
    /// The capacity before the last change, and the time of this change.
    placement::resources former_capacity;
    common::time_point capacity_changed_at;

    bool up = true;
    /// While the worker is down, its machine refuses connections; otherwise it does not answer.
    bool refuses_connections = false;
    double speed = 1.0;
    /// All runs that start while this is set fail.
    bool fails = false;
    /// Runs make no progress.
    bool hangs = false;

    std::uint64_t fence = 0;
    std::int64_t lease_until_ms = 0;
    bool lapsed = true;
    std::map<dispatch::run_key, emulated_run> runs;
    std::vector<dispatch::ended_run> ends;
    std::uint64_t last_end = 0;
    std::uint64_t acknowledged_end = 0;
    /// Highest run number of each task that was stopped or has ended on this worker.
    std::map<dispatch::task_key, std::uint32_t> closed_runs;

    [[nodiscard]] placement::resources used() const;
    [[nodiscard]] std::int64_t clock_ms(common::time_point now) const;
};

/// Notifies an experiment of events on the workers.
class fleet_observer {
public:
    virtual ~fleet_observer() = default;
    virtual void on_run_started(const emulated_worker& worker, const dispatch::start_order& order);
    virtual void on_run_ended(const emulated_worker& worker, const dispatch::ended_run& ended);
    /// An owner has acknowledged ended runs up to the number.
    virtual void on_ends_acknowledged(const emulated_worker& worker, std::uint64_t number);
    /// From now on owners are not expected to know of ended runs that are unacknowledged.
    virtual void on_lease_lapsed(const emulated_worker& worker);
    /// The worker has crashed while it held the run. It is deadly when it caused the crash.
    virtual void on_run_crashed(const emulated_worker& worker, const dispatch::run_key& run,
                                bool deadly);

protected:
    fleet_observer() = default;
    fleet_observer(const fleet_observer&) = default;
    fleet_observer& operator=(const fleet_observer&) = default;
};

/// The workers of a platform: they execute orders, observe leases and list ended runs. They do not
/// enforce their capacity.
class emulated_fleet {
public:
    emulated_fleet(fleet_settings settings, fleet_observer& observer, std::uint64_t seed);

    emulated_worker& add(common::time_point now, const dispatch::worker_report& report);
    /// Registers the job's tasks. work_ms holds the actual duration of a task for each step.
    void add_job(const dispatch::job_spec& spec, const std::vector<double>& work_ms);

    /// Each worker that starts the task crashes shortly after.
    void set_deadly(const dispatch::task_key& task) { m_deadly.insert(task); }
    /// Workers that deadly tasks crash by now. The caller has to crash them.
    [[nodiscard]] std::vector<std::string> workers_to_crash(common::time_point now) const;

    dispatch::order_result start(common::time_point now, const dispatch::start_order& order);
    dispatch::order_result stop(common::time_point now, const dispatch::stop_order& order);
    /// Responds at once; poll_order::wait has to be implemented by the caller.
    dispatch::poll_result poll(common::time_point now, const dispatch::poll_order& order);

    /// Stops the worker; all its runs are lost.
    void crash(common::time_point now, const std::string& worker);
    /// Starts the worker as a new incarnation; crashes it first if it is up.
    void restart(common::time_point now, const std::string& worker);

    /// Advances all runs and leases to the given time. The interval between calls must be short
    /// compared with the durations of tasks and leases.
    void advance(common::time_point now);

    [[nodiscard]] emulated_worker* find(const std::string& worker);
    [[nodiscard]] std::map<std::string, emulated_worker>& workers() { return m_workers; }
    [[nodiscard]] const dispatch::job_spec* job(const std::string& id) const;
    /// True when a run of the task, or of its gang, has produced the checkpoint.
    [[nodiscard]] bool has_issued_checkpoint(const dispatch::task_key& task,
                                             const std::string& checkpoint) const;

private:
    struct job_model {
        dispatch::job_spec spec;
        std::vector<double> work_ms;
    };
    /// Key of a gang's run: the run key with task index 0.
    using gang_key = dispatch::run_key;
    /// Workers of the members of a gang's run, by index of the task.
    using gang_members = std::map<std::uint32_t, std::string>;

    [[nodiscard]] const dispatch::step_spec* step_of(const dispatch::task_key& task) const;
    [[nodiscard]] static gang_key gang_of(const dispatch::run_key& run);
    void end(common::time_point now, emulated_worker& worker, const dispatch::run_key& run,
             dispatch::run_end how);
    void end_due_runs(common::time_point now, emulated_worker& worker);
    void progress(common::time_point now, double elapsed_ms);
    void progress_gang(common::time_point now, double elapsed_ms, const gang_key& gang);
    void work(emulated_run& run, const dispatch::run_key& key, double ms);

    fleet_settings m_settings;
    fleet_observer& m_observer;
    common::rng m_rng;
    common::time_point m_now;
    std::map<std::string, emulated_worker> m_workers;
    std::map<std::string, job_model> m_jobs;
    std::map<gang_key, gang_members> m_gangs;
    std::set<std::pair<dispatch::task_key, std::string>> m_issued_checkpoints;
    std::set<dispatch::task_key> m_deadly;
};

} // namespace buckthornspar::emulation
