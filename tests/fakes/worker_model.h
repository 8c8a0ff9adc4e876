#pragma once

#include "core/scheduling/worker_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::fakes {

/// Faults of a worker. The transport faults (silent, lose_answers, slow_by_ms) are carried out by
/// the user of the model; the others by the model itself. The skip switches break the contract and
/// show that a check of the tests can fail.
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
    /// Accepts throttle without any effect.
    bool ignore_throttle = false;
};

/// Rejection of a whole message: HTTP 409 with stale_epoch, or 410 with stale_incarnation.
using rejection = scheduling::worker_error;

/// The worker of docs/platform-contract.md without its transport. Times are milliseconds of the
/// worker's own monotonic clock, which must not go back between calls. Each call first ends what is
/// due by its time.
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

    /// Ends tasks whose run time or lease is over and reservations that have expired.
    void advance(std::int64_t now_ms);
    /// Time of the next end, for timers.
    [[nodiscard]] std::optional<std::int64_t> next_due() const;

    /// Loses everything in memory, including the accepted epoch, and changes the incarnation.
    void restart();
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// What the task reports as its use from now on; a throttled one reports its demand at most.
    void set_use(const std::string& task, const placement::resources& used) { m_use[task] = used; }

    [[nodiscard]] worker_faults& faults() { return m_faults; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const placement::resources& capacity() const { return m_capacity; }
    [[nodiscard]] std::uint64_t accepted_epoch() const { return m_accepted_epoch; }
    [[nodiscard]] std::uint64_t incarnation() const { return m_incarnation; }
    [[nodiscard]] std::uint64_t last_event() const { return m_last_event; }
    [[nodiscard]] placement::resources committed() const;
    /// Ids of the tasks that run now, with repetitions if a task runs twice.
    [[nodiscard]] std::vector<std::string> running_tasks() const;
    /// Task id of every start that took effect since the model was made, in order.
    [[nodiscard]] const std::vector<std::string>& starts() const { return m_starts; }

private:
    struct held {
        scheduling::inventory_task task;
        scheduling::task_payload payload;
        /// End of the run; 0 when the task runs until stopped.
        std::int64_t run_end_ms = 0;
    };
    struct ended {
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
    std::map<std::string, held> m_held;
    std::map<std::string, ended> m_ended;
    std::set<std::string> m_seen;
    std::set<std::string> m_cancelled;
    std::map<std::string, placement::resources> m_use;
    std::set<std::string> m_throttled;
    std::vector<std::string> m_starts;
};

} // namespace buckthornspar::fakes
