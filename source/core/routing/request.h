#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornspar::routing {

using common::duration;
using common::time_point;

/// Request classes, highest priority first.
enum class request_class { urgent, normal, bulk };
inline constexpr std::size_t request_class_count = 3;

/// Outcome that is reported to the caller. not_run guarantees that the request has not run and will
/// not run.
enum class run_outcome { ran, not_run, unknown };

/// Why a request was refused, or why its outcome is unknown.
enum class refusal_reason {
    queue_full,
    caller_limit,
    deadline_unreachable,
    deadline_passed,
    draining,
    no_runner,
    retry_budget,
    superseded,
    fenced,
    attempt_unsettled,
    answer_lost,
    runner_restarted,
    repeat_unsettled,
    not_ready, ///< the entry has not received a configuration yet
};

/// Why a request is sent again, to the same or another runner.
enum class retry_reason { full, leaving, expired, not_sent, attempt_fenced, runner_restarted };

/// Why a runner refuses a request. A refused request has not run at that runner.
enum class runner_refusal { full, leaving, expired, cancelled };

/// State of a request at a runner, as reported in its response to a query. not_seen means that the
/// runner has no record of the request id.
enum class run_state { running, done, not_seen, cancelled_before_start };

[[nodiscard]] std::string_view to_string(request_class value);
[[nodiscard]] std::string_view to_string(run_outcome value);
[[nodiscard]] std::string_view to_string(refusal_reason value);
[[nodiscard]] std::string_view to_string(retry_reason value);
[[nodiscard]] std::string_view to_string(runner_refusal value);
[[nodiscard]] std::string_view to_string(run_state value);

/// Throw common::unknown_name_error.
[[nodiscard]] request_class request_class_from(std::string_view name);
[[nodiscard]] run_outcome run_outcome_from(std::string_view name);
[[nodiscard]] runner_refusal runner_refusal_from(std::string_view name);
[[nodiscard]] run_state run_state_from(std::string_view name);

using request_body = std::shared_ptr<const std::string>;

/// A request of a caller. The key identifies the submission within the entry and is never reused.
/// The id is chosen by the caller and identifies the request at all entries and runners.
struct request {
    std::uint64_t key = 0;
    std::string id;
    std::string service;
    std::string caller;
    request_class priority = request_class::normal;
    time_point deadline{};
    bool idempotent = false;
    bool repeat = false;
    request_body body;
    std::string content_type;
};

} // namespace buckthornspar::routing
