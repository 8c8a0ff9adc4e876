#pragma once

#include "core/common/clock.h"
#include "core/dispatch/worker_link.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

/// Number of a worker, stable for as long as an owner's term lasts and never used again in it.
using worker_slot = std::uint32_t;

/// What is known of a run that takes room on a worker.
enum class run_phase {
    ordered,    ///< the start has been sent
    unanswered, ///< the start has no answer; it may be carried out until its time has passed
    running,    ///< the worker has confirmed it
    stopping,   ///< a stop has been sent; it takes room until its end is listed
};

struct placed_run {
    run_phase phase = run_phase::ordered;
    placement::resources demand;
    /// Time after which the worker refuses the start, on its clock.
    std::int64_t start_valid_until_ms = 0;
    /// The worker's clock when it confirmed the run. Lists that are older do not show the run.
    std::int64_t confirmed_clock_ms = 0;
    common::time_point ordered_at;
    common::time_point expected_end;
    common::time_point stop_sent_at;
    /// Its start was sent to a former life of the worker, and may reach the present one.
    bool uncertain = false;
    /// Orders of this start that had no answer: each may still be carried out.
    unsigned unanswered_orders = 0;
    /// Share of the work that is done, in percent, when it last rose.
    int percent = 0;
    common::time_point percent_at;
    /// The first share that the worker reported.
    int first_percent = -1;
    common::time_point first_percent_at;
    std::string checkpoint;

    void update_progress(common::time_point now, int reported);
};

/// A run that ended unseen, with the last checkpoint that was reported.
struct lost_run {
    run_key run;
    std::string checkpoint;
};

/// The owner's belief about one worker. Everything but the runs is forgotten when the worker
/// restarts.
struct worker_entry {
    worker_slot slot = 0;
    worker_report report;
    bool listed = true;
    common::time_point unlisted_since;

    /// The worker has answered a look under the owner's fence in this life.
    bool adopted = false;
    /// It has answered such a look at some time, so that all its runs are known.
    bool known = false;
    bool reachable = true;
    common::time_point last_contact;
    /// Newest clock reading and when it arrived. The estimate from it never runs ahead.
    std::int64_t clock_ms = 0;
    common::time_point clock_at;
    /// Latest possible end of the lease of what runs there.
    common::time_point lease_end;

    std::uint64_t ends_received = 0;
    std::uint64_t ends_saved = 0;

    bool poll_pending = false;
    std::uint64_t poll_call = 0;
    unsigned poll_failures = 0;

    std::map<run_key, placed_run> runs;
    placement::resources promised;

    /// Failed runs since the last success, of different tasks.
    unsigned failures_in_row = 0;
    unsigned exclusions = 0;
    common::time_point excluded_until;

    [[nodiscard]] placement::resources free() const { return report.capacity - promised; }
    [[nodiscard]] bool has_uncertain_runs() const;
    /// False for a draining worker that is empty: it gets no more starts, and no successor has to
    /// wait for it.
    [[nodiscard]] bool may_hold_runs() const;
};

/// Lease arithmetic and its margins.
struct lease_settings {
    /// Lease that each look asks for.
    common::duration lease = std::chrono::milliseconds(6000);
    /// How much slower than ours the clock of a worker may run.
    double clock_drift = 0.02;
    /// A start is refused by the worker after this time, so that an order that is carried out
    /// seconds late has no effect.
    common::duration start_validity = std::chrono::milliseconds(1500);
};

/// All workers with what runs on them. A run takes room from the order of its start until the
/// worker's lists show its end, or until it can certainly no longer be there.
class worker_registry {
public:
    explicit worker_registry(lease_settings settings) : m_settings(settings) {}

    struct update {
        bool added = false;
        bool restarted = false;
        bool draining_changed = false;
    };
    /// A restart makes the runs doubtful.
    update upsert(common::time_point now, const worker_report& report);
    void set_unlisted(common::time_point now, const std::string& worker);
    /// Removes the worker; its runs must have been settled.
    void erase(const std::string& worker);

    [[nodiscard]] worker_entry* find(const std::string& worker);
    [[nodiscard]] const worker_entry* find(const std::string& worker) const;
    [[nodiscard]] std::map<std::string, worker_entry>& all() { return m_workers; }
    [[nodiscard]] const std::map<std::string, worker_entry>& all() const { return m_workers; }

    /// The worker with the slot; nullptr when it is gone.
    [[nodiscard]] worker_entry* at(worker_slot slot) const {
        return slot < m_slots.size() ? m_slots[slot] : nullptr;
    }
    /// All workers by slot; nullptr for those that are gone.
    [[nodiscard]] const std::vector<worker_entry*>& slots() const { return m_slots; }

    /// Lower bound of the worker's clock.
    [[nodiscard]] std::int64_t estimate_clock_ms(const worker_entry& worker,
                                                 common::time_point now) const;
    void update_clock(worker_entry& worker, common::time_point now, std::int64_t clock_ms);
    /// Time for a lease from now on the worker's clock; 0 when its clock is not known. Raises
    /// lease_end to the latest time at which a run may still be there.
    [[nodiscard]] std::int64_t grant_lease(worker_entry& worker, common::time_point now) const;
    /// Raises lease_end by what a former owner may have granted until now.
    void assume_lease(worker_entry& worker, common::time_point now) const {
        extend_lease_end(worker, now, m_settings.lease);
    }
    [[nodiscard]] std::int64_t grant_start_validity(worker_entry& worker,
                                                    common::time_point now) const;

    placed_run& place(worker_entry& worker, const run_key& run, const placement::resources& demand,
                      common::time_point now);
    void release(worker_entry& worker, const run_key& run);
    /// All runs of a worker that has lost them; they no longer take room.
    [[nodiscard]] std::vector<lost_run> remove_runs(worker_entry& worker);

    [[nodiscard]] const lease_settings& settings() const { return m_settings; }

private:
    void extend_lease_end(worker_entry& worker, common::time_point now,
                          common::duration lease) const;

    lease_settings m_settings;
    std::map<std::string, worker_entry> m_workers;
    std::vector<worker_entry*> m_slots;
};

} // namespace buckthornspar::dispatch
