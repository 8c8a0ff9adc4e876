#pragma once

#include "core/common/clock.h"
#include "core/customers/cap_ledger.h"
#include "core/dispatch/worker_link.h"
#include "core/learning/observed_run.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::dispatch {

/// Demand of a run of an unknown job, so that nothing is placed beside it: more than any worker
/// has. The actual capacity is unknown while the worker is not listed.
inline constexpr placement::resources unknown_demand{std::int64_t{1} << 40, std::int64_t{1} << 40,
                                                     0};

/// Index of a worker; stable during an owner's term and not reused within it.
using worker_slot = std::uint32_t;

/// State of a run that occupies capacity on a worker, as far as the owner knows it.
enum class run_phase {
    ordered,    ///< the start has been sent
    unanswered, ///< no response to the start, which may be executed until it expires
    running,    ///< the worker has confirmed it
    stopping,   ///< a stop has been sent; the run occupies capacity until the worker lists its end
};

struct placed_run {
    run_phase phase = run_phase::ordered;
    placement::resources demand;
    /// Whose run it is, for the caps; unknown for a run of an unknown job.
    customers::customer_index customer = customers::no_customer;
    /// Time after which the worker refuses the start, on its clock.
    std::int64_t start_valid_until_ms = 0;
    /// The worker's clock when it confirmed the run. Older lists do not contain the run.
    std::int64_t confirmed_clock_ms = 0;
    /// The incarnation that the run was ordered on has certainly accepted it, or a list has shown
    /// it.
    bool confirmed = false;
    /// Some incarnation of the worker has accepted or listed the run.
    bool begun = false;
    /// The task was suspected when this run started.
    bool started_as_suspect = false;
    common::time_point ordered_at;
    common::time_point expected_end;
    common::time_point stop_sent_at;
    /// When the stop is sent again; not before its call has ended.
    common::time_point stop_due;
    /// The start was sent to a former incarnation of the worker and may reach the current one.
    bool uncertain = false;
    /// Unanswered orders of this start; each may still be executed.
    unsigned unanswered_orders = 0;
    /// Orders of this start that have no answer yet, with or without an end of the call; each may
    /// still arrive. The last one was sent at last_order_at.
    unsigned open_orders = 0;
    common::time_point last_order_at;
    /// The task no longer depends on this run. Only the stop matters, which keeps the worker from
    /// executing an order that arrives late.
    bool abandoned = false;
    /// The crash of the worker under this run has been counted.
    bool crash_counted = false;
    /// Completed share of the work in percent, and when it last rose.
    int percent = 0;
    common::time_point percent_at;
    /// The first share that the worker reported, and when; -1 before the first report.
    int first_percent = -1;
    common::time_point first_percent_at;
    std::string checkpoint;
    /// Priority of the queue (0 is the most urgent).
    int priority = 0;
    /// The run may be stopped for more urgent work: it continues from a checkpoint and is not part
    /// of a gang.
    bool preemptible = false;
    /// The job exceeds its customer's rate.
    bool excess = false;
    /// Latest end of the task that meets the objective of its job.
    common::time_point latest_end;
    learning::observed_run observed;

    void update_progress(common::time_point now, int reported);
};

/// A run that may have crashed its worker.
struct suspected_run {
    run_key run;
    /// No task of another job may have been the cause.
    bool attributed = false;
    /// The worker had confirmed the run.
    bool confirmed = false;
    /// Nothing but the worker's silence speaks for a crash.
    bool silent = false;
};

/// A run that ended without a report, with the last reported checkpoint, or a start that was
/// ordered and can no longer be executed.
struct lost_run {
    run_key run;
    std::string checkpoint;
    /// False for a start that no worker has accepted or listed.
    bool begun = false;
};

/// The state of a worker as known to the owner. Everything except the runs is reset when the worker
/// restarts.
struct worker_entry {
    worker_slot slot = 0;
    worker_report report;
    bool listed = true;
    common::time_point unlisted_since;
    /// False while only an answer has shown the current incarnation: its capacity, labels and rack
    /// may differ from those of the report.
    bool described = true;

    /// When the current incarnation became known: calls sent since then reach it or a later one.
    common::time_point incarnation_known_at;
    /// The current incarnation of the worker has answered a poll under the owner's fence.
    bool answered = false;
    /// Such an answer had a complete list of ended runs, so that all runs of the worker are known.
    bool adopted = false;
    bool known = false;
    bool reachable = true;
    common::time_point last_contact;
    /// Latest clock reading and when it arrived. The estimate derived from it never runs ahead of
    /// the worker's clock.
    std::int64_t clock_ms = 0;
    common::time_point clock_at;
    /// Latest possible end of the lease of the worker's runs.
    common::time_point lease_end;
    /// Nothing is started before this time, because a lease that was meant for the former
    /// incarnation may outlast those that are granted now.
    common::time_point stale_lease_until;

