#pragma once

#include "core/scheduling/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

/// The writer owns the shard from this record on; the record's number is its epoch. An empty owner
/// means that the shard was released by a planned stop.
struct owner_entry {
    std::string owner;
    /// The shard's workers, over which majorities are counted.
    std::vector<std::string> workers;
};

/// The shard's workers have changed.
struct workers_entry {
    std::vector<std::string> workers;
};

struct job_accepted_entry {
    job_spec job;
};

/// A start of a task of a non-idempotent job may be sent from now on.
struct attempt_intent_entry {
    std::string job;
    std::uint32_t index = 0;
    std::string attempt;
    std::string worker;
    std::uint64_t incarnation = 0;
};

/// The tasks have ended for good.
struct task_ended_entry {
    std::string job;
    std::vector<std::uint32_t> indices;
    attempt_outcome outcome = attempt_outcome::unknown;
    execution_status execution = execution_status::unknown;
};

struct job_cancelled_entry {
    std::string job;
};

/// Why the job ended; precedes or follows the ends of its tasks.
struct job_ended_entry {
    std::string job;
    job_reason reason = job_reason::none;
};

using journal_entry =
    std::variant<owner_entry, workers_entry, job_accepted_entry, attempt_intent_entry,
                 task_ended_entry, job_cancelled_entry, job_ended_entry>;

/// One JSON object.
[[nodiscard]] std::string to_json(const journal_entry& entry);

/// A record's body from entries that are encoded already.
[[nodiscard]] std::string join_entries(const std::vector<std::string>& encoded);

/// Throws common::format_error or common::unknown_name_error.
[[nodiscard]] std::vector<journal_entry> read_entries(std::string_view body);

} // namespace buckthornspar::scheduling
