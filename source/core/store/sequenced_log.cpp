#include "core/store/sequenced_log.h"

#include "core/common/error.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornspar::store {

namespace {

constexpr unsigned max_backoff_doublings = 16;

bool is_answered(const kv_response& response) {
    return response.status != kv_status::unavailable && response.status != kv_status::unknown;
}

const kv_entry* first_entry(const kv_response& response) {
    return response.status == kv_status::ok && !response.entries.empty() ? &response.entries.front()
                                                                         : nullptr;
}

} // namespace

sequenced_log::sequenced_log(sequenced_log_options options, common::counters& counters)
    : m_options(std::move(options)),
      m_conflicts(counters.get("store_cas_conflicts_total")),
      m_lost_answers_resolved(counters.get("store_lost_answers_settled_total")),
      m_unreadable(counters.get("store_log_unreadable_total")),
      m_rng(m_options.seed),
      m_slots(m_options.slots),
      m_snapshots(m_options.prefix, m_options.writer, counters) {
    check_writer_id(m_options.writer);
    if (m_options.prefix.empty() || m_options.slots < 2) {
        throw common::usage_error("a sequenced log requires a prefix and at least 2 slots");
    }
}

// Calls and retries.

std::array<sequenced_log::call_channel*, 5> sequenced_log::channels() {
    return {&m_load_channel, &m_append_channel, &m_watch_channel, &m_refresh_channel,
            &m_snapshot_channel};
}

void sequenced_log::send(call_channel& channel, call_kind kind, kv_request request) {
    channel.call = m_next_call++;
    channel.kind = kind;
    channel.sent_at = m_now;
    channel.retry_at.reset();
    m_actions.emplace_back(store_call{channel.call, std::move(request)});
}

sequenced_log::call_channel* sequenced_log::find_channel(std::uint64_t call) {
    for (call_channel* const channel : channels()) {
        if (call != 0 && channel->call == call) {
            return channel;
        }
    }
    return nullptr;
}

void sequenced_log::end_call(common::time_point now, call_channel& channel,
                             const kv_response& response) {
    channel.call = 0;
    m_store_available = is_answered(response);
    if (!m_store_available) {
        schedule_retry(now, channel);
    }
}

void sequenced_log::schedule_retry(common::time_point now, call_channel& channel) {
    const unsigned doublings = std::min(channel.failures, max_backoff_doublings);
    ++channel.failures;
    const common::duration longest =
        std::min(m_options.retry_max, m_options.retry_min * (1U << doublings));
    const auto jitter = static_cast<std::int64_t>(static_cast<double>(longest.count()) *
                                                  (0.5 + 0.5 * m_rng.unit()));
    // The backoff counts from the time of sending, so a call that timed out is retried immediately;
    // a further pause would only delay the next update.
    channel.retry_at = std::max(now, channel.sent_at + common::duration(jitter));
}

void sequenced_log::advance_channel(call_channel& channel) {
    if (&channel == &m_load_channel) {
        advance_load();
    } else if (&channel == &m_append_channel) {
        advance_append();
    } else if (&channel == &m_watch_channel) {
        advance_watch();
    } else if (&channel == &m_refresh_channel) {
        advance_refresh();
    } else {
        advance_snapshot();
    }
}

void sequenced_log::on_time(common::time_point now) {
    m_now = now;
    for (call_channel* const channel : channels()) {
        if (channel->retry_at && *channel->retry_at <= now) {
            channel->retry_at.reset();
            advance_channel(*channel);
        }
    }
}

std::optional<common::time_point> sequenced_log::next_wakeup() const {
    std::optional<common::time_point> earliest;
    for (const call_channel* const channel : {&m_load_channel, &m_append_channel, &m_watch_channel,
                                              &m_refresh_channel, &m_snapshot_channel}) {
        if (channel->retry_at && (!earliest || *channel->retry_at < *earliest)) {
            earliest = channel->retry_at;
        }
    }
    return earliest;
}

