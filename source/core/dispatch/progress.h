#pragma once

#include "core/common/number_set.h"
#include "core/dispatch/job.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::dispatch {

/// Progress of a task that must survive the loss of all scheduler processes.
struct task_progress {
    bool succeeded = false;
    /// Runs whose end has been processed, in ascending order. A successor reads ended runs from
    /// several workers in any order, so the highest number alone is not sufficient.
    std::vector<std::uint32_t> processed_runs;
    /// Highest run number ever ordered.
    std::uint32_t last_run = 0;
    /// Number of failed runs; runs that were stopped or lost do not count.
    std::uint32_t failures = 0;
    /// Number of workers that crashed, or vanished, shortly after they had started the task and may
    /// have crashed because of it, since the last run that a worker survived.
    std::uint32_t crashes = 0;
    /// The same for workers that had not confirmed the start of the suspected task, so that they
    /// may have crashed before.
    std::uint32_t possible_crashes = 0;
    /// The same for workers that became silent without a proof that they crashed; they may have
    /// been cut off.
    std::uint32_t silent_losses = 0;
    std::string checkpoint;

    bool operator==(const task_progress&) const = default;
    [[nodiscard]] bool empty() const { return *this == task_progress{}; }
    [[nodiscard]] bool is_processed(std::uint32_t run) const;
    void mark_processed(std::uint32_t run);
};

/// A step of an occurrence.
struct step_key {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const step_key&) const = default;
};

/// Progress of a job. Tasks without progress, and those of finished occurrences, are absent.
struct job_progress {
    job_state state = job_state::queued;
    /// Occurrences of which all tasks have succeeded.
    common::number_set finished;
    /// Succeeded tasks of other occurrences.
    std::map<step_key, common::number_set> succeeded;
    /// Tasks that have been started and have not succeeded.
    std::map<task_key, task_progress> tasks;
    /// Runs of every task up to this number may have existed although no worker reported them.
    std::uint32_t possible_runs = 0;
    /// See job_spec; only set for a final state, because the job record is removed then.
    std::string accepted_by;
    /// The same; empty when the job belongs to no customer.
    customers::job_origin origin;
};

/// Serialization of the records in the store. The readers throw common::format_error.
[[nodiscard]] std::string write_job(const job_spec& job);
[[nodiscard]] job_spec read_job(std::string_view text);
[[nodiscard]] std::string write_progress(const job_progress& progress);
/// Leaves out as much of the record of a job in progress as its maximum size requires: first the
/// checkpoints, then the runs of tasks, whose numbers are not used again. What has succeeded or
/// failed is kept. The result is larger only when tasks have failed that are too many to be listed.
[[nodiscard]] std::string write_progress(job_progress progress, std::size_t max_bytes);

/// Number of tasks that may run or have failed, so that the record in its shortest form stays
/// within the size whatever becomes of them.
[[nodiscard]] constexpr std::size_t max_open_tasks(std::size_t max_bytes) {
    // A row, and a range of succeeded tasks that ends at it.
    constexpr std::size_t bytes_per_task = 52;
    return max_bytes / bytes_per_task;
}
[[nodiscard]] job_progress read_progress(const std::string& job, std::string_view text);

} // namespace buckthornspar::dispatch
