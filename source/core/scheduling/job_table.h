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

/// What the log says about one task.
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

/// State of the whole job in the words of the answer to the caller.
struct job_summary {
    std::string_view state;
    execution_status execution = execution_status::not_run;
};

/// The durable state of a shard: the result of its log's records, in order. It changes only by
/// apply(), so that every reader of the log arrives at the same table.
class job_table {
public:
    /// max_ended bounds the ended jobs that are kept; the oldest are forgotten first. It must be
    /// the same for all readers of a log.
    explicit job_table(std::size_t max_ended) : m_max_ended(max_ended) {}

    /// number is that of the record that holds the entry. Entries about unknown jobs are ignored.
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

/// Summary of an ended job; of a job that has not ended only the answer so far.
[[nodiscard]] job_summary summarise(const job_record& job);

} // namespace buckthornspar::scheduling
