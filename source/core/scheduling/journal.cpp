#include "core/scheduling/journal.h"

#include "core/common/error.h"
#include "core/common/overloaded.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr common::duration min_flush_interval = std::chrono::milliseconds(10);
/// All schedulers together may use 1 / 10 of the store's write rate.
constexpr std::int64_t store_share_divisor = 10;
/// Number of writes allowed ahead of the average rate, so that a single submission is not delayed.
constexpr int flush_burst = 8;
/// Half of the maximum value size, so that the last entry of a batch cannot exceed it.
constexpr std::size_t max_batch_bytes = store::max_log_value_bytes / 2;

} // namespace

common::duration flush_interval(std::size_t schedulers, std::size_t store_writes_per_second) {
    const std::int64_t writes =
        std::max<std::int64_t>(1, static_cast<std::int64_t>(store_writes_per_second));
    const common::duration share(static_cast<std::int64_t>(schedulers) * store_share_divisor *
                                 1'000'000 / writes);
    return std::max(min_flush_interval, share);
}

journal::journal(journal_settings settings, common::counters& counters)
    : m_settings(std::move(settings)),
      m_unreadable(counters.get("journal_unreadable_total")),
      m_records(counters.get("journal_records_written_total")),
      m_log(m_settings.log, counters),
      m_table(m_settings.max_ended_jobs) {}

void journal::load(common::time_point now) {
    m_log.load(now);
}

std::uint64_t journal::add(const journal_entry& entry) {
    m_waiting.push_back({m_next_tag, to_json(entry)});
    return m_next_tag++;
}

bool journal::withdraw(std::uint64_t tag) {
    const auto has_tag = [&](const tagged_entry& item) { return item.tag == tag; };
    if (std::erase_if(m_waiting, has_tag) > 0) {
        return true;
    }
    if (std::none_of(m_in_flight.begin(), m_in_flight.end(), has_tag) || !m_log.cancel_append()) {
        return false;
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(m_in_flight.begin()),
                     std::make_move_iterator(m_in_flight.end()));
    m_in_flight.clear();
    return std::erase_if(m_waiting, has_tag) > 0;
}

std::vector<std::uint64_t> journal::discard_pending() {
    m_waiting.clear();
    std::vector<std::uint64_t> tags;
    if (!m_log.cancel_append()) {
        std::transform(m_in_flight.begin(), m_in_flight.end(), std::back_inserter(tags),
                       [](const tagged_entry& item) { return item.tag; });
    }
    m_in_flight.clear();
    return tags;
}

void journal::on_response(common::time_point now, std::uint64_t call,
                          const store::kv_response& response) {
    m_log.on_response(now, call, response);
}

void journal::on_time(common::time_point now) {
    m_log.on_time(now);
}

std::optional<common::time_point> journal::next_wakeup() const {
    auto next = m_log.next_wakeup();
    if (!m_waiting.empty() && !m_log.append_pending()) {
        next = std::min(next.value_or(next_flush()), next_flush());
    }
    return next;
}

/// The average rate is one write per interval; up to flush_burst writes may be early.
common::time_point journal::next_flush() const {
    return std::max(m_last_flush + min_flush_interval,
                    m_paced_until - flush_burst * m_settings.flush_interval);
}

void journal::flush(common::time_point now) {
    if (m_waiting.empty() || !m_in_flight.empty() || m_log.append_pending() || now < next_flush()) {
        return;
    }
    std::vector<std::string> encoded;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (count < m_waiting.size() &&
           (count == 0 || bytes + m_waiting[count].encoded.size() <= max_batch_bytes)) {
        bytes += m_waiting[count].encoded.size();
        encoded.push_back(m_waiting[count].encoded);
        ++count;
    }
    m_last_flush = now;
    m_paced_until = std::max(m_paced_until, now) + m_settings.flush_interval;
    if (m_log.append(now, join_entries(encoded)) != store::append_start::started) {
        return;
    }
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(count);
    m_in_flight.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
}

void journal::write_snapshot_if_due(common::time_point now) {
    if (!m_snapshot_pending && m_log.loaded() &&
        m_log.remaining_appends() * 2 <= m_settings.log.slots) {
        m_snapshot_pending = m_log.write_snapshot(now, m_applied, m_table.snapshot());
    }
}

std::vector<journal_event> journal::take_events(common::time_point now) {
    std::vector<journal_event> events;
    const auto drain = [&] {
        for (const auto& action : m_log.take_actions()) {
            on_log_action(action, events);
        }
    };
    drain();
    write_snapshot_if_due(now);
    flush(now);
    drain();
    return events;
}

void journal::on_log_action(const store::log_action& action, std::vector<journal_event>& events) {
    std::visit(
        common::overloaded{
            [&](const store::store_call& call) { events.emplace_back(call); },
            [&](const store::snapshot_read& snapshot) { m_table.load_snapshot(snapshot.body); },
            [&](const store::record_read& read) { apply_record(read.record, events); },
            [&](const store::log_loaded&) { events.emplace_back(journal_loaded{}); },
            [&](const store::append_completed& settled) { on_append_settled(settled, events); },
            [&](const store::snapshot_completed&) { m_snapshot_pending = false; },
        },
        action);
}

/// Waiting entries were created without knowledge of the other writer. They must not be written
/// after the other writer's record, even though the log would accept them.
void journal::discard_waiting(std::vector<journal_event>& events) {
    if (m_waiting.empty()) {
        return;
    }
    m_waiting.clear();
    append_conflict conflict;
    conflict.undetermined = !m_in_flight.empty();
    for (const auto& item : m_in_flight) {
        conflict.tags.push_back(item.tag);
    }
    events.emplace_back(std::move(conflict));
}

void journal::apply_record(const store::log_record& record, std::vector<journal_event>& events) {
    m_applied = record.number;
    if (record.writer != m_settings.log.writer) {
        discard_waiting(events);
    }
    try {
        for (const auto& entry : read_entries(record.body)) {
            m_table.apply(record.number, entry);
        }
    } catch (const common::error&) {
        // Only this record is skipped; later records remain usable.
        m_unreadable.add();
    }
}

void journal::on_append_settled(const store::append_completed& settled,
                                std::vector<journal_event>& events) {
    const auto written = std::exchange(m_in_flight, {});
    if (settled.outcome == store::append_outcome::written) {
        m_records.add();
        for (const auto& item : written) {
            events.emplace_back(entry_written{item.tag, settled.number});
        }
        return;
    }
    append_conflict conflict;
    conflict.undetermined = settled.outcome == store::append_outcome::undetermined;
    for (const auto& item : written) {
        conflict.tags.push_back(item.tag);
    }
    m_waiting.clear();
    events.emplace_back(std::move(conflict));
}

} // namespace buckthornspar::scheduling
