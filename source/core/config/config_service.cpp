#include "core/config/config_service.h"

#include "core/common/error.h"
#include "core/common/name_table.h"
#include "core/config/configuration_error.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::config {

namespace {

constexpr common::name_table<patch_status, 10> status_names{
    "patch status",
    {"accepted", "valid", "invalid", "version_conflict", "unknown_version", "id_reused",
     "undo_conflict", "queue_full", "store_unavailable", "outcome_unknown"}};

/// True if the value at the path is the same in both configurations.
bool is_unchanged(const configuration& a, const configuration& b, const std::string& path) {
    const auto differences = diff(a, b);
    return std::none_of(differences.begin(), differences.end(),
                        [&](const field_difference& d) { return paths_overlap(d.path, path); });
}

/// Version 1 is written as a snapshot because the default configuration that it is based on may
/// differ between releases. Later versions are written as changes.
std::string record_body(const accepted_patch& next) {
    if (next.version > 1) {
        return to_json(next);
    }
    config_history first(1);
    first.apply(next);
    return first.snapshot(1);
}

} // namespace

std::string_view to_string(patch_status status) {
    return status_names.name(status);
}

config_service::config_service(config_service_options options, common::counters& counters)
    : m_options(std::move(options)),
      m_counters(counters),
      m_version_metric(counters.get("config_version")),
      m_log(m_options.log, counters),
      m_history(m_options.max_history) {
    if (m_options.max_history <= m_options.log.slots) {
        throw common::usage_error("the history must be longer than the ring of the log");
    }
}

void config_service::start(common::time_point now) {
    refresh(now);
}

void config_service::refresh(common::time_point now) {
    m_log.load(now);
    process_queue(now);
}

void config_service::set_watching(common::time_point now, bool on) {
    m_log.follow(now, on);
    process_queue(now);
}

void config_service::on_response(common::time_point now, std::uint64_t call,
                                 const store::kv_response& response) {
    m_log.on_response(now, call, response);
    process_queue(now);
}

void config_service::on_time(common::time_point now) {
    m_log.on_time(now);
    process_log_actions(now);
    expire_patches(now);
    process_queue(now);
}

std::optional<common::time_point> config_service::next_wakeup() const {
    auto earliest = m_log.next_wakeup();
    for (const auto& item : m_queue) {
        if (!item.reported && (!earliest || item.deadline < *earliest)) {
            earliest = item.deadline;
        }
    }
    return earliest;
}

std::vector<config_action> config_service::take_actions() {
    return std::exchange(m_actions, {});
}

patch_result config_service::make_result(patch_status status) const {
    patch_result result;
    result.status = status;
    result.version = m_history.version();
    return result;
}

// Patches.

void config_service::submit(common::time_point now, std::uint64_t ticket, patch p,
                            std::int64_t wall_ms) {
    if (m_queue.size() >= m_options.max_queued_patches) {
        patch_result result = make_result(patch_status::queue_full);
        result.ticket = ticket;
        m_counters.get("config_patches_total", "status", to_string(result.status)).add();
        m_actions.emplace_back(std::move(result));
        return;
    }
    queued_patch item;
    item.ticket = ticket;
    item.request = std::move(p);
    item.wall_ms = wall_ms;
    item.deadline = now + m_options.patch_timeout;
    m_queue.push_back(std::move(item));
    process_queue(now);
}

void config_service::ensure_first_version(common::time_point now, std::int64_t wall_ms) {
    if (!m_log.loaded() || m_log.head() != 0 || !m_queue.empty()) {
        return;
    }
    patch first;
    first.id = "initial";
    first.author = "buckthornspar";
    submit(now, 0, std::move(first), wall_ms);
}

void config_service::process_queue(common::time_point now) {
    // All records must be applied before a patch is processed, because the patch is validated
    // against the resulting state.
    process_log_actions(now);
    while (!m_queue.empty() && !m_appending && m_log.loaded()) {
        if (!process_front(now)) {
            break;
        }
    }
    process_log_actions(now);
}

