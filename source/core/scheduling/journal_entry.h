#pragma once

#include "core/scheduling/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

/// The owner owns the shard from this record on; the record's number is its epoch. An empty owner
/// means that the shard was released by a planned shutdown.
struct owner_entry {
    std::string owner;
    /// The worker set of the shard, over which majorities are counted.
    std::vector<std::string> workers;
};

/// The worker set of the shard has changed.
struct workers_entry {
    std::vector<std::string> workers;
};

struct job_accepted_entry {
    job_spec job;
};

/// Logged before a start of a non-idempotent task may be sent.
struct attempt_intent_entry {
    std::string job;
    std::uint32_t index = 0;
    std::string attempt;
    std::string worker;
    std::uint64_t incarnation = 0;
};

/// The tasks have ended and are not restarted.
struct task_ended_entry {
    std::string job;
    std::vector<std::uint32_t> indices;
    attempt_outcome outcome = attempt_outcome::unknown;
    execution_status execution = execution_status::unknown;
};

struct job_cancelled_entry {
    std::string job;
};

/// Why the job was ended; logged before or after the ends of its tasks.
struct job_ended_entry {
    std::string job;
    job_reason reason = job_reason::none;
};

using journal_entry =
    std::variant<owner_entry, workers_entry, job_accepted_entry, attempt_intent_entry,
                 task_ended_entry, job_cancelled_entry, job_ended_entry>;

/// Returns the entry as one JSON object.
[[nodiscard]] std::string to_json(const journal_entry& entry);

/// Returns the body of a record with the given encoded entries.
[[nodiscard]] std::string join_entries(const std::vector<std::string>& encoded);

/// Throws common::format_error or common::unknown_name_error.
[[nodiscard]] std::vector<journal_entry> read_entries(std::string_view body);

} // namespace buckthornspar::scheduling
