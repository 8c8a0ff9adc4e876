#pragma once

#include "core/scheduling/journal_entry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::scheduling {

/// State of one task according to the log.
struct task_record {
    bool ended = false;
    attempt_outcome outcome = attempt_outcome::unknown;
    execution_status execution = execution_status::not_run;
    /// Newest logged attempt of a non-idempotent task.
    std::optional<attempt_intent_entry> intent;
};

struct job_record {
    job_spec spec;
    bool cancelled = false;
    job_reason reason = job_reason::none;
    std::vector<task_record> tasks;
    std::uint32_t tasks_ended = 0;

    [[nodiscard]] bool ended() const { return tasks_ended == tasks.size(); }
};

/// State of a job as reported to callers.
struct job_summary {
    std::string_view state;
    execution_status execution = execution_status::not_run;
};

/// The durable state of a shard: the result of applying the records of its log in order. It changes
/// only through apply() and load_snapshot(), so that all readers of the log get the same table.
class job_table {
public:
    /// max_ended is the number of ended jobs to keep; the oldest are removed first. It must be the
    /// same for all readers of a log.
    explicit job_table(std::size_t max_ended) : m_max_ended(max_ended) {}

    /// number is the number of the record with the entry. Entries for unknown jobs are ignored.
    void apply(std::uint64_t number, const journal_entry& entry);

    [[nodiscard]] const job_record* find(std::string_view id) const;
    [[nodiscard]] const std::map<std::string, job_record, std::less<>>& jobs() const {
        return m_jobs;
    }

    /// Empty when the shard has no owner.
    [[nodiscard]] const std::string& owner() const { return m_owner; }
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    [[nodiscard]] const std::set<std::string>& workers() const { return m_workers; }
    /// Changes whenever the set of workers may have changed.
    [[nodiscard]] std::uint64_t workers_version() const { return m_workers_version; }

    [[nodiscard]] std::string snapshot() const;
    /// Replaces the state. Throws common::format_error or common::unknown_name_error.
    void load_snapshot(std::string_view body);

private:
    void apply_accepted(const job_accepted_entry& entry);
    void apply_intent(const attempt_intent_entry& entry);
    void apply_task_ended(const task_ended_entry& entry);
    void forget_oldest();

    std::size_t m_max_ended;
    std::string m_owner;
    std::uint64_t m_epoch = 0;
    std::set<std::string> m_workers;
    std::uint64_t m_workers_version = 0;
    std::map<std::string, job_record, std::less<>> m_jobs;
    std::deque<std::string> m_ended_order;
};

/// Summary of a job. For a job that has not ended, execution covers the ended tasks only.
[[nodiscard]] job_summary summarise(const job_record& job);

} // namespace buckthornspar::scheduling