std::vector<log_action> sequenced_log::take_actions() {
    return std::exchange(m_actions, {});
}

void sequenced_log::on_response(common::time_point now, std::uint64_t call,
                                const kv_response& response) {
    m_now = now;
    call_channel* const channel = find_channel(call);
    if (channel == nullptr) {
        return;
    }
    end_call(now, *channel, response);
    if (channel == &m_load_channel) {
        on_load(now, response);
    } else if (channel == &m_append_channel && channel->kind == call_kind::write) {
        on_append_write(now, response);
    } else if (channel == &m_append_channel && is_answered(response)) {
        if (m_append && m_append->maybe_written) {
            m_lost_answers_resolved.add();
        }
        apply_slot(position_of(m_append ? m_append->record.number : m_head + 1), response);
        advance_append();
    } else if (channel == &m_watch_channel) {
        on_watch(now, response);
    } else if (channel == &m_refresh_channel && is_answered(response)) {
        on_refresh(response);
    } else if (channel == &m_snapshot_channel) {
        on_snapshot(now, response);
    }
    // A malformed response counts as a failure too, so that its retries back off.
    if (!channel->retry_at) {
        channel->failures = 0;
    }
}

kv_request sequenced_log::slot_request(kv_operation operation, std::uint64_t position) const {
    kv_request request;
    request.operation = operation;
    request.key = slot_key(m_options.prefix, position);
    return request;
}

// Load.

void sequenced_log::load(common::time_point now) {
    m_now = now;
    start_load();
}

void sequenced_log::start_load() {
    if (m_load_channel.call == 0 && !m_load_channel.retry_at) {
        advance_load();
    }
}

void sequenced_log::advance_load() {
    kv_request request;
    request.operation = kv_operation::list;
    request.key = m_options.prefix + "/";
    send(m_load_channel, call_kind::read, std::move(request));
}

void sequenced_log::on_load(common::time_point now, const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    bool complete = false;
    try {
        complete = apply_load(response.entries);
    } catch (const common::format_error&) {
        complete = false;
    }
    if (!complete) {
        m_unreadable.add();
        schedule_retry(now, m_load_channel);
        return;
    }
    m_loaded = true;
    m_actions.emplace_back(log_loaded{m_head});
    advance_append();
    advance_watch();
    advance_refresh();
}

bool sequenced_log::apply_load(const std::vector<kv_entry>& entries) {
    log_snapshot snapshot = m_snapshots.apply_load(entries);
    std::vector<log_record> records;
    for (std::uint64_t position = 0; position < m_options.slots; ++position) {
        const std::string key = slot_key(m_options.prefix, position);
        const auto entry = std::find_if(entries.begin(), entries.end(),
                                        [&](const kv_entry& e) { return e.key == key; });
        log_record record = update_slot(position, entry == entries.end() ? nullptr : &*entry);
        if (record.number != 0) {
            records.push_back(std::move(record));
        }
    }
    std::sort(records.begin(), records.end(),
              [](const log_record& a, const log_record& b) { return a.number < b.number; });
    // A gap means that the list request was not an atomic read; none of its records are delivered.
    std::uint64_t expected = std::max(m_head, snapshot.last_included) + 1;
    for (const auto& record : records) {
        if (record.number > expected) {
            return false;
        }
        expected += record.number == expected ? 1 : 0;
    }
    if (snapshot.last_included > m_head) {
        m_head = snapshot.last_included;
        m_actions.emplace_back(snapshot_read{snapshot.last_included, std::move(snapshot.body)});
        complete_skipped_append(records);
    }
    for (const auto& record : records) {
        if (record.number == m_head + 1) {
            deliver(record);
        }
    }
    return true;
}

// Slots and records.

/// Updates the index and number of a slot from a read entry. An index below the known one comes
/// from an older read whose response arrived late, and is ignored. Returns the record, with number
/// 0 if the slot is empty.
log_record sequenced_log::update_slot(std::uint64_t position, const kv_entry* entry) {
    slot& s = m_slots[position];
    if (entry == nullptr) {
        if (s.index == 0) {
            s.known = true;
        }
        return {};
    }
    log_record record = decode_record(entry->value);
    if (entry->modify_index >= s.index) {
        s = {true, entry->modify_index, record.number};
    }
    return record;
}