    std::uint64_t ends_received = 0;
    std::uint64_t ends_saved = 0;
    /// The worker has answered a poll that let it forget ended runs up to this number.
    std::uint64_t ends_forgotten = 0;

    bool poll_pending = false;
    /// The pending poll carries a lease.
    bool poll_renews = false;
    std::uint64_t poll_call = 0;
    unsigned poll_failures = 0;
    /// When the first of the failed polls failed.
    common::time_point silent_since;
    /// The worker refused connections when it became unreachable.
    bool connection_refused = false;
    /// Another node could not reach the worker either since its last response.
    bool silence_confirmed = false;
    /// The last poll through another node was answered, while direct polls were not.
    bool answers_through_peer = false;
    /// When the worker's last report in the instance list became known.
    common::time_point reported_at;

    std::map<run_key, placed_run> runs;
    /// Includes what is reserved.
    placement::resources allocated;
    placement::resources reserved;
    /// Kinds of its runs.
    learning::kind_counts kinds;
    /// Orders without a response.
    std::size_t open_orders = 0;
    /// Suspected runs that ended with their lease while it was unknown whether the worker had
    /// crashed or was only silent.
    std::vector<suspected_run> pending_suspects;
    common::time_point last_start_at;
    /// A suspected task was started here; nothing else is started until this time.
    common::time_point isolated_until;

    /// Failed runs of different tasks since the last success.
    unsigned failures_in_row = 0;
    unsigned exclusions = 0;
    common::time_point excluded_until;

    [[nodiscard]] placement::resources free() const { return report.capacity - allocated; }
    [[nodiscard]] bool has_uncertain_runs() const;
    /// Number of the runs that have begun; the others are only ordered.
    [[nodiscard]] std::size_t begun_runs() const;
    /// False for an empty draining worker: it receives no more starts, so a successor need not wait
    /// for it.
    [[nodiscard]] bool may_hold_runs() const;
};

/// Lease durations and safety margins.
struct lease_settings {
    /// Lease that each poll requests.
    common::duration lease = std::chrono::milliseconds(6000);
    /// Maximum fraction by which a worker's clock may run slower than the owner's.
    double clock_drift = 0.02;
    /// The worker refuses a start after this time, so that an order that is delayed by seconds has
    /// no effect.
    common::duration start_validity = std::chrono::milliseconds(1500);
    /// Longest lease that a worker takes; it shortens longer ones.
    common::duration max_lease = std::chrono::milliseconds(6000);
    /// A call without a response arrives within this time, unless the platform delays it.
    common::duration call_limit = std::chrono::milliseconds(1500);
    /// The platform carries out delayed calls within this time.
    common::duration order_delay = std::chrono::seconds(12);
};

/// All workers and their runs. A run occupies capacity from its start order until the worker lists
/// its end, or until it certainly no longer exists. Against the cap of its customer it counts from
/// then on as well, and for as long as orders of its start may still arrive.
class worker_registry {
public:
    explicit worker_registry(lease_settings settings) : m_settings(settings) {}

    struct update {
        bool added = false;
        bool restarted = false;
        /// The report has an earlier start time. It may be a late one of a former incarnation, or
        /// the first one of another incarnation, which only an answer of the worker shows.
        bool ambiguous = false;
        bool draining_changed = false;
        bool capacity_changed = false;
        /// The worker has written a new report in the same incarnation.
        bool reported = false;
        /// State of the former incarnation of a restarted worker.
        bool was_draining = false;
        std::optional<common::time_point> was_silent_since;
        /// It had become unreachable without refusing connections.
        bool was_cut_off = false;
    };
    /// Takes over an entry of the instance list. A restart of the worker makes its runs uncertain.
    update upsert(common::time_point now, const worker_report& report);
    /// The same for an incarnation that an answer of the worker has shown.
    update upsert_answering(common::time_point now, const worker_report& report);
    void set_unlisted(common::time_point now, const std::string& worker);
    /// Removes the worker; its runs must have been removed.
    void erase(const std::string& worker);

    [[nodiscard]] worker_entry* find(const std::string& worker);
    [[nodiscard]] const worker_entry* find(const std::string& worker) const;
    [[nodiscard]] std::map<std::string, worker_entry>& all() { return m_workers; }
    [[nodiscard]] const std::map<std::string, worker_entry>& all() const { return m_workers; }

    /// The worker in the slot; nullptr when it has been removed.
    [[nodiscard]] worker_entry* at(worker_slot slot) const {
        return slot < m_slots.size() ? m_slots[slot] : nullptr;
    }
    /// All workers by slot; nullptr for those that have been removed.
    [[nodiscard]] const std::vector<worker_entry*>& slots() const { return m_slots; }

