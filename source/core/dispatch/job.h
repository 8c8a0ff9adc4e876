#pragma once

#include "core/common/name_table.h"
#include "core/customers/job_access.h"
#include "core/placement/resources.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

/// A group of equal tasks of a job.
struct step_spec {
    std::uint32_t count = 1;
    placement::resources demand;
    /// The submitter's rough estimate of a task's duration, in milliseconds.
    std::int64_t estimate_ms = 0;
    /// Earlier steps whose tasks must all have succeeded before a task of this step starts.
    std::vector<std::uint32_t> after;
    /// The tasks run simultaneously and begin once all of them have been started.
    bool gang = false;
    bool same_rack = false;
    bool checkpointing = false;
    bool speculative = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool long_running = false;
    /// The tasks use processor time left over by others; no processor capacity is reserved for
    /// them.
    bool filler = false;
    /// Names what the tasks run; tasks of the same image behave alike. Empty when unknown.
    std::string image;
    /// Label that a worker must have; empty for any worker.
    std::string required_label;
    /// Rack that holds the data; empty when no rack is preferred.
    std::string preferred_rack;
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    std::uint32_t max_per_worker = 0;

    bool operator==(const step_spec&) const = default;

    /// Capacity that a task reserves on its worker.
    [[nodiscard]] placement::resources allocation() const {
        auto amount = demand;
        if (filler) {
            amount.cpu_milli = 0;
        }
        return amount;
    }
};

/// Occurrences of a scheduled job.
struct schedule_spec {
    std::uint32_t repeats = 0;
    /// Unix time of the first occurrence, and the time between two of them, in milliseconds.
    std::int64_t first_ms = 0;
    std::int64_t interval_ms = 0;

    bool operator==(const schedule_spec&) const = default;
};

/// Settings of a queue in the operators' configuration.
struct queue_settings {
    std::string name;
    std::string service;
    /// 0 is the most urgent.
    int priority = 0;
    std::uint32_t max_attempts = 1;
    /// The completion objective of a job is slack_factor times its critical path plus target_ms.
    double slack_factor = 1.0;
    std::int64_t target_ms = 0;
    /// The queue's policy allows a step only on workers for which the advice service grants a
    /// ticket. A call takes ticket_base_ms plus ticket_per_worker_ms for each named worker.
    bool needs_tickets = false;
    double ticket_base_ms = 0.0;
    double ticket_per_worker_ms = 0.0;
    std::int64_t ticket_valid_ms = 0;

    bool operator==(const queue_settings&) const = default;
};

/// A job as its customer submitted it.
struct job_spec {
    std::string id;
    std::string queue;
    /// Customer to whom the job belongs; empty for one that was submitted without a key.
    std::string customer;
    /// Description of the work for the worker; opaque to the scheduler.
    std::string payload;
    std::vector<step_spec> steps;
    schedule_spec schedule;
    /// Unix time of the acceptance in milliseconds; only for ordering, because clocks may jump.
    std::int64_t accepted_ms = 0;
    /// Node that accepted the job and shows its state to the customer; empty when unknown.
    std::string accepted_by;
    /// Settings of the queue at the acceptance, by which the job is executed when the configuration
    /// no longer has the queue; null in records of earlier versions.
    std::shared_ptr<const queue_settings> accepted_queue;

    /// Number of times that the steps run.
    [[nodiscard]] std::uint32_t occurrence_count() const {
        return std::max<std::uint32_t>(1, schedule.repeats);
    }
    /// True for the same submission, whenever and by whichever node it was accepted.
    [[nodiscard]] bool same_content(const job_spec& other) const;
    [[nodiscard]] customers::job_origin origin() const { return {queue, customer}; }
};

enum class job_state { queued, running, completed, failed, cancelled };
inline constexpr common::name_table<job_state, 5> job_state_names{
    "job state", {"queued", "running", "completed", "failed", "cancelled"}};

/// The state of a job, and whose job it is.
struct known_state {
    job_state state = job_state::queued;
    customers::job_origin origin;
};

[[nodiscard]] constexpr bool is_final(job_state state) {
    return state != job_state::queued && state != job_state::running;
}

/// Identifies a task by job, occurrence (0 for a job without schedule), step and index.
struct task_key {
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_key&) const = default;
};

/// Formats the key for logs as job.occurrence.step.index.
[[nodiscard]] std::string to_string(const task_key& task);

} // namespace buckthornspar::dispatch

template <>
struct std::hash<buckthornspar::dispatch::task_key> {
    [[nodiscard]] std::size_t
    operator()(const buckthornspar::dispatch::task_key& key) const noexcept {
        const std::size_t numbers = (std::size_t{key.occurrence} << 40U) ^
                                    (std::size_t{key.step} << 20U) ^ std::size_t{key.index};
        return std::hash<std::string>{}(key.job) ^ (numbers * 0x9E3779B97F4A7C15U);
    }
};