bool config_service::process_front(common::time_point now) {
    queued_patch& item = m_queue.front();
    const patch& p = item.request;
    if (item.reloading) {
        return false;
    }
    if (auto result = find_repeated_result(p)) {
        complete_front(std::move(*result));
        return true;
    }
    if (p.version > m_history.version() && !item.reloaded) {
        // Another process may have accepted that version, and only the watcher of its region may
        // know it so far.
        reload_for_front(now);
        return false;
    }
    if (p.version > m_history.version()) {
        complete_front(make_result(patch_status::unknown_version));
        return true;
    }
    patch_result result = make_result(patch_status::valid);
    const auto changes = resolve_changes(p, result);
    if (!changes || p.version < m_history.version()) {
        if (changes) {
            result = make_result(patch_status::version_conflict);
            result.fields = m_history.conflicting_paths(p.version, *changes);
        }
        complete_front(std::move(result));
        return true;
    }
    if (p.dry_run) {
        complete_front(std::move(result));
        return true;
    }
    return try_append(now, *changes);
}

/// Returns the original result if the patch is a repetition of an accepted one. The base version is
/// not compared, because an author who received no result may have changed it before the retry.
std::optional<patch_result> config_service::find_repeated_result(const patch& p) const {
    const accepted_patch* const first = m_history.find_id(p.id);
    if (first == nullptr) {
        return std::nullopt;
    }
    const bool same_content = p.undo_of != 0 ? p.undo_of == first->undo_of
                                             : first->undo_of == 0 && p.changes == first->changes;
    if (first->author != p.author || !same_content) {
        return make_result(patch_status::id_reused);
    }
    patch_result result = make_result(patch_status::accepted);
    result.version = first->version;
    return result;
}

/// The changes of the patch, or empty if it is refused; result then holds the reason.
std::optional<std::vector<change>> config_service::resolve_changes(const patch& p,
                                                                   patch_result& result) {
    std::vector<change> changes = p.changes;
    if (p.undo_of != 0) {
        const accepted_patch* const undone = m_history.find_version(p.undo_of);
        const auto state_after = undone == nullptr ? std::nullopt : m_history.at(p.undo_of);
        if (!state_after) {
            result = make_result(patch_status::unknown_version);
            return std::nullopt;
        }
        changes = undone->reverse;
        for (const auto& c : changes) {
            if (!is_unchanged(*state_after, m_history.in_force(), c.path)) {
                result.status = patch_status::undo_conflict;
                result.fields.push_back(c.path);
            }
        }
        if (!result.fields.empty()) {
            return std::nullopt;
        }
    }
    try {
        (void)apply_changes(m_history.in_force(), changes, m_options.rules);
    } catch (const configuration_error& e) {
        // For a patch against an older version, reporting the conflict is more useful.
        if (p.version == m_history.version()) {
            result = make_result(patch_status::invalid);
            result.error_type = e.type();
            result.detail = e.what();
            result.field = e.field();
            return std::nullopt;
        }
    }
    return changes;
}

void config_service::reload_for_front(common::time_point now) {
    // A load that is already in progress may miss versions accepted after it began.
    m_queue.front().reloaded = !m_log.loading();
    m_queue.front().reloading = true;
    m_log.load(now);
}

bool config_service::try_append(common::time_point now, const std::vector<change>& changes) {
    if (m_log.head() != m_history.version()) {
        // A record could not be parsed, so the current state is unknown and nothing can be
        // appended.
        return false;
    }
    if (!m_log.store_available()) {
        // A write during an outage could end with an unknown outcome; a read cannot.
        reload_for_front(now);
        return false;
    }
    const queued_patch& item = m_queue.front();
    accepted_patch next;
    next.version = m_history.version() + 1;
    next.id = item.request.id;
    next.author = item.request.author;
    next.time_ms = item.wall_ms;
    next.undo_of = item.request.undo_of;
    next.changes = changes;
    next.reverse = reverse_changes(m_history.in_force(), changes);
    std::string body = record_body(next);
    if (body.size() > store::max_log_value_bytes) {
        patch_result result = make_result(patch_status::invalid);
        result.error_type = "patch_too_large";
        result.detail = "the patch and its reverse changes exceed the maximum record size";
        result.field = "changes";
        complete_front(std::move(result));
        return true;
    }
    const auto started = m_log.append(now, std::move(body));
    if (started == store::append_start::ring_full) {
        write_snapshot(now);
    }
    m_appending = started == store::append_start::started;
    return false;
}

