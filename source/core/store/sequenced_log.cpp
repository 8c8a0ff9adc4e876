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
      m_settled_lost(counters.get("store_lost_answers_settled_total")),
      m_unreadable(counters.get("store_log_unreadable_total")),
      m_rng(m_options.seed),
      m_slots(m_options.slots),
      m_snapshots(m_options.prefix, m_options.writer, counters) {
    check_writer_id(m_options.writer);
    if (m_options.prefix.empty() || m_options.slots < 2) {
        throw common::usage_error("a log needs a prefix and at least 2 slots");
    }
}

// Calls and retries.

std::array<sequenced_log::lane*, 5> sequenced_log::lanes() {
    return {&m_load_lane, &m_append_lane, &m_watch_lane, &m_refresh_lane, &m_snapshot_lane};
}

void sequenced_log::send(lane& l, call_kind kind, kv_request request) {
    l.call = m_next_call++;
    l.kind = kind;
    l.sent_at = m_now;
    l.retry_at.reset();
    m_actions.emplace_back(store_call{l.call, std::move(request)});
}

sequenced_log::lane* sequenced_log::lane_of(std::uint64_t call) {
    for (lane* const l : lanes()) {
        if (call != 0 && l->call == call) {
            return l;
        }
    }
    return nullptr;
}

void sequenced_log::end_call(common::time_point now, lane& l, const kv_response& response) {
    l.call = 0;
    m_store_available = is_answered(response);
    if (!m_store_available) {
        retry_later(now, l);
    }
}

void sequenced_log::retry_later(common::time_point now, lane& l) {
    const unsigned doublings = std::min(l.failures, max_backoff_doublings);
    ++l.failures;
    const common::duration longest =
        std::min(m_options.retry_max, m_options.retry_min * (1U << doublings));
    const auto jitter = static_cast<std::int64_t>(static_cast<double>(longest.count()) *
                                                  (0.5 + 0.5 * m_rng.unit()));
    // A call that timed out has waited long enough; a pause on top of it would only delay the news.
    l.retry_at = std::max(now, l.sent_at + common::duration(jitter));
}

void sequenced_log::step(lane& l) {
    if (&l == &m_load_lane) {
        step_load();
    } else if (&l == &m_append_lane) {
        step_append();
    } else if (&l == &m_watch_lane) {
        step_watch();
    } else if (&l == &m_refresh_lane) {
        step_refresh();
    } else {
        step_snapshot();
    }
}

void sequenced_log::on_time(common::time_point now) {
    m_now = now;
    for (lane* const l : lanes()) {
        if (l->retry_at && *l->retry_at <= now) {
            l->retry_at.reset();
            step(*l);
        }
    }
}