void sequenced_log::apply_slot(std::uint64_t position, const kv_response& response) {
    try {
        const log_record record = update_slot(position, first_entry(response));
        if (record.number == m_head + 1) {
            deliver(record);
        } else if (record.number > m_head + 1) {
            // The ring has wrapped around past record m_head + 1, so the records in between exist
            // only in a snapshot.
            start_load();
        }
    } catch (const common::format_error&) {
        m_unreadable.add();
        start_load();
    }
}

void sequenced_log::deliver(const log_record& record) {
    m_head = record.number;
    m_actions.emplace_back(record_read{record});
    if (m_append && m_append->record.number == record.number) {
        complete_append_with(record);
    }
}

// Append.

append_start sequenced_log::append(common::time_point now, std::string body) {
    m_now = now;
    if (body.size() > max_log_value_bytes) {
        throw common::usage_error("record of " + std::to_string(body.size()) +
                                  " bytes exceeds the maximum size of a log value");
    }
    if (!m_loaded) {
        return append_start::not_loaded;
    }
    if (m_append) {
        return append_start::busy;
    }
    if (remaining_appends() == 0) {
        return append_start::ring_full;
    }
    m_append = pending_append{{m_head + 1, m_options.writer, m_next_sequence++, std::move(body)}};
    advance_append();
    return append_start::started;
}

void sequenced_log::advance_append() {
    if (!m_append || m_append_channel.call != 0 || m_append_channel.retry_at) {
        return;
    }
    const std::uint64_t position = position_of(m_append->record.number);
    const slot& s = m_slots[position];
    if (s.number >= m_append->record.number) {
        // The slot holds this record number or a later one. The load determines the outcome of the
        // append.
        start_load();
        return;
    }
    if (!s.known) {
        send(m_append_channel, call_kind::read, slot_request(kv_operation::get, position));
        return;
    }
    kv_request request = slot_request(kv_operation::put_if, position);
    request.value = encode_record(m_append->record);
    request.expected_index = s.index;
    send(m_append_channel, call_kind::write, std::move(request));
}

void sequenced_log::on_append_write(common::time_point /*now*/, const kv_response& response) {
    if (!m_append) {
        return;
    }
    slot& s = m_slots[position_of(m_append->record.number)];
    switch (response.status) {
    case kv_status::ok:
        s.known = false;
        s.number = m_append->record.number;
        m_unchanged_at = std::max(m_unchanged_at, m_append_channel.sent_at);
        deliver(m_append->record);
        advance_refresh();
        return;
    case kv_status::unavailable:
        return;
    case kv_status::unknown:
        m_append->maybe_written = true;
        break;
    case kv_status::conflict:
    case kv_status::not_found:
        m_conflicts.add();
        break;
    }
    s.known = false;
    advance_append();
}

void sequenced_log::complete_append_with(const log_record& found) {
    const bool is_own_record =
        found.writer == m_append->record.writer && found.sequence == m_append->record.sequence;
    complete_append(is_own_record ? append_outcome::written : append_outcome::conflict);
}

void sequenced_log::complete_append(append_outcome outcome) {
    m_actions.emplace_back(
        append_completed{outcome, m_append->record.number, m_append->record.sequence});
    m_append.reset();
    m_append_channel = {};
}

/// Completes the pending append after a snapshot has moved the head past it. The record may still
/// be in its slot.
void sequenced_log::complete_skipped_append(const std::vector<log_record>& records) {
    if (!m_append || m_append->record.number > m_head) {
        return;
    }
    for (const auto& record : records) {
        if (record.number == m_append->record.number) {
            complete_append_with(record);
            return;
        }
    }
    const bool in_flight = m_append_channel.call != 0 && m_append_channel.kind == call_kind::write;
    complete_append(m_append->maybe_written || in_flight ? append_outcome::undetermined
                                                         : append_outcome::conflict);
}

