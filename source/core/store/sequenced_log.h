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
    /// Identifies this writer. Must be unique for each start of a process, because sequence numbers
    /// restart at 1.
    std::string writer;
    /// Number of slots in the ring. Must be the same for all users of a prefix.
    std::uint64_t slots = 64;
    common::duration retry_min = std::chrono::milliseconds(20);
    common::duration retry_max = std::chrono::seconds(1);
    common::duration watch_wait = std::chrono::seconds(5);
    std::uint64_t seed = 1;
};

/// A store request to execute; its response is passed to on_response() with the same id.
struct store_call {
    std::uint64_t id = 0;
    kv_request request;
};

/// The reader must replace its state by the snapshot, which includes the records 1 to
/// last_included.
struct snapshot_read {
    std::uint64_t last_included = 0;
    std::string body;
};

/// The next record of the log, whether written by this or another writer. Numbers are contiguous.
struct record_read {
    log_record record;
};

/// A full load has completed; head is the number of the newest record.
struct log_loaded {
    std::uint64_t head = 0;
};

enum class append_outcome {
    written,      ///< the record has this number
    conflict,     ///< another writer took this number; this record was not and will not be written
    undetermined, ///< the slot has been reused; only the state of the reader shows the outcome
};

/// Result of append(). All records up to the number, or a snapshot that includes it, have been
/// delivered before.
struct append_completed {
    append_outcome outcome = append_outcome::written;
    std::uint64_t number = 0;
    std::uint64_t sequence = 0;
};

/// Result of write_snapshot(). written is false if another writer replaced the snapshot first.
struct snapshot_completed {
    bool written = false;
    std::uint64_t last_included = 0;
};

using log_action = std::variant<store_call, snapshot_read, record_read, log_loaded,
                                append_completed, snapshot_completed>;

enum class append_start {
    started,
    not_loaded,
    busy,      ///< another append is pending
    ring_full, ///< no snapshot includes the record in the slot; write a snapshot first
};

/// Log of numbered records in a ring of slots in the key-value store; see docs/design.md 4.1.
/// Performs no I/O: it receives responses and the time, and returns actions from take_actions().
/// Failed calls are retried with jittered exponential backoff until they succeed.
class sequenced_log {
public:
    /// Throws common::usage_error for invalid options.
    sequenced_log(sequenced_log_options options, common::counters& counters);

    /// Reads the whole log with one list request and ends with log_loaded. Has no effect while a
    /// load is pending.
    void load(common::time_point now);

    /// Writes the body as record head() + 1. Ends with append_completed unless cancelled. Throws
    /// common::usage_error if the body is larger than max_log_value_bytes.
    [[nodiscard]] append_start append(common::time_point now, std::string body);

    /// Cancels the pending append if it has certainly not been written and never will be. Returns
    /// false if no append is pending or its write may still take effect.
    bool cancel_append();

    /// Writes the body as a snapshot of the records 1 to last_included. Ends with
    /// snapshot_completed. Returns false, without effect, if the log is not loaded, a snapshot is
    /// being written or its stale parts are being deleted, last_included is above head(), or a
    /// known snapshot includes as many records.
    [[nodiscard]] bool write_snapshot(common::time_point now, std::uint64_t last_included,
                                      std::string body);

    /// Reads the slot of the next record once, to find a record of another writer. Has no effect
    /// while an append or another read of the slot is pending.
    void check_next(common::time_point now);

    /// Starts or stops following other writers by a watch on the next slot.
    void follow(common::time_point now, bool on);

    void on_response(common::time_point now, std::uint64_t call, const kv_response& response);

    /// Starts the retries that are due.
    void on_time(common::time_point now);
    /// Time at which on_time() must be called next; empty if only responses are awaited.
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;

    [[nodiscard]] std::vector<log_action> take_actions();