std::optional<common::time_point> sequenced_log::next_wakeup() const {
    std::optional<common::time_point> earliest;
    for (const lane* const l :
         {&m_load_lane, &m_append_lane, &m_watch_lane, &m_refresh_lane, &m_snapshot_lane}) {
        if (l->retry_at && (!earliest || *l->retry_at < *earliest)) {
            earliest = l->retry_at;
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
    lane* const l = lane_of(call);
    if (l == nullptr) {
        return;
    }
    end_call(now, *l, response);
    if (l == &m_load_lane) {
        on_load(now, response);
    } else if (l == &m_append_lane && l->kind == call_kind::write) {
        on_append_write(now, response);
    } else if (l == &m_append_lane && is_answered(response)) {
        if (m_append && m_append->maybe_written) {
            m_settled_lost.add();
        }
        take_slot(position_of(m_append ? m_append->record.number : m_head + 1), response);
        step_append();
    } else if (l == &m_watch_lane) {
        on_watch(now, response);
    } else if (l == &m_refresh_lane && is_answered(response)) {
        take_slot(m_refresh_position, response);
    } else if (l == &m_snapshot_lane) {
        on_snapshot(now, response);
    }
    // An answer that cannot be read counts as a failure, so its repetitions slow down too.
    if (!l->retry_at) {
        l->failures = 0;
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
    if (m_load_lane.call == 0 && !m_load_lane.retry_at) {
        step_load();
    }
}

void sequenced_log::step_load() {
    kv_request request;
    request.operation = kv_operation::list;
    request.key = m_options.prefix + "/";
    send(m_load_lane, call_kind::read, std::move(request));
}

void sequenced_log::on_load(common::time_point now, const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    bool complete = false;
    try {
        complete = take_load(response.entries);
    } catch (const common::format_error&) {
        complete = false;
    }
    if (!complete) {
        m_unreadable.add();
        retry_later(now, m_load_lane);
        return;
    }
    m_loaded = true;
    m_actions.emplace_back(log_loaded{m_head});
    step_append();
    step_watch();
    step_refresh();
}

bool sequenced_log::take_load(const std::vector<kv_entry>& entries) {
    log_snapshot snapshot = m_snapshots.take_load(entries);
    std::vector<log_record> records;
    for (std::uint64_t position = 0; position < m_options.slots; ++position) {
        const std::string key = slot_key(m_options.prefix, position);
        const auto entry = std::find_if(entries.begin(), entries.end(),
                                        [&](const kv_entry& e) { return e.key == key; });
        log_record record = learn_slot(position, entry == entries.end() ? nullptr : &*entry);
        if (record.number != 0) {
            records.push_back(std::move(record));
        }
    }
    std::sort(records.begin(), records.end(),
              [](const log_record& a, const log_record& b) { return a.number < b.number; });
    // A gap means that the read was not one atomic view; nothing of it is delivered.
    std::uint64_t expected = std::max(m_head, snapshot.covers) + 1;
    for (const auto& record : records) {
        if (record.number > expected) {
            return false;
        }
        expected += record.number == expected ? 1 : 0;
    }
    if (snapshot.covers > m_head) {
        m_head = snapshot.covers;
        m_actions.emplace_back(snapshot_read{snapshot.covers, std::move(snapshot.body)});
        settle_skipped_append(records);
    }
    for (const auto& record : records) {
        if (record.number == m_head + 1) {
            deliver(record);
        }
    }
    return true;
}

// Slots and records.

/// Notes index and number of a slot as they were read. An index below the known one is an older
/// view that arrived late. Returns the record, with number 0 when the slot is empty.
log_record sequenced_log::learn_slot(std::uint64_t position, const kv_entry* entry) {
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

void sequenced_log::take_slot(std::uint64_t position, const kv_response& response) {
    try {
        const log_record record = learn_slot(position, first_entry(response));
        if (record.number == m_head + 1) {
            deliver(record);
        } else if (record.number > m_head + 1) {
            // The ring has moved on by more than one turn, so the records between are only in a
            // snapshot.
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
        settle_with(record);
    }
}

// Append.

append_start sequenced_log::append(common::time_point now, std::string body) {
    m_now = now;
    if (body.size() > max_log_value_bytes) {
        throw common::usage_error("record of " + std::to_string(body.size()) +
                                  " bytes is larger than a log value may be");
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
    step_append();
    return append_start::started;
}

void sequenced_log::step_append() {
    if (!m_append || m_append_lane.call != 0 || m_append_lane.retry_at) {
        return;
    }
    const std::uint64_t position = position_of(m_append->record.number);
    const slot& s = m_slots[position];
    if (s.number >= m_append->record.number) {
        // The slot has moved on past this record. The load that this started settles the append.
        start_load();
        return;
    }
    if (!s.known) {
        send(m_append_lane, call_kind::read, slot_request(kv_operation::get, position));
        return;
    }
    kv_request request = slot_request(kv_operation::put_if, position);
    request.value = encode_record(m_append->record);
    request.expected_index = s.index;
    send(m_append_lane, call_kind::write, std::move(request));
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
        deliver(m_append->record);
        step_refresh();
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
    step_append();
}

void sequenced_log::settle_with(const log_record& found) {
    const bool own =
        found.writer == m_append->record.writer && found.sequence == m_append->record.sequence;
    settle_append(own ? append_outcome::written : append_outcome::conflict);
}

void sequenced_log::settle_append(append_outcome outcome) {
    m_actions.emplace_back(
        append_completed{outcome, m_append->record.number, m_append->record.sequence});
    m_append.reset();
    m_append_lane = {};
}

/// Settles the pending append after a snapshot has moved the head past it. Its record may still be
/// in its slot.
void sequenced_log::settle_skipped_append(const std::vector<log_record>& records) {
    if (!m_append || m_append->record.number > m_head) {
        return;
    }
    for (const auto& record : records) {
        if (record.number == m_append->record.number) {
            settle_with(record);
            return;
        }
    }
    const bool in_flight = m_append_lane.call != 0 && m_append_lane.kind == call_kind::write;
    settle_append(m_append->maybe_written || in_flight ? append_outcome::undetermined
                                                       : append_outcome::conflict);
}

bool sequenced_log::cancel_append() {
    const bool in_flight = m_append_lane.call != 0 && m_append_lane.kind == call_kind::write;
    if (!m_append || m_append->maybe_written || in_flight) {
        return false;
    }
    m_append.reset();
    m_append_lane = {};
    return true;
}

/// Reads the index of the next slot ahead of its use, so that an append after the first turn of the
/// ring does not wait for that read.
void sequenced_log::step_refresh() {
    const std::uint64_t position = position_of(m_head + 1);
    if (!m_loaded || m_append || m_slots[position].known || m_refresh_lane.call != 0) {
        return;
    }
    m_refresh_position = position;
    send(m_refresh_lane, call_kind::read, slot_request(kv_operation::get, position));
}

// Watch.

void sequenced_log::follow(common::time_point now, bool on) {
    m_now = now;
    m_following = on;
    if (!on) {
        m_watch_lane = {};
        return;
    }
    step_watch();
}

void sequenced_log::step_watch() {
    if (!m_following || !m_loaded || m_watch_lane.call != 0 || m_watch_lane.retry_at) {
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
    send(m_watch_lane, call_kind::read, std::move(request));
}

void sequenced_log::on_watch(common::time_point now, const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    if (response.index == 0) {
        // Without an index the next watch would return at once; the pause keeps the call rate low.
        m_watch_lane.retry_at = now + m_options.retry_max;
    }
    m_watch_index = response.index;
    take_slot(m_watch_position, response);
    step_watch();
}

// Snapshot.

bool sequenced_log::write_snapshot(common::time_point now, std::uint64_t covers, std::string body) {
    m_now = now;
    if (!m_loaded || covers > m_head || !m_snapshots.begin(covers, std::move(body))) {
        return false;
    }
    step_snapshot();
    return true;
}

void sequenced_log::step_snapshot() {
    if (m_snapshot_lane.call != 0 || m_snapshot_lane.retry_at) {
        return;
    }
    auto request = m_snapshots.next_request();
    if (!request) {
        return;
    }
    const bool writes = request->operation != kv_operation::get;
    send(m_snapshot_lane, writes ? call_kind::write : call_kind::read, std::move(*request));
}

void sequenced_log::on_snapshot(common::time_point now, const kv_response& response) {
    const std::uint64_t covers = m_snapshots.pending_covers();
    auto result = snapshot_writer::progress::working;
    try {
        result = m_snapshots.on_response(response);
    } catch (const common::format_error&) {
        m_unreadable.add();
        retry_later(now, m_snapshot_lane);
    }
    if (result != snapshot_writer::progress::working) {
        m_actions.emplace_back(
            snapshot_completed{result == snapshot_writer::progress::written, covers});
    }
    step_snapshot();
}

} // namespace buckthornspar::store
