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
/// the snapshot key by compare-and-swap, then it deletes the parts that no snapshot names any more.
/// Pure: next_request() gives the next store call, on_response() takes its answer.
class snapshot_writer {
public:
    snapshot_writer(std::string prefix, std::string writer, common::counters& counters);

    /// Takes the snapshot key and the part keys of a full load. Returns the snapshot with its
    /// complete body. Throws common::format_error when it cannot be read or a part is missing.
    [[nodiscard]] log_snapshot take_load(const std::vector<kv_entry>& entries);

    /// Returns false, without effect, when a write or its clean-up is pending or as much is covered
    /// already.
    [[nodiscard]] bool begin(std::uint64_t covers, std::string body);

    /// Empty when nothing is to be done. The same request is given until it is answered.
    [[nodiscard]] std::optional<kv_request> next_request() const;

    enum class progress { working, written, superseded };
    /// unavailable and unknown are to be passed on too; the caller repeats after a pause. Ends with
    /// written or superseded exactly once for each begin().
    [[nodiscard]] progress on_response(const kv_response& response);

    [[nodiscard]] std::uint64_t covered() const { return m_covered; }
    [[nodiscard]] bool pending() const { return m_pending.has_value(); }
    [[nodiscard]] std::uint64_t pending_covers() const { return m_pending ? m_pending->covers : 0; }

private:
    enum class phase { idle, read_base, write_parts, write_key, read_back, find_stale, drop_stale };

    void start_from(std::uint64_t base_index);
    [[nodiscard]] progress on_base_read(const kv_response& response);
    void on_part_written(const kv_response& response);
    [[nodiscard]] progress on_key_written(const kv_response& response);
    [[nodiscard]] progress on_read_back(const kv_response& response);
    void on_stale(const kv_response& response);
    [[nodiscard]] progress finish(progress result);
    void learn_key(const kv_response& response);
    [[nodiscard]] bool is_own(const log_snapshot& snapshot) const;

    std::string m_prefix;
    std::string m_writer;
    common::metric& m_splits;
    common::metric& m_conflicts;
    common::metric& m_settled_lost;
    std::uint64_t m_covered = 0;
    /// Index of the snapshot key when it is known; the store does not return it after a write.
    std::optional<std::uint64_t> m_index;
    std::uint64_t m_next_sequence = 1;
    phase m_phase = phase::idle;
    std::optional<log_snapshot> m_pending;
    /// Index of the snapshot key before the first part was written. A change of the key makes the
    /// pending snapshot void, because its parts may have been deleted by the writer of the other.
    std::uint64_t m_base_index = 0;
    std::vector<std::string> m_part_bodies;
    std::size_t m_next_part = 0;
    bool m_lost_answer = false;
    /// Part keys that were seen and do not belong to the pending snapshot.
    std::vector<std::string> m_seen_parts;
    std::deque<std::string> m_stale;
    std::uint64_t m_stale_index = 0;
};

} // namespace buckthornspar::store
