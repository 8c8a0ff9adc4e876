#pragma once

#include "core/common/counters.h"
#include "core/common/due_queue.h"
#include "core/common/name_table.h"
#include "core/customers/customer_settings.h"
#include "core/dispatch/crash_attribution.h"
#include "core/dispatch/dispatch_actions.h"
#include "core/dispatch/gang_launch.h"
#include "core/dispatch/job_entry.h"
#include "core/dispatch/job_shares.h"
#include "core/dispatch/run_observer.h"
#include "core/dispatch/step_planner.h"
#include "core/dispatch/waiting_report.h"
#include "core/dispatch/waiting_steps.h"
#include "core/dispatch/worker_record.h"
#include "core/dispatch/worker_registry.h"
#include "core/scheduling/authority.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

struct dispatcher_settings {
    /// Node and address of this owner, which only one process at a time has. Empty: unknown.
    std::string owner;
    lease_settings leases;
    /// While the store does not show the owner its key, it sends orders only as long as a majority
    /// of the recorded workers has accepted its fence within this time. Longer than poll_wait, so
    /// that one slow response does not suspend the owner.
    common::duration authority = std::chrono::milliseconds(2000);
    /// An owner that more than three quarters of the recorded workers accept has authority for this
    /// time after the store has shown its key. Longer than usual outages of the store, in which
    /// work goes on.
    common::duration key_absence = std::chrono::seconds(30);
    /// The same for an owner that a smaller majority accepts: a successor that reaches a quarter of
    /// the workers need not wait for longer, in case that the others obey the former owner.
    common::duration short_key_absence = std::chrono::seconds(4);
    /// An owner sends orders without a majority as well while the store has shown its key within
    /// this time. At most half of authority, because a watch may report changes up to one second
    /// late.
    common::duration key_validity = std::chrono::milliseconds(1000);
    /// Longest time that a worker may hold a long poll open until another run ends. When the
    /// response to a poll is lost, ended runs stay unknown to the owner for this time.
    common::duration poll_wait = std::chrono::milliseconds(450);
    /// Consecutive unanswered polls after which a worker counts as unreachable.
    unsigned unreachable_after_polls = 2;
    /// Poll interval of an idle worker. These polls keep the estimate of its clock and the owner's
    /// authority up to date.
    common::duration idle_poll_interval = std::chrono::milliseconds(1200);
    /// After an outage of the store, an entry missing from the instance list may take this long to
    /// reappear.
    common::duration unlisted_grace = std::chrono::milliseconds(2500);
    /// A listed worker whose reports have stopped for this time is taken for dead. Workers report
    /// every 1.5 s.
    common::duration report_silence = std::chrono::milliseconds(3500);
    /// A worker that does not answer the owner but goes on to report is taken for dead when the
    /// leases there have been over for this time, also when no other node confirms its silence.
    /// Longer than an owner's link is full as a rule.
    common::duration silence_limit = std::chrono::seconds(30);
    /// Pause before the next poll of a worker whose ended runs are not stored yet: it would answer
    /// at once.
    common::duration ended_poll_pause = std::chrono::milliseconds(300);
    /// A stop is sent again when the run has not ended within this time.
    common::duration stop_retry_interval = std::chrono::milliseconds(700);
    /// Consecutive failed runs of different tasks after which a worker is excluded from placement.
    unsigned failures_to_exclude = 3;
    common::duration exclusion = std::chrono::milliseconds(3000);
    /// A worker that refuses a start receives no further starts for this time.
    common::duration refused_start_pause = std::chrono::milliseconds(400);
    placement_order order = placement_order::deadline;
    /// Longest time after the acknowledgement of a cancellation, or of a worker's report that it is
    /// draining, at which a worker may still begin a start of that job or on that worker.
    common::duration cancel_bound = std::chrono::milliseconds(3000);
    common::duration drain_bound = std::chrono::milliseconds(2500);
    /// Maximum number of starts without a response; 0 for no limit. More would queue up at the
    /// owner's network link until their workers refuse them as late.
    std::size_t max_pending_starts = 0;
    /// Memory in bytes that starts without a response may take; 0 for no limit.
    std::int64_t max_start_memory = 0;
    /// Maximum number of runs on all workers, which bounds their memory at the owner; 0 for no
    /// limit. Jobs with many runs leave a part of it to others.
    std::size_t max_runs = 0;
    /// Maximum number of starts that a plan decides, so that the loop is free for events soon; 0
    /// for no limit. A gang with more members is launched over several turns.
    std::size_t max_starts_per_turn = 0;
    /// Maximum number of orders under way while a gang is launched or many runs are stopped; 0 for
    /// no limit. Each needs a connection.
    std::size_t max_paced_orders = 0;
    /// Maximum number of polls that are to be answered at once and have no response; 0 for no
    /// limit. At a take-over all workers list their runs: more lists than the owner's link carries
    /// within the time limit of a poll would be lost and sent again.
    std::size_t max_pending_polls = 0;
    crash_settings crashes;
    learning::learning_settings learning;
    /// Largest value that the store takes.
    std::size_t max_record_bytes = std::size_t{1} << 20U;
};

