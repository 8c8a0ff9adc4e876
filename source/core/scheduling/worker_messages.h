#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

/// Operations of a sync message. See docs/platform-contract.md, section Worker.
enum class worker_op { start, reserve, release, cancel, throttle, checkpoint, stop, resume };

/// How an attempt to run a task ended.
enum class attempt_outcome { succeeded, failed, cancelled, stopped, lapsed, refused, unknown };

enum class operation_status { accepted, refused };

/// Why a worker refused an operation.
enum class operation_reason { none, full, leaving, expired, duplicate, cancelled, unknown_attempt };

enum class inventory_task_state { reserved, running };

enum class worker_availability { live, leaving };

[[nodiscard]] std::string_view to_string(worker_op op);
[[nodiscard]] std::string_view to_string(attempt_outcome outcome);
[[nodiscard]] std::string_view to_string(operation_status status);
[[nodiscard]] std::string_view to_string(operation_reason reason);
[[nodiscard]] std::string_view to_string(inventory_task_state state);
[[nodiscard]] std::string_view to_string(worker_availability state);

/// These throw common::unknown_name_error.
[[nodiscard]] worker_op worker_op_of(std::string_view name);
[[nodiscard]] attempt_outcome attempt_outcome_of(std::string_view name);
[[nodiscard]] operation_status operation_status_of(std::string_view name);
[[nodiscard]] operation_reason operation_reason_of(std::string_view name);
[[nodiscard]] inventory_task_state inventory_task_state_of(std::string_view name);
[[nodiscard]] worker_availability worker_availability_of(std::string_view name);

/// What the worker runs. run_ms 0 means that it runs until stopped.
struct task_payload {
    std::int64_t run_ms = 0;
    bool fail = false;

    bool operator==(const task_payload&) const = default;
};

struct worker_operation {
    worker_op op = worker_op::start;
    std::string attempt;
    std::string task;
    placement::resources demand;
    task_payload payload;
    /// Attempt id of the reservation that this start uses; empty if none.
    std::string reservation;
};

struct adopt_request {
    std::string shard;
    std::uint64_t epoch = 0;
    std::string owner;
};

struct sync_request {
    std::string shard;
    std::uint64_t epoch = 0;
    std::string owner;
    /// Newest clock stamp of this worker that the sender has received.
    std::int64_t stamp_ms = 0;
    std::uint64_t incarnation = 0;
    std::int64_t lease_ms = 0;
    std::int64_t start_validity_ms = 0;
    bool renew = false;
    std::vector<std::string> acknowledge;
    std::vector<worker_operation> operations;
};

struct operation_result {
    std::string attempt;
    operation_status status = operation_status::accepted;
    operation_reason reason = operation_reason::none;
};

struct ended_attempt {
    std::string task;
    std::string attempt;
    attempt_outcome outcome = attempt_outcome::unknown;
    bool started = false;
    int exit_code = 0;
};

/// Measured resource usage of a running attempt, as of age_ms before it was sent.
struct usage_report {
    std::string task;
    std::string attempt;
    placement::resources used;
    /// Age of the measurement when the worker sent it, in milliseconds.
    std::int64_t age_ms = 0;
};

struct sync_response {
    std::int64_t stamp_ms = 0;
    std::uint64_t incarnation = 0;
    std::vector<operation_result> results;
    std::vector<ended_attempt> ended;
    std::vector<usage_report> usage;
};

struct events_response {
    std::int64_t stamp_ms = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t next = 0;
    std::vector<ended_attempt> ended;
    std::vector<usage_report> usage;
};

struct inventory_task {
    std::string task;
    std::string attempt;
    inventory_task_state state = inventory_task_state::running;
    placement::resources demand;
    std::int64_t lease_end_ms = 0;
};

struct worker_inventory {
    std::string worker;
    std::uint64_t incarnation = 0;
    std::int64_t stamp_ms = 0;
    std::uint64_t accepted_epoch = 0;
    worker_availability state = worker_availability::live;
    placement::resources capacity;
    std::vector<inventory_task> tasks;
    std::vector<ended_attempt> ended;
};

enum class worker_error_kind {
    not_sent,          ///< the request did not reach the worker
    no_answer,         ///< no response; the worker may have executed the request
    stale_epoch,       ///< the worker has accepted a higher epoch; nothing was executed
    stale_incarnation, ///< the worker has restarted; nothing was executed
    bad_answer,        ///< unreadable response; the worker may have executed the request
};

[[nodiscard]] std::string_view to_string(worker_error_kind failure);

/// Why a call to a worker failed.
struct worker_error {
    worker_error_kind kind = worker_error_kind::no_answer;
    /// Epoch that the worker has accepted; set with stale_epoch.
    std::uint64_t accepted_epoch = 0;
};

using adopt_result = std::variant<worker_inventory, worker_error>;
using sync_result = std::variant<sync_response, worker_error>;
using events_result = std::variant<events_response, worker_error>;

} // namespace buckthornspar::scheduling
