#pragma once

#include "core/common/counters.h"
#include "core/store/kv_store.h"
#include "core/store/log_format.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::store {

/// Writes the snapshots of a sequenced log, one at a time: first the parts of a large body, then
/// the snapshot key by compare-and-swap. Finally it deletes the parts that no snapshot refers to.
/// Performs no I/O: next_request() returns the next store request, on_response() takes its
/// response.
class snapshot_writer {
public:
    snapshot_writer(std::string prefix, std::string writer, common::counters& counters);

    /// Processes the snapshot key and the part keys of a full load. Returns the snapshot with its
    /// complete body. Throws common::format_error if it is malformed or a part is missing.
    [[nodiscard]] log_snapshot apply_load(const std::vector<kv_entry>& entries);

    /// Starts to write a snapshot. Returns false, without effect, if a write or the deletion of
    /// stale parts is pending, or if a known snapshot includes as many records.
    [[nodiscard]] bool begin(std::uint64_t last_included, std::string body);

    /// Empty if there is nothing to do. Returns the same request until a response has been
    /// processed.
    [[nodiscard]] std::optional<kv_request> next_request() const;

    enum class progress { in_progress, written, superseded };
    /// Must also be called for unavailable and unknown; the caller then retries after a pause.
    /// Returns written or superseded exactly once for each begin().
    [[nodiscard]] progress on_response(const kv_response& response);

    [[nodiscard]] std::uint64_t covered() const { return m_covered; }
    [[nodiscard]] bool pending() const { return m_pending.has_value(); }
    [[nodiscard]] std::uint64_t pending_last_included() const {
        return m_pending ? m_pending->last_included : 0;
    }

private:
    enum class phase {
        idle,
        read_base,
        write_parts,
        write_key,
        read_back,
        read_stale_part,
        delete_stale_part
    };

    void start_writing(std::uint64_t base_index);
    [[nodiscard]] progress on_base_snapshot_read(const kv_response& response);
    void on_part_written(const kv_response& response);
    [[nodiscard]] progress on_key_written(const kv_response& response);
    [[nodiscard]] progress on_read_back(const kv_response& response);
    void on_stale_part(const kv_response& response);
    [[nodiscard]] progress finish(progress result);
    void update_snapshot_key_state(const kv_response& response);
    [[nodiscard]] bool is_pending_snapshot(const log_snapshot& snapshot) const;

    std::string m_prefix;
    std::string m_writer;
    common::metric& m_split_snapshots;
    common::metric& m_conflicts;
    common::metric& m_lost_answers_resolved;
    std::uint64_t m_covered = 0;
    /// Index of the snapshot key if it is known; the store does not return it after a write.
    std::optional<std::uint64_t> m_index;
    std::uint64_t m_next_sequence = 1;
    phase m_phase = phase::idle;
    std::optional<log_snapshot> m_pending;
    /// Index of the snapshot key before the first part was written. A change of the key invalidates
    /// the pending snapshot, because the other writer may have deleted its parts.
    std::uint64_t m_base_index = 0;
    std::vector<std::string> m_part_bodies;
    std::size_t m_next_part = 0;
    bool m_lost_answer = false;
    /// Part keys read from the store that do not belong to the pending snapshot.
    std::vector<std::string> m_seen_parts;
    std::deque<std::string> m_stale_parts;
    std::uint64_t m_stale_part_index = 0;
};

} // namespace buckthornspar::store