/// What shows that a job has begun.
enum class begin_evidence {
    accepted, ///< a worker accepted a start
    listed,   ///< a worker lists a run
    ended,    ///< a worker lists the end of a run
};
inline constexpr common::name_table<begin_evidence, 3> begin_evidence_names{
    "begin evidence", {"accepted", "listed", "ended"}};

/// The scheduling logic of the owner of a service: which task runs where, which runs are stopped,
/// which tickets are requested and what is written to the store. It performs no I/O: it takes
/// events and the current time and returns actions. The owner's fence is the store revision at
/// which it became owner.
class dispatcher {
public:
    dispatcher(dispatcher_settings settings, common::counters& counters);

    /// Starts the owner's term from the state that the store held at the take-over.
    /// recorded_workers is the last stored save_batch::workers; these workers may hold runs of the
    /// former owner.
    void take_over(common::time_point now, std::uint64_t fence,
                   const std::string& recorded_workers);

    // Observed changes of configuration, workers and jobs.
    void on_queues(const std::vector<queue_settings>& queues);
    /// Caps and shares of the customers. Without customers all work is treated alike.
    void on_customers(const std::vector<customers::customer_settings>& customers);
    void on_worker(common::time_point now, const worker_report& report);
    void on_worker_unlisted(common::time_point now, const std::string& worker);
    /// All reports that workers wrote to the instance list before this time are known.
    void on_list_known(common::time_point until) { m_list_known_until = until; }
    /// All cancellations that were acknowledged before the first time, and all reports of draining
    /// before the second, are known. Workers may begin starts for a limited time after these.
    void on_changes_known(common::time_point cancellations, common::time_point drains) {
        m_cancels_known_until = cancellations;
        m_drains_known_until = drains;
    }
    /// The store held this owner's key at this time.
    void on_key_seen(common::time_point at) { m_key_seen_at = at; }
    /// The term of a former owner, named as in dispatcher_settings::owner, has ended: its node
    /// follows this owner, or has begun another process.
    void on_former_owner_ended(const std::string& owner) { m_former_owners.erase(owner); }
    /// An accepted job. Throws common::format_error when it cannot be executed.
    void on_job(common::time_point now, const job_spec& spec, const job_progress& progress,
                std::uint64_t revision);
    void on_cancel(common::time_point now, const std::string& job);
    /// Current Unix time in milliseconds, used for scheduled jobs. It may jump.
    void on_wall_clock(common::time_point now, std::int64_t unix_ms);

    // Results of actions.
    void on_start_result(common::time_point now, const start_order& order,
                         const order_result& result);
    void on_stop_result(common::time_point now, const stop_order& order,
                        const order_result& result);
    void on_poll_result(common::time_point now, const poll_call& call, common::time_point sent_at,
                        const poll_result& result);
    void on_advice_result(common::time_point now, std::uint64_t call, const advice_result& result);

