#pragma once

#include "core/common/counters.h"
#include "core/common/due_queue.h"
#include "core/membership/instance_list.h"
#include "core/placement/placement_types.h"
#include "core/scheduling/authority.h"
#include "core/scheduling/lease_table.h"
#include "core/scheduling/worker_outbox.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

struct worker_fleet_settings {
    std::string shard;
    std::string self;
    lease_settings lease;
    common::duration authority = std::chrono::seconds(4);
    common::duration renew = std::chrono::milliseconds(1500);
    /// A worker absent from successfully read lists for this long is considered terminated.
    common::duration gone_after = std::chrono::seconds(60);
    common::duration retry_min = std::chrono::milliseconds(100);
    common::duration retry_max = std::chrono::seconds(1);
    std::size_t max_operations_per_sync = 256;
};

/// Calls to workers. The result is reported with the same call number.
struct adopt_call {
    std::string worker;
    net::endpoint address;
    std::uint64_t call = 0;
    adopt_request request;
};
struct sync_call {
    std::string worker;
    net::endpoint address;
    std::uint64_t call = 0;
    sync_request request;
};
struct events_call {
    std::string worker;
    net::endpoint address;
    std::uint64_t call = 0;
    std::uint64_t after = 0;
    common::duration max_wait{0};
};

/// The worker has accepted the epoch and reported its tasks.
struct worker_adopted {
    worker_inventory inventory;
    /// The worker has restarted; the tasks of the previous incarnation are lost.
    bool restarted = false;
};

enum class operation_completion {
    accepted,
    refused,         ///< not executed, for the given reason
    not_executed,    ///< certainly not executed, and no longer in transit
    lost_in_restart, ///< may have been executed, but the worker has restarted since
};

/// Result of an operation other than an acknowledgement.
struct operation_completed {
    std::string worker;
    worker_operation operation;
    operation_completion completion = operation_completion::accepted;
    operation_reason reason = operation_reason::none;
};

struct attempt_reported {
    std::string worker;
    ended_attempt attempt;
};

/// Measured resource usage of running attempts.
struct usage_received {
    std::string worker;
    std::vector<usage_report> usage;
};

/// All leases granted to the worker by this owner have certainly expired. Reported again with
/// confirmed set when it is certain that no successor had renewed them.
struct leases_lapsed {
    std::string worker;
    bool confirmed = false;
};

/// State, address or capacity of a worker has changed.
struct worker_changed {
    std::string worker;
};

/// A worker has accepted a higher epoch.
struct epoch_fenced {
    std::uint64_t accepted_epoch = 0;
};

using fleet_event =
    std::variant<adopt_call, sync_call, events_call, worker_adopted, operation_completed,
                 attempt_reported, usage_received, leases_lapsed, worker_changed, epoch_fenced>;

/// The shard owner's communication with its workers: adoption, clock stamps and leases, bulk
/// renewal, batched operations, and the resolution of calls without a response. Performs no I/O.
class worker_fleet {
public:
    worker_fleet(worker_fleet_settings settings, common::counters& counters);

    /// Starts an ownership and adopts every worker of the set and every listed worker.
    void begin(common::time_point now, std::uint64_t epoch, const std::set<std::string>& workers);
    void end();

    /// A successfully read worker list, restricted to the shard's workers.
    void on_worker_list(common::time_point now, const std::vector<membership::instance>& workers);
    void on_adopt(common::time_point now, const std::string& worker, std::uint64_t call,
                  const adopt_result& result);
    void on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                 const sync_result& result);
    void on_events(common::time_point now, const std::string& worker, std::uint64_t call,
                   const events_result& result);

    /// Sets the two worker sets in each of which a majority is required.
    void set_quorums(std::set<std::string> logged, std::set<std::string> pending);
    /// The time must not decrease from one call to the next.
    [[nodiscard]] bool has_authority(common::time_point now);

    /// True while the acceptances of a restarted worker do not count, because it may have forgotten
    /// the epoch of a successor.
    [[nodiscard]] bool has_unconfirmed_restarts() const { return !m_unconfirmed_restarts.empty(); }
    /// Counts the workers whose restart was seen before this time again: no other owner had claimed
    /// the shard then.
    void confirm_restarts(common::time_point unclaimed_at);

    void queue(const std::string& worker, worker_operation operation);
    [[nodiscard]] bool remove_queued(const std::string& worker, const std::string& attempt);
    void acknowledge(const std::string& worker, const std::string& attempt);

    [[nodiscard]] bool known(const std::string& worker) const { return m_links.contains(worker); }
    [[nodiscard]] bool adopted(const std::string& worker) const;
    /// True if the worker was adopted at any time during this ownership.
    [[nodiscard]] bool seen(const std::string& worker) const;
    [[nodiscard]] bool leaving(const std::string& worker) const;
    [[nodiscard]] bool gone(const std::string& worker) const;
    [[nodiscard]] std::uint64_t incarnation(const std::string& worker) const;
    /// Empty until the worker is adopted and listed.
    [[nodiscard]] std::optional<placement::worker_info> info(const std::string& worker) const;
    /// Workers that are listed, or known and not gone.
    [[nodiscard]] std::set<std::string> present() const;
    /// Changes whenever a result of present() or gone() may have changed.
    [[nodiscard]] std::uint64_t presence_version() const { return m_presence_version; }
    [[nodiscard]] std::size_t count_adopted(const std::set<std::string>& workers) const;
    [[nodiscard]] bool listed() const { return m_listed_once; }

    /// Sends the calls that are due. Call it after every event.
    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;
    [[nodiscard]] std::vector<fleet_event> take_events();

