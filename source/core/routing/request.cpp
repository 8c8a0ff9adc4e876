#include "core/routing/request.h"

#include "core/common/name_table.h"

namespace buckthornspar::routing {

namespace {

constexpr common::name_table<request_class, request_class_count> class_names{
    "request class", {"urgent", "normal", "bulk"}};
constexpr common::name_table<run_outcome, 3> outcome_names{"outcome",
                                                           {"ran", "not_run", "unknown"}};
constexpr common::name_table<refusal_reason, 14> refusal_names{
    "refusal reason",
    {"queue_full", "caller_limit", "deadline_unreachable", "deadline_passed", "draining",
     "no_runner", "retry_budget", "superseded", "fenced", "attempt_unsettled", "answer_lost",
     "runner_restarted", "repeat_unsettled", "not_ready"}};
constexpr common::name_table<retry_reason, 6> retry_names{
    "retry reason",
    {"full", "leaving", "expired", "not_sent", "attempt_fenced", "runner_restarted"}};
constexpr common::name_table<runner_refusal, 4> runner_refusal_names{
    "runner refusal", {"full", "leaving", "expired", "cancelled"}};
constexpr common::name_table<run_state, 4> state_names{
    "run state", {"running", "done", "not_seen", "cancelled_before_start"}};

} // namespace

std::string_view to_string(request_class value) {
    return class_names.name(value);
}

std::string_view to_string(run_outcome value) {
    return outcome_names.name(value);
}

std::string_view to_string(refusal_reason value) {
    return refusal_names.name(value);
}

std::string_view to_string(retry_reason value) {
    return retry_names.name(value);
}

std::string_view to_string(runner_refusal value) {
    return runner_refusal_names.name(value);
}

std::string_view to_string(run_state value) {
    return state_names.name(value);
}

request_class request_class_from(std::string_view name) {
    return class_names.value(name);
}

run_outcome run_outcome_from(std::string_view name) {
    return outcome_names.value(name);
}

runner_refusal runner_refusal_from(std::string_view name) {
    return runner_refusal_names.value(name);
}

run_state run_state_from(std::string_view name) {
    return state_names.value(name);
}

} // namespace buckthornspar::routing