    /// Changes that must be stored before workers may forget the ended runs that caused them. Empty
    /// when there is nothing to write. Each batch requires exactly one call of on_saved().
    [[nodiscard]] std::optional<save_batch> next_save();
    /// More changes are pending than fit into one batch.
    [[nodiscard]] bool save_backlog() const { return !m_save_round.empty(); }
    void on_saved(common::time_point now);

    /// Performs due checks and polls, and places waiting tasks.
    void on_time(common::time_point now);
    /// A plan of on_time() ended now and took this long. The next one waits for as long, up to a
    /// limit, so that planning leaves half of the time to the events.
    void on_planned(common::time_point now, common::duration took);
    [[nodiscard]] common::time_point next_wakeup(common::time_point now) const;
    [[nodiscard]] std::vector<dispatch_action> take_actions();

    /// Number of nodes that send ticket requests; the advice service processes one request of each
    /// at a time.
    void set_requesting_nodes(std::size_t count) { m_requesting_nodes = count; }
    /// Ticket requests that these nodes could begin now.
    void set_advice_slots(const advice_slots& slots) { m_advice_slots = slots; }

    /// Sets dispatcher_settings::max_runs.
    void set_max_runs(std::size_t runs) { m_settings.max_runs = runs; }
    /// Sets dispatcher_settings::poll_wait.
    void set_poll_wait(common::duration wait) { m_settings.poll_wait = wait; }

    /// Planned shutdown of the owner: no new starts.
    void drain() { m_draining = true; }

    // Read access.
    [[nodiscard]] const std::map<std::string, job_entry>& jobs() const { return m_jobs; }
    /// Memory in bytes that the jobs take before their tasks are started.
    [[nodiscard]] std::int64_t job_memory() const { return m_job_memory; }
    [[nodiscard]] const worker_registry& workers() const { return m_workers; }
    /// What has been learnt of workers and kinds of work; it may be told as well.
    [[nodiscard]] run_observer& observer() { return m_observer; }
    [[nodiscard]] std::uint64_t fence() const { return m_fence; }
    /// A majority of the recorded workers accepts the owner's orders, and the store has shown its
    /// key within the time that their number allows.
    [[nodiscard]] bool has_authority(common::time_point now);
    /// Workers whose majority the authority needs, and those that have accepted the fence.
    [[nodiscard]] scheduling::authority::reach quorum_reach(common::time_point now);
    /// False until every worker that may hold runs of a former owner has answered a poll, or those
    /// runs have certainly ended.
    [[nodiscard]] bool recovered() const { return m_recovered; }
    /// Starts without a response.
    [[nodiscard]] std::size_t pending_starts() const { return m_pending_starts; }
    /// Members of a gang wait for starts that have not been sent yet.
    [[nodiscard]] bool is_launching() const { return m_launch.has_value(); }
    /// Ticket requests without a response.
    [[nodiscard]] std::size_t pending_ticket_requests() const { return m_advice_calls.size(); }
    /// Steps that the last plan examined and did not place, and jobs that no plan examines, by
    /// cause.
    [[nodiscard]] wait_counts waiting() const;
    /// No worker has confirmed a start for 5 s.
    [[nodiscard]] bool is_stalled(common::time_point now) const;
    /// Time until which starts are permitted by what is known of cancellations and draining.
    [[nodiscard]] common::time_point starts_permitted_until() const;
    /// Number of jobs by queue of which no task has started.
    [[nodiscard]] const std::map<std::string, std::size_t>& pending_by_queue() const {
        return m_queued_by_queue;
    }

private:
    // dispatcher.cpp
    void check_workers(common::time_point now);
    [[nodiscard]] bool is_dead(const worker_entry& worker, common::time_point now) const;
    /// A worker has answered a poll, so that it may enter the record.
    void note_answer(common::time_point now, const std::string& worker);
    void end_job(common::time_point now, job_entry& job, job_state state, std::string_view reason);
    void mark_dirty(const job_entry& job) { m_dirty_jobs.insert(job.spec.id); }
    /// A worker has begun a run of the task, whatever has become of the run since: the job is no
    /// longer pending.
    void mark_begun(const task_key& task, begin_evidence evidence);
    void send_polls(common::time_point now);
    void schedule_poll(worker_entry& worker, common::time_point due);
    [[nodiscard]] bool is_poll_limit_reached() const;
    struct batch_size {
        std::size_t rows = 0;
        std::size_t bytes = 0;
    };
    void fill_batch(save_batch& batch, batch_size& size, bool final);