private:
    struct unconfirmed_operation {
        worker_operation operation;
        std::int64_t stamp_ms = 0;
    };
    struct worker_link {
        std::optional<membership::instance> listing;
        std::optional<common::time_point> missing_since;
        bool gone = false;
        bool leaving = false;
        bool adopted = false;
        /// An inventory was received during this ownership.
        bool seen = false;
        std::uint64_t incarnation = 0;
        placement::resources capacity;
        std::uint64_t call = 0;
        common::time_point call_sent;
        common::time_point next_call;
        unsigned failures = 0;
        worker_outbox outbox;
        std::vector<worker_operation> in_flight;
        std::int64_t in_flight_stamp_ms = 0;
        std::vector<unconfirmed_operation> unconfirmed;
        std::uint64_t events_call = 0;
        std::uint64_t events_after = 0;
        common::time_point next_events;
        /// Lease end that was last reported as lapsed, so that each is reported only once.
        std::optional<common::time_point> lapsed_end;
        std::optional<common::time_point> confirmed_end;
        common::time_point next_confirmation_check;
        /// Empty once the acceptances of the current incarnation count.
        std::optional<common::time_point> restart_seen_at;
        common::time_point accepted_at;

        [[nodiscard]] bool present() const { return !gone && (listing || seen); }
    };

    [[nodiscard]] worker_link* complete_call(const std::string& worker, std::uint64_t call);
    void mark_listed(const membership::instance& instance, worker_link& link);
    void mark_missing(common::time_point now, worker_link& link);
    void send_adopt(common::time_point now, const std::string& worker, worker_link& link);
    void send_sync(common::time_point now, const std::string& worker, worker_link& link);
    void send_events(common::time_point now, const std::string& worker, worker_link& link);
    void send_due_calls(common::time_point now, const std::string& worker, worker_link& link,
                        bool authorised);
    void take_inventory(common::time_point now, const std::string& worker, worker_link& link,
                        const worker_inventory& inventory);
    void record_acceptance(const std::string& worker, worker_link& link);
    void resolve_unconfirmed(const std::string& worker, worker_link& link,
                             const worker_inventory& inventory, bool restarted);
    void take_results(const std::string& worker, worker_link& link, const sync_response& response);
    void emit_reports(const std::string& worker, const std::vector<ended_attempt>& ended,
                      const std::vector<usage_report>& usage);
    void on_call_failed(common::time_point now, const std::string& worker, worker_link& link,
                        const worker_error& error);
    void fail_queued(const std::string& worker, worker_link& link);
    /// Makes the next on_time() process the link.
    void mark_changed(const std::string& worker);
    void mark_all_changed();
    /// Reports the leases of changed links that have expired.
    void check_leases(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> due_time(const std::string& worker,
                                                             const worker_link& link) const;
    [[nodiscard]] common::duration backoff(unsigned failures) const;

    worker_fleet_settings m_settings;
    common::counters& m_counters;
    bool m_running = false;
    bool m_listed_once = false;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_presence_version = 0;
    lease_table m_leases;
    authority m_authority;
    std::map<std::string, worker_link> m_links;
    /// Time of the next action of each link.
    common::due_queue<std::string> m_due;
    /// Links changed by events since the last on_time().
    std::set<std::string> m_changed;
    /// Links with restart_seen_at.
    std::set<std::string> m_unconfirmed_restarts;
    /// Whether the owner had authority at the last on_time().
    bool m_had_authority = false;
    std::vector<fleet_event> m_events;
};

} // namespace buckthornspar::scheduling