bool sequenced_log::cancel_append() {
    const bool in_flight = m_append_channel.call != 0 && m_append_channel.kind == call_kind::write;
    if (!m_append || m_append->maybe_written || in_flight) {
        return false;
    }
    m_append.reset();
    m_append_channel = {};
    return true;
}

/// Reads the index of the next slot in advance, so that an append does not have to wait for that
/// read once the ring has wrapped around.
void sequenced_log::advance_refresh() {
    if (!m_slots[position_of(m_head + 1)].known) {
        read_next_slot();
    }
}

void sequenced_log::check_next(common::time_point now) {
    m_now = now;
    if (!m_refresh_channel.retry_at) {
        read_next_slot();
    }
}

void sequenced_log::read_next_slot() {
    if (!m_loaded || m_append || m_refresh_channel.call != 0) {
        return;
    }
    m_refresh_position = position_of(m_head + 1);
    send(m_refresh_channel, call_kind::read, slot_request(kv_operation::get, m_refresh_position));
}

void sequenced_log::on_refresh(const kv_response& response) {
    const std::uint64_t head = m_head;
    const bool is_next = m_refresh_position == position_of(head + 1);
    apply_slot(m_refresh_position, response);
    if (is_next && m_head == head && !loading()) {
        m_unchanged_at = std::max(m_unchanged_at, m_refresh_channel.sent_at);
    }
}

// Watch.

void sequenced_log::follow(common::time_point now, bool on) {
    m_now = now;
    m_following = on;
    if (!on) {
        m_watch_channel = {};
        return;
    }
    advance_watch();
}

void sequenced_log::advance_watch() {
    if (!m_following || !m_loaded || m_watch_channel.call != 0 || m_watch_channel.retry_at) {
        return;
    }
    const std::uint64_t position = position_of(m_head + 1);
    const slot& s = m_slots[position];
    if (position != m_watch_position || m_watch_index < s.index) {
        m_watch_index = s.known ? s.index : 0;
    }
    m_watch_position = position;
    kv_request request = slot_request(kv_operation::watch, position);
    request.known_index = m_watch_index;
    request.max_wait = m_options.watch_wait;
    send(m_watch_channel, call_kind::read, std::move(request));
}

void sequenced_log::on_watch(common::time_point now, const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    if (response.index == 0) {
        // Without an index the next watch would return immediately; the pause limits the call rate.
        m_watch_channel.retry_at = now + m_options.retry_max;
    }
    m_watch_index = response.index;
    apply_slot(m_watch_position, response);
    advance_watch();
}

// Snapshot.

bool sequenced_log::write_snapshot(common::time_point now, std::uint64_t last_included,
                                   std::string body) {
    m_now = now;
    if (!m_loaded || last_included > m_head || !m_snapshots.begin(last_included, std::move(body))) {
        return false;
    }
    advance_snapshot();
    return true;
}

void sequenced_log::advance_snapshot() {
    if (m_snapshot_channel.call != 0 || m_snapshot_channel.retry_at) {
        return;
    }
    auto request = m_snapshots.next_request();
    if (!request) {
        return;
    }
    const bool writes = request->operation != kv_operation::get;
    send(m_snapshot_channel, writes ? call_kind::write : call_kind::read, std::move(*request));
}

void sequenced_log::on_snapshot(common::time_point now, const kv_response& response) {
    const std::uint64_t last_included = m_snapshots.pending_last_included();
    auto result = snapshot_writer::progress::in_progress;
    try {
        result = m_snapshots.on_response(response);
    } catch (const common::format_error&) {
        m_unreadable.add();
        schedule_retry(now, m_snapshot_channel);
    }
    if (result != snapshot_writer::progress::in_progress) {
        m_actions.emplace_back(
            snapshot_completed{result == snapshot_writer::progress::written, last_included});
    }
    advance_snapshot();
}

} // namespace buckthornspar::store