    // dispatcher_authority.cpp
    void update_quorum();
    [[nodiscard]] bool counts_towards_quorum(const std::string& worker) const;
    void record_acceptance(const std::string& worker, common::time_point sent_at);
    /// Logs that the authority has been won or lost since the last call, or that it is missing.
    void log_authority(common::time_point now);
    /// The owner may send starts and renew leases: no successor can already count on the end of
    /// such orders.
    [[nodiscard]] bool may_order(common::time_point now);
    /// How long an owner that so many of the recorded workers accept has authority after the store
    /// has shown its key; 0 without a majority.
    [[nodiscard]] common::duration allowed_key_absence(std::size_t accepting,
                                                       std::size_t workers) const;
    /// Brings forward the end of the former owners' authority by what is known now.
    void update_former_authority_end(common::time_point now);
    /// A successor that takes over from now on needs no majority of the workers that a former owner
    /// counts over: it acts only after the end of that owner's authority.
    [[nodiscard]] bool is_former_quorum_settled(common::time_point now) const {
        return now + m_settings.authority >= m_former_authority_end;
    }
    /// The leases that former owners may have granted have ended at this time.
    [[nodiscard]] common::time_point former_leases_end() const;
    /// The time on the slowest clock that is assumed.
    [[nodiscard]] static common::duration longest(common::duration time);

    // dispatcher_recovery.cpp
    void check_recovery(common::time_point now);
    /// Records the workers that have not answered as unresponsive, once none can hold runs.
    void give_up_unadopted();
    /// Runs that former owners started or renewed on the worker have ended at this time.
    [[nodiscard]] common::time_point former_runs_end(const std::string& worker) const;
    /// All runs of former owners on these workers have ended, as far as none of them has answered.
    [[nodiscard]] bool former_runs_over(common::time_point now,
                                        const std::set<std::string>& workers) const;
    /// The worker has not answered this owner, and jobs wait for it.
    [[nodiscard]] bool has_recordable_wait(const worker_entry& worker) const;
    /// The worker is in worker_record::remaining_waits of the stored or of the pending record.
    [[nodiscard]] bool is_wait_recorded(const std::string& worker) const {
        return m_stored_waits.contains(worker) || m_pending_waits.contains(worker);
    }
    /// Logs that jobs of the former owner wait for workers that do not answer.
    void log_recovery(common::time_point now);
    /// The worker may hold runs of a former owner that no list has shown.
    [[nodiscard]] bool is_waited_for(const std::string& worker) const {
        return m_unadopted.contains(worker) || m_unresponsive_workers.contains(worker);
    }
    /// One of the workers has listed only some of its ended runs, and none of its runs can have
    /// ended with its lease since.
    [[nodiscard]] bool is_any_partly_listed(common::time_point now,
                                            const std::set<std::string>& workers) const;
    void skip_possible_run_numbers(job_entry& job) const;
    /// What may run for customers with caps, on workers that have not answered this owner or by
    /// runs of unknown jobs.
    [[nodiscard]] customers::unreported_runs find_unreported_runs();
    void log_adoption(common::time_point now, const worker_entry& worker, const poll_result& result,
                      bool through_peer) const;
    [[nodiscard]] bool is_unresponsive(const worker_entry& worker) const;
    /// The job's tasks may be running on workers that have not answered yet.
    [[nodiscard]] bool may_have_unreported_runs(const job_entry& job) const;
    [[nodiscard]] bool is_recordable(const worker_entry& worker) const;
    [[nodiscard]] worker_record make_worker_record() const;

