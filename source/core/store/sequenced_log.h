#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/common/rng.h"
#include "core/store/kv_store.h"
#include "core/store/log_format.h"
#include "core/store/snapshot_writer.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornspar::store {

struct sequenced_log_options {
    std::string prefix;
    /// Identifies this writer. It must differ for each start of a process, because sequence numbers
    /// begin anew with each start.
    std::string writer;
    /// Size of the ring. All users of one prefix must use the same number.
    std::uint64_t slots = 64;
    common::duration retry_min = std::chrono::milliseconds(20);
    common::duration retry_max = std::chrono::seconds(1);
    common::duration watch_wait = std::chrono::seconds(5);
    std::uint64_t seed = 1;
};

/// A store call to execute. Pass the response to on_response() with the same id.
struct store_call {
    std::uint64_t id = 0;
    kv_request request;
};

/// The reader's state is to be replaced by the snapshot, which covers the records 1 .. covers.
struct snapshot_read {
    std::uint64_t covers = 0;
    std::string body;
};

/// The next record of the log, including those of this writer. Numbers are without gaps.
struct record_read {
    log_record record;
};

/// A full load has been delivered; head is the number of the newest record.
struct log_loaded {
    std::uint64_t head = 0;
};

enum class append_outcome {
    written,      ///< the record has this number
    conflict,     ///< another writer's record has this number; this one was not and is not written
    undetermined, ///< the ring has moved past the record; only the state of the reader can tell
};

/// End of an append. All records up to the number, or a snapshot that covers it, were delivered
/// before.
struct append_completed {
    append_outcome outcome = append_outcome::written;
    std::uint64_t number = 0;
    std::uint64_t sequence = 0;
};

/// End of write_snapshot(). Not written means that another writer's snapshot was there first.
struct snapshot_completed {
    bool written = false;
    std::uint64_t covers = 0;
};

using log_action = std::variant<store_call, snapshot_read, record_read, log_loaded,
                                append_completed, snapshot_completed>;

enum class append_start {
    started,
    not_loaded,
    busy,      ///< an append is pending
    ring_full, ///< the slot's record is not covered by a snapshot; write one first
};

/// Log of numbered records in a ring of slots of the key-value store; see docs/design.md 4.1.
/// Pure: it takes responses and the time, and returns actions from take_actions(). Failed calls are
/// repeated with jittered backoff until they succeed.
class sequenced_log {
public:
    /// Throws common::usage_error for options that cannot be used.
    sequenced_log(sequenced_log_options options, common::counters& counters);

    /// Reads the whole log with one prefix read. Ends with log_loaded. A second call while a load
    /// is pending has no effect.
    void load(common::time_point now);

    /// Writes the body as record head() + 1. Ends with append_completed unless withdrawn. Throws
    /// common::usage_error when the body is larger than max_log_value_bytes.
    [[nodiscard]] append_start append(common::time_point now, std::string body);

    /// Drops the pending append if it has certainly not been written and never will be. Returns
    /// false when there is none or when a write may still take effect.
    bool cancel_append();

    /// Writes the body as snapshot of the records 1 .. covers. Ends with snapshot_completed.
    /// Returns false, without effect, when the log is not loaded, a snapshot is being written or
    /// cleaned up, covers is above head(), or a snapshot that covers as much is known.
    [[nodiscard]] bool write_snapshot(common::time_point now, std::uint64_t covers,
                                      std::string body);

    /// Starts or stops waiting for records of other writers with a watch on the next slot.
    void follow(common::time_point now, bool on);

    void on_response(common::time_point now, std::uint64_t call, const kv_response& response);

    /// Starts the retries that are due.
    void on_time(common::time_point now);
    /// When on_time() has something to do; empty when only responses are awaited.
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;

    [[nodiscard]] std::vector<log_action> take_actions();