    [[nodiscard]] bool loaded() const { return m_loaded; }
    /// True while a load is in progress; the data it reads may be older than this call.
    [[nodiscard]] bool loading() const {
        return m_load_channel.call != 0 || m_load_channel.retry_at.has_value();
    }
    /// Number of the newest known record; 0 for an empty log.
    [[nodiscard]] std::uint64_t head() const { return m_head; }
    /// Number of the newest record that is included in a known snapshot in the store.
    [[nodiscard]] std::uint64_t covered() const { return m_snapshots.covered(); }
    /// Number of records that can be appended before a snapshot is needed. Also 0 if another
    /// writer's newest snapshot is not known yet; write_snapshot() then discovers it.
    [[nodiscard]] std::uint64_t remaining_appends() const {
        const std::uint64_t last = m_snapshots.covered() + m_options.slots;
        return last > m_head ? last - m_head : 0;
    }
    /// No record of another writer was in the slot of the next record at this time: the send time
    /// of the newest read or own append that showed it.
    [[nodiscard]] common::time_point unchanged_at() const { return m_unchanged_at; }
    [[nodiscard]] bool append_pending() const { return m_append.has_value(); }
    /// False if the most recently completed store call failed.
    [[nodiscard]] bool store_available() const { return m_store_available; }

private:
    struct slot {
        /// False if the current index is not known, for example after a write by this writer: the
        /// store does not return the new index.
        bool known = false;
        std::uint64_t index = 0;
        /// Number of the record in the slot; 0 if the slot is empty.
        std::uint64_t number = 0;
    };
    enum class call_kind { read, write };
    /// A sequence of store calls, at most one of which is in flight.
    struct call_channel {
        std::uint64_t call = 0;
        call_kind kind = call_kind::read;
        common::time_point sent_at;
        std::optional<common::time_point> retry_at;
        unsigned failures = 0;
    };
    struct pending_append {
        log_record record;
        /// True once a write of the record may have taken effect or may still take effect.
        bool maybe_written = false;
    };

    void send(call_channel& channel, call_kind kind, kv_request request);
    [[nodiscard]] call_channel* find_channel(std::uint64_t call);
    void end_call(common::time_point now, call_channel& channel, const kv_response& response);
    void schedule_retry(common::time_point now, call_channel& channel);
    [[nodiscard]] std::array<call_channel*, 5> channels();

    void start_load();
    void advance_channel(call_channel& channel);
    void advance_load();
    void advance_append();
    void advance_watch();
    void advance_refresh();
    void read_next_slot();
    void on_refresh(const kv_response& response);
    void advance_snapshot();

    void on_load(common::time_point now, const kv_response& response);
    void on_append_write(common::time_point now, const kv_response& response);
    void on_watch(common::time_point now, const kv_response& response);
    void on_snapshot(common::time_point now, const kv_response& response);

    [[nodiscard]] bool apply_load(const std::vector<kv_entry>& entries);
    void apply_slot(std::uint64_t position, const kv_response& response);
    [[nodiscard]] log_record update_slot(std::uint64_t position, const kv_entry* entry);
    void deliver(const log_record& record);
    void complete_append(append_outcome outcome);
    void complete_append_with(const log_record& found);
    void complete_skipped_append(const std::vector<log_record>& records);
    [[nodiscard]] std::uint64_t position_of(std::uint64_t number) const {
        return number % m_options.slots;
    }
    [[nodiscard]] kv_request slot_request(kv_operation operation, std::uint64_t position) const;

    sequenced_log_options m_options;
    common::metric& m_conflicts;
    common::metric& m_lost_answers_resolved;
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
    /// Time of the event being handled; used as send time of the calls that it triggers.
    common::time_point m_now;
    call_channel m_load_channel;
    call_channel m_append_channel;
    call_channel m_watch_channel;
    call_channel m_refresh_channel;
    call_channel m_snapshot_channel;
    std::uint64_t m_watch_position = 0;
    std::uint64_t m_watch_index = 0;
    std::uint64_t m_refresh_position = 0;
    common::time_point m_unchanged_at;
    std::optional<pending_append> m_append;
    std::vector<log_action> m_actions;
};

} // namespace buckthornspar::store
