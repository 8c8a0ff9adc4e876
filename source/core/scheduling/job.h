#pragma once

#include "core/common/error.h"
#include "core/placement/placement_types.h"
#include "core/scheduling/worker_messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::scheduling {

/// A submission that is not a valid job; field names the offending field.
class invalid_job : public common::error {
public:
    invalid_job(std::string field, const std::string& detail)
        : error(detail), m_field(std::move(field)) {}
    [[nodiscard]] std::string_view type() const noexcept override { return "invalid_job"; }
    [[nodiscard]] const std::string& field() const { return m_field; }

private:
    std::string m_field;
};

/// A job as the caller submitted it.
struct job_spec {
    /// Chosen by the caller; identifies repetitions of the same submission.
    std::string id;
    std::string team;
    placement::workload_kind kind = placement::workload_kind::batch;
    placement::priority_class priority = placement::priority_class::normal;
    bool idempotent = true;
    std::uint32_t tasks = 1;
    placement::resources demand;
    /// Expected run time of a task; 0 if unknown or, for a service, unlimited.
    std::int64_t run_ms = 0;
    /// Time after acceptance within which the job must start, or it is ended; 0 for no deadline.
    std::int64_t deadline_ms = 0;
    std::string family;
    /// Test aid: the stand-in worker reports a failure at the end of the run.
    bool fail = false;

    bool operator==(const job_spec&) const = default;
};

/// Parses and validates a submission. Throws invalid_job.
[[nodiscard]] job_spec read_job(std::string_view body);

/// Canonical JSON: submissions have the same content if and only if their texts are equal.
[[nodiscard]] std::string to_json(const job_spec& job);

/// Whether a task or job was executed, as reported to callers: not_run if no attempt can have
/// started, ran if a worker has reported a started attempt, otherwise unknown.
enum class execution_status { not_run, ran, unknown };
[[nodiscard]] std::string_view to_string(execution_status execution);
[[nodiscard]] execution_status execution_status_of(std::string_view name);

/// Why a job was ended before its tasks completed, or was not accepted.
enum class job_reason {
    none,
    cancelled,
    failed_everywhere,  ///< failed on several workers on which other jobs succeed
    attempts_exhausted, ///< a task reached the failure limit
    deadline_passed,    ///< not started before its deadline
    infeasible,         ///< no worker can run it
    gang_broken,        ///< a task of an all-at-once job ended and the others cannot be restarted
};
[[nodiscard]] std::string_view to_string(job_reason reason);
[[nodiscard]] job_reason job_reason_of(std::string_view name);

/// Returns the task id: the job id, a slash and the index.
[[nodiscard]] std::string task_id(std::string_view job, std::uint32_t index);

struct task_name {
    std::string job;
    std::uint32_t index = 0;
};
/// Throws common::format_error.
[[nodiscard]] task_name split_task_id(std::string_view task);

} // namespace buckthornspar::scheduling