void config_service::complete_front(patch_result result) {
    report_front(std::move(result));
    m_queue.pop_front();
}

void config_service::report_front(patch_result result) {
    queued_patch& item = m_queue.front();
    if (item.reported) {
        return;
    }
    item.reported = true;
    result.ticket = item.ticket;
    m_counters.get("config_patches_total", "status", to_string(result.status)).add();
    m_actions.emplace_back(std::move(result));
}

void config_service::expire_patches(common::time_point now) {
    if (m_appending && m_queue.front().deadline <= now && !m_queue.front().reported) {
        if (m_log.cancel_append()) {
            m_appending = false;
        } else {
            // The log is still appending the record; the patch stays at the front until the outcome
            // is known.
            report_front(make_result(patch_status::outcome_unknown));
        }
    }
    const bool keep_front = m_appending;
    std::deque<queued_patch> kept;
    while (!m_queue.empty()) {
        const bool expired = m_queue.front().deadline <= now && !(keep_front && kept.empty());
        if (expired) {
            complete_front(make_result(patch_status::store_unavailable));
        } else {
            kept.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
    }
    m_queue = std::move(kept);
}

// Log.

void config_service::process_log_actions(common::time_point now) {
    auto actions = m_log.take_actions();
    while (!actions.empty()) {
        for (auto& action : actions) {
            if (auto* const call = std::get_if<store::store_call>(&action)) {
                m_actions.emplace_back(std::move(*call));
            } else if (auto* const snapshot = std::get_if<store::snapshot_read>(&action)) {
                on_record(snapshot->body);
            } else if (auto* const record = std::get_if<store::record_read>(&action)) {
                on_record(record->record.body);
            } else if (auto* const settled = std::get_if<store::append_completed>(&action)) {
                on_append_settled(now, *settled);
            } else if (std::holds_alternative<store::log_loaded>(action) && !m_queue.empty()) {
                m_queue.front().reloading = false;
            }
        }
        actions = m_log.take_actions();
    }
}

void config_service::on_record(const std::string& body) {
    try {
        if (!m_history.apply(body)) {
            return;
        }
    } catch (const configuration_error&) {
        m_counters.get("config_records_unreadable_total").add();
        return;
    }
    m_version_metric.set(static_cast<std::int64_t>(m_history.version()));
    m_actions.emplace_back(version_advanced{m_history.version(), body});
}

void config_service::on_append_settled(common::time_point now,
                                       const store::append_completed& settled) {
    m_appending = false;
    if (settled.outcome == store::append_outcome::conflict) {
        // Several versions may have been accepted in the meantime. Reading all of them first makes
        // the conflict report the version that is now in force.
        reload_for_front(now);
        return;
    }
    if (settled.outcome == store::append_outcome::undetermined) {
        // The history that has just been read shows whether the patch was accepted.
        return;
    }
    patch_result result = make_result(patch_status::accepted);
    result.version = settled.number;
    complete_front(std::move(result));
    if (m_log.head() - m_log.covered() >= m_options.log.slots / 2) {
        write_snapshot(now);
    }
}

void config_service::write_snapshot(common::time_point now) {
    // Returns false while another snapshot is being written; the next append tries again.
    (void)m_log.write_snapshot(now, m_history.version(), m_history.snapshot(m_options.max_history));
}

} // namespace buckthornspar::config
