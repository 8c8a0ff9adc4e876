#include "core/scheduling/worker_messages.h"

namespace buckthornspar::scheduling {

namespace {

using common::name_table;

constexpr name_table<worker_op, 8> op_names("worker operation",
                                            {"start", "reserve", "release", "cancel", "throttle",
                                             "checkpoint", "stop", "resume"});

constexpr name_table<attempt_outcome, 7> outcome_names("attempt outcome",
                                                       {"succeeded", "failed", "cancelled",
                                                        "stopped", "lapsed", "refused", "unknown"});

constexpr name_table<operation_status, 2> status_names("operation status", {"accepted", "refused"});

constexpr name_table<operation_reason, 7>
    reason_names("operation reason", {"none", "full", "leaving", "expired", "duplicate",
                                      "cancelled", "unknown_attempt"});

constexpr name_table<inventory_task_state, 2> task_state_names("task state",
                                                               {"reserved", "running"});

constexpr name_table<worker_availability, 2> availability_names("worker state",
                                                                {"live", "leaving"});

constexpr name_table<worker_error_kind, 5> failure_names("worker failure",
                                                         {"not_sent", "no_answer", "stale_epoch",
                                                          "stale_incarnation", "bad_answer"});

} // namespace

std::string_view to_string(worker_op op) {
    return op_names.name(op);
}

std::string_view to_string(attempt_outcome outcome) {
    return outcome_names.name(outcome);
}

std::string_view to_string(operation_status status) {
    return status_names.name(status);
}

std::string_view to_string(operation_reason reason) {
    return reason_names.name(reason);
}

std::string_view to_string(inventory_task_state state) {
    return task_state_names.name(state);
}

std::string_view to_string(worker_availability state) {
    return availability_names.name(state);
}

std::string_view to_string(worker_error_kind failure) {
    return failure_names.name(failure);
}

worker_op worker_op_of(std::string_view name) {
    return op_names.value(name);
}

attempt_outcome attempt_outcome_of(std::string_view name) {
    return outcome_names.value(name);
}

operation_status operation_status_of(std::string_view name) {
    return status_names.value(name);
}

operation_reason operation_reason_of(std::string_view name) {
    return reason_names.value(name);
}

inventory_task_state inventory_task_state_of(std::string_view name) {
    return task_state_names.value(name);
}

worker_availability worker_availability_of(std::string_view name) {
    return availability_names.value(name);
}

} // namespace buckthornspar::scheduling
