#pragma once

#include "core/scheduling/job_table.h"
#include "core/store/sequenced_log.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

struct journal_settings {
    store::sequenced_log_options log;
    /// Average interval between writes; see flush_interval().
    common::duration flush_interval = std::chrono::milliseconds(10);
    std::size_t max_ended_jobs = 4000;
};

/// The larger of 10 ms and schedulers / (0.1 x store writes per second), so that all schedulers
/// together use at most a tenth of the store's write rate.
[[nodiscard]] common::duration flush_interval(std::size_t schedulers,
                                              std::size_t store_writes_per_second);

/// The whole log has been read.
struct journal_loaded {};

/// The entry with this tag, added by this journal, is in the log and in the table.
struct entry_written {
    std::uint64_t tag = 0;
    std::uint64_t number = 0;
};

/// Another writer has written a record. Waiting entries are dropped. The entries of the pending
/// append (tags) were not written because the other record took their number; if undetermined is
/// set, only the table shows whether they were written.
struct append_conflict {
    std::vector<std::uint64_t> tags;
    bool undetermined = false;
};

using journal_event =
    std::variant<store::store_call, journal_loaded, entry_written, append_conflict>;

/// Reads and writes the shard's log as entries: batches new entries into records, writes snapshots
/// and maintains the table that results from the records. Performs no I/O, like sequenced_log.
class journal {
public:
    journal(journal_settings settings, common::counters& counters);

    void load(common::time_point now);
    /// Looks for a record of another writer after the newest known one.
    void check_next(common::time_point now) { m_log.check_next(now); }
    /// The newest time at which the log certainly held no record of another writer after the newest
    /// known one.
    [[nodiscard]] common::time_point unchanged_at() const { return m_log.unchanged_at(); }
    /// Queues an entry for the next record and returns its tag.
    std::uint64_t add(const journal_entry& entry);
    /// Removes an entry if it is certain that it is not and will not be written.
    [[nodiscard]] bool withdraw(std::uint64_t tag);
    /// Drops all pending entries. Returns the tags of those whose write may still take effect.
    std::vector<std::uint64_t> discard_pending();

    void on_response(common::time_point now, std::uint64_t call,
                     const store::kv_response& response);
    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;
    [[nodiscard]] std::vector<journal_event> take_events(common::time_point now);

    [[nodiscard]] const job_table& table() const { return m_table; }
    [[nodiscard]] std::size_t waiting() const { return m_waiting.size() + m_in_flight.size(); }
    [[nodiscard]] bool idle() const { return waiting() == 0; }
    [[nodiscard]] bool store_available() const { return m_log.store_available(); }

private:
    struct tagged_entry {
        std::uint64_t tag = 0;
        std::string encoded;
    };

    [[nodiscard]] common::time_point next_flush() const;
    void flush(common::time_point now);
    void write_snapshot_if_due(common::time_point now);
    void on_log_action(const store::log_action& action, std::vector<journal_event>& events);
    void apply_record(const store::log_record& record, std::vector<journal_event>& events);
    void discard_waiting(std::vector<journal_event>& events);
    void on_append_settled(const store::append_completed& settled,
                           std::vector<journal_event>& events);

    journal_settings m_settings;
    common::metric& m_unreadable;
    common::metric& m_records;
    store::sequenced_log m_log;
    job_table m_table;
    std::deque<tagged_entry> m_waiting;
    /// Entries of the pending append.
    std::vector<tagged_entry> m_in_flight;
    std::uint64_t m_next_tag = 1;
    bool m_snapshot_pending = false;
    /// Number of the newest record applied to the table. The head of the log is ahead of it until
    /// the log's actions are processed.
    std::uint64_t m_applied = 0;
    common::time_point m_last_flush;
    common::time_point m_paced_until;
};

} // namespace buckthornspar::scheduling