    /// Lower bound of the worker's clock, in milliseconds.
    [[nodiscard]] std::int64_t estimate_clock_ms(const worker_entry& worker,
                                                 common::time_point now) const;
    /// The clock, which was read after the given time, is that of an incarnation that the entry
    /// does not show yet: the clock of the known one was further then.
    [[nodiscard]] bool is_of_next_incarnation(const worker_entry& worker, common::time_point after,
                                              std::int64_t clock_ms) const;
    void update_clock(worker_entry& worker, common::time_point now, std::int64_t clock_ms);
    /// End of a lease granted now, on the worker's clock; 0 when its clock is unknown. Raises
    /// lease_end to the latest time at which a run may still exist.
    [[nodiscard]] std::int64_t grant_lease(worker_entry& worker, common::time_point now) const;
    /// Raises lease_end to the end of a lease that a former owner may have granted until now.
    void assume_lease(worker_entry& worker, common::time_point now) const {
        extend_lease_end(worker, now, m_settings.lease);
    }
    /// The worker received the end of a lease on the clock of its former incarnation until this
    /// time.
    void assume_longest_lease(worker_entry& worker, common::time_point arrived_at) const;
    /// An order with the end of a lease was sent to the worker and has not been answered, so that
    /// its next incarnation may receive it.
    void note_open_lease(const std::string& worker, common::time_point sent_at);
    /// Places the runs of the worker that have been released while orders of them may still arrive,
    /// so that they are stopped in the current incarnation. Returns them.
    std::vector<run_key> place_open_starts(worker_entry& worker, common::time_point now);
    /// Forgets the open orders that can no longer arrive.
    void forget_open_orders(common::time_point now);
    /// Time on the worker's clock after which it refuses a start ordered now with this validity.
    /// Raises lease_end accordingly.
    [[nodiscard]] std::int64_t grant_start_validity(worker_entry& worker, common::time_point now,
                                                    common::duration validity) const;

    placed_run& place(worker_entry& worker, const run_key& run, const placement::resources& demand,
                      common::time_point now,
                      customers::customer_index customer = customers::no_customer);
    void release(worker_entry& worker, const run_key& run);
    /// Keeps room for runs that are not placed yet. It counts as that of runs, also against the cap
    /// of the customer.
    void reserve(worker_entry& worker, const placement::resources& amount,
                 customers::customer_index customer);
    /// Gives up reserved room. The worker may be gone, but not the customer's account.
    void unreserve(worker_entry* worker, const placement::resources& amount,
                   customers::customer_index customer);
    /// Removes all runs of a worker that has lost them, which frees their capacity, and returns
    /// those that their tasks depend on.
    [[nodiscard]] std::vector<lost_run> remove_runs(worker_entry& worker);

    /// Number of runs on all workers, and of those of a job.
    [[nodiscard]] std::size_t run_count() const { return m_run_count; }
    [[nodiscard]] std::size_t runs_of(const std::string& job) const;

    /// What the runs of each customer take.
    [[nodiscard]] customers::cap_ledger& usage() { return m_usage; }
    [[nodiscard]] const customers::cap_ledger& usage() const { return m_usage; }
    /// The run is that of an unknown job, placed with unknown_demand.
    [[nodiscard]] static bool is_of_unknown_demand(const worker_entry& worker, const run_key& run);
    /// What runs that the owner does not know may take on the worker; absent when its capacity is
    /// not known.
    [[nodiscard]] static std::optional<placement::resources>
    unknown_usage(const worker_entry& worker);
    /// Whether usage() is what the runs and the open starts take.
    [[nodiscard]] bool is_usage_consistent() const;

    [[nodiscard]] const lease_settings& settings() const { return m_settings; }

private:
    void extend_lease_end(worker_entry& worker, common::time_point now,
                          common::duration lease) const;
    [[nodiscard]] common::duration longest(common::duration lease) const;
    void note_open_start(const worker_entry& worker, const run_key& run, const placed_run& placed);
    void assume_stale_lease(common::time_point now, const worker_entry& former,
                            worker_entry& worker);

    struct open_start {
        placement::resources demand;
        customers::customer_index customer = customers::no_customer;
        common::time_point sent_at;
        unsigned orders = 0;
    };
    /// Orders that the next incarnation of a worker may receive.
    struct open_orders {
        /// Start orders of runs that have been released.
        std::map<run_key, open_start> starts;
        /// When the latest one with the end of a lease was sent.
        std::optional<common::time_point> lease_sent_at;
    };

    /// Ends the count of the open start against the cap of its customer.
    void refund(const open_start& start) { m_usage.refund(start.customer, start.demand); }

    update apply(common::time_point now, const worker_report& report, bool added);
    void note_released(const run_key& run);

    lease_settings m_settings;
    std::size_t m_run_count = 0;
    /// Jobs with runs.
    std::unordered_map<std::string, std::size_t> m_runs_of_jobs;
    customers::cap_ledger m_usage;
    /// What is reserved for each customer.
    std::map<customers::customer_index, placement::resources> m_reserved;
    /// By worker, also for workers that have been removed and may be back under the same id.
    std::map<std::string, open_orders> m_open_orders;
    std::map<std::string, worker_entry> m_workers;
    std::vector<worker_entry*> m_slots;
};

} // namespace buckthornspar::dispatch