    // dispatcher_orders.cpp
    void handle_start_not_executed(common::time_point now, worker_entry& worker, const run_key& run,
                                   std::string_view reason);
    void request_stop(common::time_point now, const std::string& worker, const run_key& run);
    void send_stop(common::time_point now, worker_entry& worker, const run_key& run,
                   placed_run& placed);
    void emit_stop(worker_entry& worker, const run_key& run);
    void stop_gang(common::time_point now, job_entry& job, const task_key& task);
    /// Stops the runs of which orders may still arrive at a worker that is back after its removal.
    void stop_open_starts(common::time_point now, const std::string& worker);
    void check_stops(common::time_point now);
    void handle_worker_restart(common::time_point now, const std::string& worker,
                               const worker_registry::update& change);

    // dispatcher_pacing.cpp
    void begin_launch(common::time_point now, const planned_launch& planned);
    /// Starts as many members of the gang that is being launched as may be under way.
    void continue_launch(common::time_point now);
    /// Members of the run gave up waiting for the others.
    static void postpone_launch(common::time_point now, step_state& step, std::uint32_t run);
    void renew_launch_tickets(common::time_point now, job_entry& job);
    /// Releases the room of the members that have not been started.
    void cancel_launch(const task_key& step);
    /// Sends the stops that have waited, as many as may be under way.
    void send_unsent_stops(common::time_point now);
    [[nodiscard]] bool is_turn_over() const;
    /// A further order may be sent to the worker now.
    [[nodiscard]] bool may_send_paced(const worker_entry& worker) const;
    /// There is memory for the start of a further member of the gang that is being launched.
    [[nodiscard]] bool may_send_member() const;
    void note_order(worker_entry& worker);
    static void note_order_result(worker_entry& worker);

    // dispatcher_runs.cpp
    void handle_running_run(common::time_point now, worker_entry& worker,
                            const running_run& reported, std::int64_t clock_ms);
    void adopt_run(common::time_point now, worker_entry& worker, const running_run& reported,
                   std::int64_t clock_ms);
    void handle_ended_run(common::time_point now, worker_entry& worker, const ended_run& reported);
    void handle_vanished_runs(common::time_point now, worker_entry& worker,
                              const poll_result& result);
    void handle_run_end(common::time_point now, const std::string& worker, const run_key& run,
                        run_end how, const std::string& checkpoint);
    void handle_task_success(common::time_point now, job_entry& job, const task_key& task);
    void handle_task_failure(common::time_point now, job_entry& job, const task_key& task,
                             std::uint32_t run, const std::string& worker);
    void handle_lost_runs(common::time_point now, const std::string& worker,
                          const std::vector<lost_run>& runs, std::string_view reason);
    void update_exclusion(common::time_point now, worker_entry& worker, run_end how);

