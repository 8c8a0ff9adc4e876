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
    /// A worker that good lists have not shown for this long is terminated.
    common::duration gone_after = std::chrono::seconds(60);
    common::duration retry_min = std::chrono::milliseconds(100);
    common::duration retry_max = std::chrono::seconds(1);
    std::size_t max_operations_per_sync = 256;
};

/// Calls to make. Report the result with the same call number.
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

/// The worker has accepted the epoch and told what it holds.
struct worker_adopted {
    worker_inventory inventory;
    /// The tasks of the former incarnation are dead.
    bool restarted = false;
};

enum class operation_completion {
    accepted,
    refused,         ///< not executed; the reason says why
    not_executed,    ///< certainly neither executed nor on its way any more
    lost_in_restart, ///< may have been executed, but the worker has restarted since
};

/// End of an operation other than an acknowledgement.
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

/// Measured use of running attempts.
struct usage_received {
    std::string worker;
    std::vector<usage_report> usage;
};

/// All leases granted on the worker have certainly ended.
struct leases_lapsed {
    std::string worker;
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

/// Connections of a shard's owner to its workers: adoption, stamps and leases, bulk renewal,
/// batched operations, and the settlement of calls without an answer. Pure.
class worker_fleet {
public:
    worker_fleet(worker_fleet_settings settings, common::counters& counters);

    /// Starts an ownership: every worker of the set, and every listed one, is to be adopted.
    void begin(common::time_point now, std::uint64_t epoch, const std::set<std::string>& workers);
    void end();

    /// A good list, restricted to the shard's workers.
    void on_worker_list(common::time_point now, const std::vector<membership::instance>& workers);
    void on_adopt(common::time_point now, const std::string& worker, std::uint64_t call,
                  const adopt_result& result);
    void on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                 const sync_result& result);
    void on_events(common::time_point now, const std::string& worker, std::uint64_t call,
                   const events_result& result);

    /// The sets over each of which a majority is needed.
    void set_quorums(std::set<std::string> logged, std::set<std::string> pending);
    /// The time must not go back from one call to the next.
    [[nodiscard]] bool has_authority(common::time_point now);

    void queue(const std::string& worker, worker_operation operation);
    [[nodiscard]] bool remove_queued(const std::string& worker, const std::string& attempt);
    void acknowledge(const std::string& worker, const std::string& attempt);

    [[nodiscard]] bool known(const std::string& worker) const { return m_links.contains(worker); }
    [[nodiscard]] bool adopted(const std::string& worker) const;
    /// True when the worker was adopted at some time in this ownership.
    [[nodiscard]] bool seen(const std::string& worker) const;
    [[nodiscard]] bool leaving(const std::string& worker) const;
    [[nodiscard]] bool gone(const std::string& worker) const;
    [[nodiscard]] std::uint64_t incarnation(const std::string& worker) const;
    /// Empty until the worker was adopted once.
    [[nodiscard]] std::optional<placement::worker_info> info(const std::string& worker) const;
    /// Workers that are listed, or known and not gone.
    [[nodiscard]] std::set<std::string> present() const;
    /// Changes whenever a result of present() or gone() may have changed.
    [[nodiscard]] std::uint64_t presence_version() const { return m_presence_version; }
    [[nodiscard]] std::size_t count_adopted(const std::set<std::string>& workers) const;
    [[nodiscard]] bool listed() const { return m_listed_once; }

    /// Sends what is due. Call it after every event.
    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;
    [[nodiscard]] std::vector<fleet_event> take_events();

private:
    struct unconfirmed_operation {
        worker_operation operation;
        std::int64_t stamp_ms = 0;
    };
    struct link {
        std::optional<membership::instance> listing;
        std::optional<common::time_point> missing_since;
        bool gone = false;
        bool leaving = false;
        bool adopted = false;
        /// Set when an inventory of this ownership was seen.
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
        /// End of the leases that was reported as lapsed, so that each is reported once.
        std::optional<common::time_point> lapsed_end;

        [[nodiscard]] bool present() const { return !gone && (listing || seen); }
    };

    [[nodiscard]] link* complete_call(const std::string& worker, std::uint64_t call);
    void mark_listed(const membership::instance& instance, link& l);
    void mark_missing(common::time_point now, link& l);
    void send_adopt(common::time_point now, const std::string& worker, link& l);
    void send_sync(common::time_point now, const std::string& worker, link& l);
    void send_events(common::time_point now, const std::string& worker, link& l);
    void send_due_calls(common::time_point now, const std::string& worker, link& l,
                        bool authorised);
    void take_inventory(common::time_point now, const std::string& worker, link& l,
                        const worker_inventory& inventory);
    void resolve_unconfirmed(const std::string& worker, link& l, const worker_inventory& inventory,
                             bool restarted);
    void take_results(const std::string& worker, link& l, const sync_response& answer);
    void emit_reports(const std::string& worker, const std::vector<ended_attempt>& ended,
                      const std::vector<usage_report>& usage);
    void on_call_failed(common::time_point now, const std::string& worker, link& l,
                        const worker_error& error);
    void fail_queued(const std::string& worker, link& l);
    /// The next on_time() looks at the link.
    void mark_changed(const std::string& worker);
    void mark_all_changed();
    void check_lease(common::time_point now, const std::string& worker, link& l);
    [[nodiscard]] std::optional<common::time_point> due_time(const std::string& worker,
                                                             const link& l) const;
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
    std::map<std::string, link> m_links;
    /// Times at which links have something to do.
    common::due_queue<std::string> m_due;
    /// Links that an event has changed since the last on_time().
    std::set<std::string> m_changed;
    /// Whether the owner had authority at the last on_time().
    bool m_had_authority = false;
    std::vector<fleet_event> m_events;
};

} // namespace buckthornspar::scheduling
