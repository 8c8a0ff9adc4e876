#include "core/store/snapshot_writer.h"

#include "core/common/error.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::store {

namespace {

std::vector<std::string> split_body(const std::string& body) {
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < body.size(); at += max_log_value_bytes) {
        parts.push_back(body.substr(at, max_log_value_bytes));
    }
    return parts;
}

bool is_answered(const kv_response& response) {
    return response.status != kv_status::unavailable && response.status != kv_status::unknown;
}

const kv_entry* find_entry(const std::vector<kv_entry>& entries, const std::string& key) {
    const auto position = std::find_if(entries.begin(), entries.end(),
                                       [&](const kv_entry& entry) { return entry.key == key; });
    return position == entries.end() ? nullptr : &*position;
}

kv_request make_request(kv_operation operation, std::string key) {
    kv_request request;
    request.operation = operation;
    request.key = std::move(key);
    return request;
}

} // namespace

snapshot_writer::snapshot_writer(std::string prefix, std::string writer, common::counters& counters)
    : m_prefix(std::move(prefix)),
      m_writer(std::move(writer)),
      m_splits(counters.get("store_value_splits_total")),
      m_conflicts(counters.get("store_cas_conflicts_total")),
      m_settled_lost(counters.get("store_lost_answers_settled_total")) {}

log_snapshot snapshot_writer::take_load(const std::vector<kv_entry>& entries) {
    log_snapshot snapshot;
    const kv_entry* const key = find_entry(entries, snapshot_key(m_prefix));
    if (key != nullptr) {
        snapshot = decode_snapshot(key->value);
        for (std::size_t i = 0; i < snapshot.parts; ++i) {
            const kv_entry* const part = find_entry(entries, part_key(m_prefix, snapshot, i));
            if (part == nullptr) {
                throw common::format_error("part " + std::to_string(i) + " of the snapshot of " +
                                           m_prefix + " is missing");
            }
            snapshot.body += part->value;
        }
    }
    m_index = key == nullptr ? 0 : key->modify_index;
    m_covered = std::max(m_covered, snapshot.covers);
    const std::string part_prefix = m_prefix + "/part/";
    const std::string pending_prefix =
        m_pending ? part_prefix + m_writer + '/' + std::to_string(m_pending->sequence) + '/' : "";
    m_seen_parts.clear();
    for (const auto& entry : entries) {
        const bool is_pending = m_pending && entry.key.starts_with(pending_prefix);
        if (entry.key.starts_with(part_prefix) && !is_pending) {
            m_seen_parts.push_back(entry.key);
        }
    }
    return snapshot;
}

bool snapshot_writer::begin(std::uint64_t covers, std::string body) {
    if (m_phase != phase::idle || covers <= m_covered) {
        return false;
    }
    m_pending = log_snapshot{covers, m_writer, m_next_sequence++, 0, {}};
    m_part_bodies.clear();
    m_next_part = 0;
    m_lost_answer = false;
    if (body.size() > max_log_value_bytes) {
        m_part_bodies = split_body(body);
        m_pending->parts = m_part_bodies.size();
        m_splits.add();
    } else {
        m_pending->body = std::move(body);
    }
    if (m_index) {
        start_from(*m_index);
    } else {
        m_phase = phase::read_base;
    }
    return true;
}

void snapshot_writer::start_from(std::uint64_t base_index) {
    m_base_index = base_index;
    m_phase = m_part_bodies.empty() ? phase::write_key : phase::write_parts;
}

std::optional<kv_request> snapshot_writer::next_request() const {
    switch (m_phase) {
    case phase::idle:
        return std::nullopt;
    case phase::read_base:
    case phase::read_back:
        return make_request(kv_operation::get, snapshot_key(m_prefix));
    case phase::write_parts: {
        auto request =
            make_request(kv_operation::put_if, part_key(m_prefix, *m_pending, m_next_part));
        request.value = m_part_bodies[m_next_part];
        return request;
    }
    case phase::write_key: {
        auto request = make_request(kv_operation::put_if, snapshot_key(m_prefix));
        request.value = encode_snapshot(*m_pending);
        request.expected_index = m_base_index;
        return request;
    }
    case phase::find_stale:
        return make_request(kv_operation::get, m_stale.front());
    case phase::drop_stale: {
        auto request = make_request(kv_operation::delete_if, m_stale.front());
        request.expected_index = m_stale_index;
        return request;
    }
    }
    return std::nullopt;
}