    // dispatcher_crashes.cpp
    void count_crash(common::time_point now, worker_entry& worker, common::time_point crashed_at,
                     loss_evidence evidence);
    [[nodiscard]] std::vector<suspected_run> find_suspects(const worker_entry& worker,
                                                           common::time_point crashed_at,
                                                           loss_evidence evidence) const;
    /// Counts a crash under the run, which becomes certain or is withdrawn later.
    void count_suspect(worker_entry& worker, const suspected_run& suspect);
    /// Adds the suspected runs of the record's unresponsive workers.
    void record_suspects(worker_record& record) const;
    /// Counts the crashes that the former owner recorded for tasks of the job.
    void count_recorded_suspects(common::time_point now, const std::string& job);
    [[nodiscard]] bool has_common_cause(const worker_entry& worker, common::time_point crashed_at,
                                        common::duration window) const;
    void confirm_crash(common::time_point now, worker_entry& worker, loss_evidence evidence);
    [[nodiscard]] bool may_give_up(const task_state& task, const suspected_run& last) const;
    void withdraw_crash(const std::vector<suspected_run>& suspects, bool confirmed);
    /// A worker that was taken for crashed is back in the same incarnation.
    void withdraw_crash_of_returned_worker(const worker_report& report);
    [[nodiscard]] std::pair<job_entry*, task_state*> find_open_task(const run_key& run);
    /// The run has survived so far together with its worker.
    void note_survival(common::time_point now, job_entry& job, const task_key& task,
                       const placed_run& placed);
    /// A worker has survived a run of the task.
    void clear_suspicion(job_entry& job, const task_key& task);
    void note_batch_crashes(job_entry& job);
    void confirm_batch_crashes();
    void isolate_suspect(common::time_point now, worker_entry& worker, step_state& step,
                         const run_key& run);

    // dispatcher_plan.cpp
    void plan(common::time_point now);
    [[nodiscard]] plan_limits limits_of_plan(common::time_point now);
    /// Decides which of the jobs that have arrived are within their customers' rates.
    void update_shares(common::time_point now);
    /// Tasks of the job may have begun to wait: its steps are placed in order before the next plan.
    void note_waiting(const std::string& job) { m_jobs_to_order.insert(job); }
    void note_all_waiting();
    void order_waiting_steps(common::time_point now);
    void order_steps_of(common::time_point now, job_entry& job);
    /// Opens as many due occurrences of a scheduled job as may wait at a time.
    void open_due_occurrences(common::time_point now, job_entry& job);
    /// Whether tasks of the step wait, now or after a delay.
    [[nodiscard]] bool is_waiting(common::time_point now, const task_key& step);
    /// The record of the job may name tasks of the step that have not been started yet.
    [[nodiscard]] bool may_start_new_tasks(const job_entry& job, const step_spec& step) const;
    /// Absent when all waiting tasks of the step are delayed, or are new and may not start.
    [[nodiscard]] std::optional<waiting_step> find_startable(common::time_point now,
                                                             const step_position& position);
    [[nodiscard]] static std::int64_t due_ms(const job_spec& spec, std::uint32_t occurrence);
    [[nodiscard]] std::int64_t unix_ms(common::time_point now) const;
    [[nodiscard]] std::vector<worker_free_capacity> collect_free_capacities(common::time_point now);
    /// The worker takes starts, although none may be planned there for a while.
    [[nodiscard]] bool is_in_service(const worker_entry& worker, common::time_point now) const;
    /// Starts may be planned on the worker.
    [[nodiscard]] bool is_usable(const worker_entry& worker, common::time_point now) const;
    void mark_ready(common::time_point now, const job_entry& job, std::uint32_t step,
                    step_state& state);
    void execute_plan(common::time_point now, const plan_result& plan);
    /// Why no task of the step may start now.
    [[nodiscard]] wait_cause cause_of_delay(job_entry& job, const task_key& step) const;
    /// The plan has placed nothing of the step. Absent: all its waiting tasks are delayed.
    void note_blocked(common::time_point now, const task_key& key,
                      const std::optional<waiting_step>& step, const step_planner& planner);
    [[nodiscard]] bool may_start(common::time_point now) const;
    [[nodiscard]] std::int64_t grant_start_validity(worker_entry& worker, common::time_point now);
    void start_task(common::time_point now, const planned_start& planned);
    void send_ticket_request(common::time_point now, const ticket_request& planned_request);
    void send_start(start_order order);
    /// Further starts may wait for the responses of those under way.
    [[nodiscard]] bool is_start_limit_reached() const;
    void renew_tickets_of_broken_gang(common::time_point now, job_entry& job, const task_key& task);
    [[nodiscard]] const queue_settings* queue_of(const job_spec& spec) const;
    /// Executes the jobs of a queue that no configuration of the term had by the settings at the
    /// acceptance of the latest one.
    void keep_accepted_queue(const job_spec& spec, std::uint64_t revision);
    /// Target time from acceptance to completion of the job; 0 when its queue is unknown.
    [[nodiscard]] std::int64_t objective_ms(const job_entry& job) const;
    /// Sets the properties of the run that come from its job.
    void describe_run(common::time_point now, placed_run& placed, job_entry& job,
                      const task_key& task);
    [[nodiscard]] bool is_due(common::time_point now, const job_spec& spec,
                              std::uint32_t occurrence) const;

