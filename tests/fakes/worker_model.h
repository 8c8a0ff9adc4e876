#pragma once

#include "core/scheduling/worker_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::fakes {

/// Faults of a worker. The user of the model implements the transport faults (silent, lose_answers,
/// slow_by_ms); the model implements the others. The skip switches violate the contract, to verify
/// that the checks of the tests detect it.
struct worker_faults {
    bool silent = false;
    bool lose_answers = false;
    std::int64_t slow_by_ms = 0;
    bool fail_every_task = false;
    bool skip_epoch_check = false;
    bool store_lower_epoch = false;
    bool skip_lease_end = false;
    bool skip_capacity_check = false;
    bool skip_start_validity = false;
    /// Accepts throttle operations without applying them.
    bool ignore_throttle = false;
};

/// Error response to a whole message: HTTP 409 with stale_epoch, or 410 with stale_incarnation.
using rejection = scheduling::worker_error;

/// Model of a worker as specified in docs/platform-contract.md, without the transport. Times are
/// milliseconds of the worker's own monotonic clock and must not decrease between calls. Each call
/// first ends the tasks and reservations whose end time has passed.
class worker_model {
public:
    worker_model(std::string id, placement::resources capacity,
                 std::uint64_t first_incarnation = 1);

    [[nodiscard]] scheduling::adopt_result adopt(std::int64_t now_ms,
                                                 const scheduling::adopt_request& request);
    [[nodiscard]] scheduling::sync_result sync(std::int64_t now_ms,
                                               const scheduling::sync_request& request);
    /// Ended tasks with an event number above the given one. A long poll waits while
    /// last_event() <= after.
    [[nodiscard]] scheduling::events_response events(std::int64_t now_ms, std::uint64_t after);
    [[nodiscard]] scheduling::worker_inventory inventory(std::int64_t now_ms);

    /// Ends tasks whose run time or lease has ended, and expired reservations.
    void advance(std::int64_t now_ms);
    /// Time at which the next task or reservation ends; callers set a timer for it.
    [[nodiscard]] std::optional<std::int64_t> next_end() const;

    /// Discards all state, including the accepted epoch, and increments the incarnation.
    void restart();
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// Sets the usage that the task reports from now on. A throttled task reports its demand
    /// instead.
    void set_use(const std::string& task, const placement::resources& used) { m_use[task] = used; }

    [[nodiscard]] worker_faults& faults() { return m_faults; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const placement::resources& capacity() const { return m_capacity; }
    [[nodiscard]] std::uint64_t accepted_epoch() const { return m_accepted_epoch; }
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint64_t last_event() const { return m_last_event; }
    [[nodiscard]] placement::resources committed() const;
    /// Ids of the running tasks. An id is repeated if several attempts of the task run.
    [[nodiscard]] std::vector<std::string> running_tasks() const;
    /// Task ids of all starts that took effect since the model was constructed, in order.
    [[nodiscard]] const std::vector<std::string>& starts() const { return m_started_tasks; }

private:
    struct held_attempt {
        scheduling::inventory_task task;
        scheduling::task_payload payload;
        /// Time at which the run ends; 0 if the task runs until it is stopped.
        std::int64_t run_end_ms = 0;
    };
    struct ended_event {
        std::uint64_t event = 0;
        scheduling::ended_attempt attempt;
    };

    [[nodiscard]] std::optional<rejection> check_epoch(std::uint64_t epoch);
    [[nodiscard]] scheduling::operation_result
    execute(std::int64_t now_ms, const scheduling::sync_request& request,
            const scheduling::worker_operation& operation);
    [[nodiscard]] scheduling::operation_reason
    admit(std::int64_t now_ms, const scheduling::sync_request& request,
          const scheduling::worker_operation& operation) const;
    void start(std::int64_t now_ms, const scheduling::sync_request& request,
               const scheduling::worker_operation& operation);
    void cancel(const std::string& attempt, const std::string& task);
    [[nodiscard]] bool stop(const std::string& attempt);
    void renew(const scheduling::sync_request& request);
    void finish(const std::string& attempt, scheduling::attempt_outcome outcome);
    void add_ended(scheduling::ended_attempt attempt);
    [[nodiscard]] std::vector<scheduling::ended_attempt> ended_after(std::uint64_t event) const;

    [[nodiscard]] std::vector<scheduling::usage_report> usage() const;

    std::string m_id;
    placement::resources m_capacity;
    std::uint64_t m_incarnation;
    std::uint64_t m_accepted_epoch = 0;
    std::uint64_t m_last_event = 0;
    bool m_leaving = false;
    worker_faults m_faults;
    std::map<std::string, held_attempt> m_held_attempts;
    std::map<std::string, ended_event> m_ended_attempts;
    std::set<std::string> m_seen_attempts;
    std::set<std::string> m_cancelled_attempts;
    std::map<std::string, placement::resources> m_use;
    std::set<std::string> m_throttled_attempts;
    std::vector<std::string> m_started_tasks;
};

} // namespace buckthornspar::fakes
