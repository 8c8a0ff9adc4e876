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
      m_split_snapshots(counters.get("store_value_splits_total")),
      m_conflicts(counters.get("store_cas_conflicts_total")),
      m_lost_answers_resolved(counters.get("store_lost_answers_settled_total")) {}

log_snapshot snapshot_writer::apply_load(const std::vector<kv_entry>& entries) {
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
    m_covered = std::max(m_covered, snapshot.last_included);
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

bool snapshot_writer::begin(std::uint64_t last_included, std::string body) {
    if (m_phase != phase::idle || last_included <= m_covered) {
        return false;
    }
    m_pending = log_snapshot{last_included, m_writer, m_next_sequence++, 0, {}};
    m_part_bodies.clear();
    m_next_part = 0;
    m_lost_answer = false;
    if (body.size() > max_log_value_bytes) {
        m_part_bodies = split_body(body);
        m_pending->parts = m_part_bodies.size();
        m_split_snapshots.add();
    } else {
        m_pending->body = std::move(body);
    }
    if (m_index) {
        start_writing(*m_index);
    } else {
        m_phase = phase::read_base;
    }
    return true;
}

void snapshot_writer::start_writing(std::uint64_t base_index) {
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
    case phase::read_stale_part:
        return make_request(kv_operation::get, m_stale_parts.front());
    case phase::delete_stale_part: {
        auto request = make_request(kv_operation::delete_if, m_stale_parts.front());
        request.expected_index = m_stale_part_index;
        return request;
    }
    }
    return std::nullopt;
}

snapshot_writer::progress snapshot_writer::on_response(const kv_response& response) {
    switch (m_phase) {
    case phase::idle:
        return progress::in_progress;
    case phase::read_base:
        return on_base_snapshot_read(response);
    case phase::write_parts:
        on_part_written(response);
        return progress::in_progress;
    case phase::write_key:
        return on_key_written(response);
    case phase::read_back:
        return on_read_back(response);
    case phase::read_stale_part:
    case phase::delete_stale_part:
        on_stale_part(response);
        return progress::in_progress;
    }
    return progress::in_progress;
}

void snapshot_writer::update_snapshot_key_state(const kv_response& response) {
    m_index = 0;
    if (response.status == kv_status::ok && !response.entries.empty()) {
        m_index = response.entries.front().modify_index;
        const auto found = decode_snapshot(response.entries.front().value);
        m_covered = std::max(m_covered, found.last_included);
    }
}

bool snapshot_writer::is_pending_snapshot(const log_snapshot& snapshot) const {
    return snapshot.writer == m_writer && snapshot.sequence == m_pending->sequence;
}

snapshot_writer::progress snapshot_writer::on_base_snapshot_read(const kv_response& response) {
    if (!is_answered(response)) {
        return progress::in_progress;
    }
    update_snapshot_key_state(response);
    if (m_covered >= m_pending->last_included) {
        return finish(progress::superseded);
    }
    start_writing(*m_index);
    return progress::in_progress;
}

void snapshot_writer::on_part_written(const kv_response& response) {
    // Part keys are unique, so a conflict means that an earlier write, whose response was lost,
    // took effect.
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
        return progress::in_progress;
    case kv_status::conflict:
    case kv_status::not_found:
        m_conflicts.add();
        break;
    case kv_status::unknown:
        m_lost_answer = true;
        break;
    }
    m_phase = phase::read_back;
    return progress::in_progress;
}

snapshot_writer::progress snapshot_writer::on_read_back(const kv_response& response) {
    if (!is_answered(response)) {
        return progress::in_progress;
    }
    update_snapshot_key_state(response);
    if (m_lost_answer) {
        m_lost_answers_resolved.add();
        m_lost_answer = false;
    }
    if (response.status == kv_status::ok && !response.entries.empty() &&
        is_pending_snapshot(decode_snapshot(response.entries.front().value))) {
        return finish(progress::written);
    }
    if (*m_index != m_base_index) {
        return finish(progress::superseded);
    }
    m_phase = phase::write_key;
    return progress::in_progress;
}

snapshot_writer::progress snapshot_writer::finish(progress result) {
    std::vector<std::string> own_parts;
    for (std::size_t i = 0; i < m_pending->parts; ++i) {
        own_parts.push_back(part_key(m_prefix, *m_pending, i));
    }
    if (result == progress::written) {
        m_covered = m_pending->last_included;
        m_index.reset();
        // Each part seen before this write belongs to the replaced snapshot, or to a snapshot write
        // that is based on it and therefore must fail. Parts seen later are kept.
        m_stale_parts.insert(m_stale_parts.end(), m_seen_parts.begin(), m_seen_parts.end());
        m_seen_parts = std::move(own_parts);
    } else {
        m_stale_parts.insert(m_stale_parts.end(), own_parts.begin(), own_parts.end());
    }
    m_pending.reset();
    m_part_bodies.clear();
    m_phase = m_stale_parts.empty() ? phase::idle : phase::read_stale_part;
    return result;
}

void snapshot_writer::on_stale_part(const kv_response& response) {
    if (!is_answered(response)) {
        return;
    }
    if (m_phase == phase::read_stale_part && response.status == kv_status::ok &&
        !response.entries.empty()) {
        m_stale_part_index = response.entries.front().modify_index;
        m_phase = phase::delete_stale_part;
        return;
    }
    m_stale_parts.pop_front();
    m_phase = m_stale_parts.empty() ? phase::idle : phase::read_stale_part;
}

} // namespace buckthornspar::store