    dispatcher_settings m_settings;
    common::counters& m_counters;
    worker_registry m_workers;
    run_observer m_observer;
    scheduling::authority m_authority;
    /// Workers in the stored record, and in the one that is being written, of which a majority is
    /// needed. A successor counts over the same ones.
    std::set<std::string> m_stored_quorum;
    std::optional<std::set<std::string>> m_pending_quorum;
    /// Workers that have begun a new incarnation during the term, by when it was noticed. They do
    /// not count before the store has shown the owner's key later than that.
    std::map<std::string, common::time_point> m_unconfirmed_incarnations;
    /// The sets have changed since the authority was told.
    bool m_quorum_outdated = true;
    bool m_authority_logged = false;
    /// The take-over, or when the authority was lost later.
    common::time_point m_without_authority_since;
    lasting_state_log m_missing_authority_log;
    std::map<std::string, queue_settings> m_queues;
    customers::cap_holds m_cap_holds;
    /// Queues known from accepted jobs only, by the revision of the latest of these.
    std::map<std::string, std::uint64_t> m_unconfigured_queues;
    std::map<std::string, job_entry> m_jobs;
    /// Number of the jobs that have a schedule.
    std::size_t m_scheduled_job_count = 0;
    /// See memory_of().
    std::int64_t m_job_memory = 0;
    /// Steps that may have waiting tasks. Jobs that may have runs that no worker reported are left
    /// out, and those in m_jobs_to_order may be missing.
    waiting_steps m_waiting;
    job_shares m_shares;
    /// See plan_limits.
    std::vector<bool> m_kept_for_gangs;
    std::vector<gang_hold> m_gang_holds;
    std::set<std::string> m_jobs_to_order;
    /// Jobs with later occurrences, by the Unix time in milliseconds at which the next one is due.
    std::set<std::pair<std::int64_t, std::string>> m_scheduled_jobs;
    /// Jobs whose cancel request was read before the job itself.
    std::set<std::string> m_cancels_before_job;
    struct pending_advice {
        task_key step;
        common::time_point asked_at;
    };
    std::map<std::uint64_t, pending_advice> m_advice_calls;
    wait_counts m_blocked_steps;
    wait_log_limiter m_wait_log;
    std::vector<dispatch_action> m_actions;