    [[nodiscard]] bool loaded() const { return m_loaded; }
    /// A load is in progress; its view of the store may be older than this call.
    [[nodiscard]] bool loading() const {
        return m_load_lane.call != 0 || m_load_lane.retry_at.has_value();
    }
    /// Number of the newest record that is known; 0 for an empty log.
    [[nodiscard]] std::uint64_t head() const { return m_head; }
    /// Records up to this number are covered by a snapshot in the store.
    [[nodiscard]] std::uint64_t covered() const { return m_snapshots.covered(); }
    /// Records that can be appended before a snapshot is needed. 0 also when the newest snapshot is
    /// another writer's and not known here; write_snapshot() then finds it.
    [[nodiscard]] std::uint64_t remaining_appends() const {
        const std::uint64_t last = m_snapshots.covered() + m_options.slots;
        return last > m_head ? last - m_head : 0;
    }
    [[nodiscard]] bool append_pending() const { return m_append.has_value(); }
    /// False when the store call that ended last was not answered.
    [[nodiscard]] bool store_available() const { return m_store_available; }

private:
    struct slot {
        /// False when the present index is not known, for example after a write of our own: the
        /// store does not return the new index.
        bool known = false;
        std::uint64_t index = 0;
        /// Number of the record in the slot; 0 when empty.
        std::uint64_t number = 0;
    };
    enum class call_kind { read, write };
    /// One sequence of calls of which at most one is in flight.
    struct lane {
        std::uint64_t call = 0;
        call_kind kind = call_kind::read;
        common::time_point sent_at;
        std::optional<common::time_point> retry_at;
        unsigned failures = 0;
    };
    struct pending_append {
        log_record record;
        /// A write of it may take effect at any time, or has taken effect.
        bool maybe_written = false;
    };

    void send(lane& l, call_kind kind, kv_request request);
    [[nodiscard]] lane* lane_of(std::uint64_t call);
    void end_call(common::time_point now, lane& l, const kv_response& response);
    void retry_later(common::time_point now, lane& l);
    [[nodiscard]] std::array<lane*, 5> lanes();

    void start_load();
    void step(lane& l);
    void step_load();
    void step_append();
    void step_watch();
    void step_refresh();
    void step_snapshot();

    void on_load(common::time_point now, const kv_response& response);
    void on_append_write(common::time_point now, const kv_response& response);
    void on_watch(common::time_point now, const kv_response& response);
    void on_snapshot(common::time_point now, const kv_response& response);

    [[nodiscard]] bool take_load(const std::vector<kv_entry>& entries);
    void take_slot(std::uint64_t position, const kv_response& response);
    [[nodiscard]] log_record learn_slot(std::uint64_t position, const kv_entry* entry);
    void deliver(const log_record& record);
    void settle_append(append_outcome outcome);
    void settle_with(const log_record& found);
    void settle_skipped_append(const std::vector<log_record>& records);
    [[nodiscard]] std::uint64_t position_of(std::uint64_t number) const {
        return number % m_options.slots;
    }
    [[nodiscard]] kv_request slot_request(kv_operation operation, std::uint64_t position) const;

    sequenced_log_options m_options;
    common::metric& m_conflicts;
    common::metric& m_settled_lost;
    common::metric& m_unreadable;
    common::rng m_rng;
    std::vector<slot> m_slots;
    snapshot_writer m_snapshots;
    std::uint64_t m_head = 0;
    std::uint64_t m_next_call = 1;
    std::uint64_t m_next_sequence = 1;
    bool m_loaded = false;
    bool m_following = false;
    bool m_store_available = true;
    /// Time of the last event, at which calls are sent.
    common::time_point m_now;
    lane m_load_lane;
    lane m_append_lane;
    lane m_watch_lane;
    lane m_refresh_lane;
    lane m_snapshot_lane;
    std::uint64_t m_watch_position = 0;
    std::uint64_t m_watch_index = 0;
    std::uint64_t m_refresh_position = 0;
    std::optional<pending_append> m_append;
    std::vector<log_action> m_actions;
};

} // namespace buckthornspar::store