snapshot_writer::progress snapshot_writer::on_response(const kv_response& response) {
    switch (m_phase) {
    case phase::idle:
        return progress::working;
    case phase::read_base:
        return on_base_read(response);
    case phase::write_parts:
        on_part_written(response);
        return progress::working;
    case phase::write_key:
        return on_key_written(response);
    case phase::read_back:
        return on_read_back(response);
    case phase::find_stale:
    case phase::drop_stale:
        on_stale(response);
        return progress::working;
    }
    return progress::working;
}

void snapshot_writer::learn_key(const kv_response& response) {
    m_index = 0;
    if (response.status == kv_status::ok && !response.entries.empty()) {
        m_index = response.entries.front().modify_index;
        const auto found = decode_snapshot(response.entries.front().value);
        m_covered = std::max(m_covered, found.covers);
    }
}

bool snapshot_writer::is_own(const log_snapshot& snapshot) const {
    return snapshot.writer == m_writer && snapshot.sequence == m_pending->sequence;
}

snapshot_writer::progress snapshot_writer::on_base_read(const kv_response& response) {
    if (!is_answered(response)) {
        return progress::working;
    }
    learn_key(response);
    if (m_covered >= m_pending->covers) {
        return finish(progress::superseded);
    }
    start_from(*m_index);
    return progress::working;
}

void snapshot_writer::on_part_written(const kv_response& response) {
    // The name of a part is unique, so a conflict shows that an earlier write, whose answer was
    // lost, took effect.
    if (is_answered(response)) {
        ++m_next_part;
    }
    if (m_next_part == m_part_bodies.size()) {
        m_phase = phase::write_key;
    }
}

snapshot_writer::progress snapshot_writer::on_key_written(const kv_response& response) {
    switch (response.status) {
    case kv_status::ok:
        return finish(progress::written);
    case kv_status::unavailable:
        return progress::working;
    case kv_status::conflict:
    case kv_status::not_found:
        m_conflicts.add();
        break;
    case kv_status::unknown:
        m_lost_answer = true;
        break;
    }
    m_phase = phase::read_back;
    return progress::working;
}

snapshot_writer::progress snapshot_writer::on_read_back(const kv_response& response) {
    if (!is_answered(response)) {
        return progress::working;
    }
    learn_key(response);
    if (m_lost_answer) {
        m_settled_lost.add();
        m_lost_answer = false;
    }
    if (response.status == kv_status::ok && !response.entries.empty() &&
        is_own(decode_snapshot(response.entries.front().value))) {
        return finish(progress::written);
    }
    if (*m_index != m_base_index) {
        return finish(progress::superseded);
    }
    m_phase = phase::write_key;
    return progress::working;
}

snapshot_writer::progress snapshot_writer::finish(progress result) {
    std::vector<std::string> own_parts;
    for (std::size_t i = 0; i < m_pending->parts; ++i) {
        own_parts.push_back(part_key(m_prefix, *m_pending, i));
    }
    if (result == progress::written) {
        m_covered = m_pending->covers;
        m_index.reset();
        // Every part seen before this write belongs to the replaced snapshot or to a writer that
        // started from it and must fail. Parts seen later are left alone.
        m_stale.insert(m_stale.end(), m_seen_parts.begin(), m_seen_parts.end());
        m_seen_parts = std::move(own_parts);
    } else {
        m_stale.insert(m_stale.end(), own_parts.begin(), own_parts.end());
    }
    m_pending.reset();
    m_part_bodies.clear();
    m_phase = m_stale.empty() ? phase::idle : phase::find_stale;
    return result;
}

void snapshot_writer::on_stale(const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    if (m_phase == phase::find_stale && response.status == kv_status::ok &&
        !response.entries.empty()) {
        m_stale_index = response.entries.front().modify_index;
        m_phase = phase::drop_stale;
        return;
    }
    m_stale.pop_front();
    m_phase = m_stale.empty() ? phase::idle : phase::find_stale;
}

} // namespace buckthornspar::store