    std::uint64_t m_fence = 0;
    bool m_recovered = true;
    /// Number of the owner's term, counted over all owners, and whether the store holds it.
    std::uint32_t m_term = 1;
    bool m_term_recorded = false;
    /// Workers that may hold runs of a former owner and have not answered yet.
    std::set<std::string> m_unadopted;
    /// Workers that were already unresponsive under the former owner or that this owner has given
    /// up, until they answer, and the jobs that may have runs there.
    std::set<std::string> m_unresponsive_workers;
    std::set<std::string> m_jobs_on_unresponsive_workers;
    std::set<std::string> m_customers_on_unresponsive_workers;
    /// When runs of former owners on workers have certainly ended, by the record that was read.
    std::map<std::string, common::time_point> m_recorded_wait_ends;
    /// See is_wait_recorded(). The record is due again at m_waits_due, with shorter waits.
    std::set<std::string> m_stored_waits;
    std::set<std::string> m_pending_waits;
    common::time_point m_waits_due;
    common::time_point m_recovery_checked_at;
    lasting_state_log m_recovery_log;
    /// A worker that may have held runs never answered, or has restarted since it held them.
    bool m_unreported_runs_possible = false;
    common::time_point m_taken_over_at;
    /// No former owner has authority after this time.
    common::time_point m_former_authority_end;
    /// Former owners that may still have authority, and whether the record that was read names all
    /// of them.
    std::set<std::string> m_former_owners;
    bool m_former_owners_known = false;
    /// Workers of which former owners need a majority, without those that were removed since, and
    /// whether they still have to be in the record.
    std::set<std::string> m_former_quorum;
    bool m_keeps_former_quorum = false;
    /// Workers that have answered this owner or were in the record that was read. Others may be the
    /// entries of another writer.
    std::set<std::string> m_proven_workers;
    /// Workers that may receive starts.
    std::set<std::string> m_recorded_workers;
    bool m_workers_dirty = false;
    /// When the next record is due because of workers that have answered for the first time.
    std::optional<common::time_point> m_record_due;
    /// Removed workers whose crashes were counted; they may only have been cut off.
    struct gone_worker {
        std::int64_t start_time_ms = 0;
        common::time_point gone_at;
        std::vector<suspected_run> suspects;
    };
    std::map<std::string, gone_worker> m_gone_workers;
    /// Suspected runs that the former owner recorded, by job, until the job is loaded.
    std::map<std::string, std::vector<recorded_suspect>> m_recorded_suspects;

    std::set<std::string> m_dirty_jobs;
    /// Jobs that the current save round still has to write, and by worker the number up to which
    /// ended runs are saved once the round is complete.
    std::set<std::string> m_save_round;
    std::map<std::string, std::uint64_t> m_save_round_ends;
    /// Workers with ended runs that may be unsaved.
    std::set<std::string> m_unsaved_workers;
    std::vector<state_change> m_batch_changes;
    /// Jobs with suspected tasks whose progress the pending batch contains.
    std::vector<std::string> m_batch_suspects;
    /// Workers that may receive starts once the pending batch is stored; absent when the batch
    /// contains no worker record, as is m_pending_quorum.
    std::optional<std::set<std::string>> m_batch_workers;
    bool m_save_pending = false;

    /// Workers by the time of their next poll.
    common::due_queue<worker_slot> m_polls_due;
    /// Runs, with their workers, for which a stop has been sent.
    std::set<std::pair<std::string, run_key>> m_pending_stops;
    std::map<std::string, std::size_t> m_queued_by_queue;

    std::uint64_t m_next_call = 1;
    std::size_t m_pending_starts = 0;
    std::int64_t m_pending_start_memory = 0;
    /// Stops without a response.
    std::size_t m_open_stops = 0;
    /// Orders decided since the last take_actions().
    std::size_t m_orders_in_turn = 0;
    /// Orders wait for the next turn that could have been sent in this one.
    bool m_turn_was_short = false;
    std::optional<gang_launch> m_launch;
    /// Stops that wait until fewer orders are under way, by worker.
    std::map<std::string, std::deque<run_key>> m_unsent_stops;
    /// Polls with a wait of 0 that have no response.
    std::size_t m_pending_polls = 0;
    /// The take-over, or the last start since then that a worker has confirmed.
    common::time_point m_last_start_at;
    std::size_t m_requesting_nodes = 0;
    advice_slots m_advice_slots;
    common::time_point m_key_seen_at;
    common::time_point m_list_known_until;
    common::time_point m_cancels_known_until;
    common::time_point m_drains_known_until;
    bool m_replan_needed = false;
    bool m_draining = false;
    /// Unix time at the origin of the monotonic clock, in milliseconds.
    std::int64_t m_unix_offset_ms = 0;
    common::time_point m_next_plan;
    common::time_point m_next_preemption;
    common::time_point m_next_check;
};

} // namespace buckthornspar::dispatch
