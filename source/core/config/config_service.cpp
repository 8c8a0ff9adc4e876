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

/// The value at the path did not change between the two configurations.
bool is_unchanged(const configuration& a, const configuration& b, const std::string& path) {
    const auto differences = diff(a, b);
    return std::none_of(differences.begin(), differences.end(),
                        [&](const field_difference& d) { return paths_overlap(d.path, path); });
}

/// Version 1 is written as a whole, because the default configuration that it builds on may differ
/// between releases. All others are written as their changes.
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
    advance(now);
}

void config_service::set_watching(common::time_point now, bool on) {
    m_log.follow(now, on);
    advance(now);
}

void config_service::on_response(common::time_point now, std::uint64_t call,
                                 const store::kv_response& response) {
    m_log.on_response(now, call, response);
    advance(now);
}

void config_service::on_time(common::time_point now) {
    m_log.on_time(now);
    take_log_actions(now);
    expire(now);
    advance(now);
}

std::optional<common::time_point> config_service::next_wakeup() const {
    auto earliest = m_log.next_wakeup();
    for (const auto& item : m_queue) {
        if (!item.answered && (!earliest || item.deadline < *earliest)) {
            earliest = item.deadline;
        }
    }
    return earliest;
}

std::vector<config_action> config_service::take_actions() {
    return std::exchange(m_actions, {});
}

patch_answer config_service::make_answer(patch_status status) const {
    patch_answer answer;
    answer.status = status;
    answer.version = m_history.version();
    return answer;
}

// Patches.

void config_service::submit(common::time_point now, std::uint64_t ticket, patch p,
                            std::int64_t wall_ms) {
    if (m_queue.size() >= m_options.max_queued_patches) {
        patch_answer answer = make_answer(patch_status::queue_full);
        answer.ticket = ticket;
        m_counters.get("config_patches_total", "status", to_string(answer.status)).add();
        m_actions.emplace_back(std::move(answer));
        return;
    }
    queued_patch item;
    item.ticket = ticket;
    item.request = std::move(p);
    item.wall_ms = wall_ms;
    item.deadline = now + m_options.patch_timeout;
    m_queue.push_back(std::move(item));
    advance(now);
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

void config_service::advance(common::time_point now) {
    // All records must be taken over before a patch is looked at, because it is checked against the
    // state that they lead to.
    take_log_actions(now);
    while (!m_queue.empty() && !m_appending && m_log.loaded()) {
        if (!try_front(now)) {
            break;
        }
    }
    take_log_actions(now);
}

bool config_service::try_front(common::time_point now) {
    queued_patch& item = m_queue.front();
    const patch& p = item.request;
    if (item.rereading) {
        return false;
    }
    if (auto answer = answer_repetition(p)) {
        finish_front(std::move(*answer));
        return true;
    }
    if (p.version > m_history.version() && !item.reread) {
        // Another process may have accepted that version; only its region's watcher heard of it.
        reread_for_front(now);
        return false;
    }
    if (p.version > m_history.version()) {
        finish_front(make_answer(patch_status::unknown_version));
        return true;
    }
    patch_answer answer = make_answer(patch_status::valid);
    const auto changes = expand(p, answer);
    if (!changes || p.version < m_history.version()) {
        if (changes) {
            answer = make_answer(patch_status::version_conflict);
            answer.fields = m_history.clashes(p.version, *changes);
        }
        finish_front(std::move(answer));
        return true;
    }
    if (p.dry_run) {
        finish_front(std::move(answer));
        return true;
    }
    return try_append(now, *changes);
}

/// An accepted patch that is submitted again gets its first result. The version that it names is
/// not compared, because an author without an answer may have renamed it before trying again.
std::optional<patch_answer> config_service::answer_repetition(const patch& p) const {
    const accepted_patch* const first = m_history.find_id(p.id);
    if (first == nullptr) {
        return std::nullopt;
    }
    const bool same_content = p.undo_of != 0 ? p.undo_of == first->undo_of
                                             : first->undo_of == 0 && p.changes == first->changes;
    if (first->author != p.author || !same_content) {
        return make_answer(patch_status::id_reused);
    }
    patch_answer answer = make_answer(patch_status::accepted);
    answer.version = first->version;
    return answer;
}

/// The changes of the patch, or empty with the refusal in answer.
std::optional<std::vector<change>> config_service::expand(const patch& p, patch_answer& answer) {
    std::vector<change> changes = p.changes;
    if (p.undo_of != 0) {
        const accepted_patch* const undone = m_history.find_version(p.undo_of);
        const auto result = undone == nullptr ? std::nullopt : m_history.at(p.undo_of);
        if (!result) {
            answer = make_answer(patch_status::unknown_version);
            return std::nullopt;
        }
        changes = undone->reverse;
        for (const auto& c : changes) {
            if (!is_unchanged(*result, m_history.in_force(), c.path)) {
                answer.status = patch_status::undo_conflict;
                answer.fields.push_back(c.path);
            }
        }
        if (!answer.fields.empty()) {
            return std::nullopt;
        }
    }
    try {
        (void)apply_changes(m_history.in_force(), changes, m_options.rules);
    } catch (const configuration_error& e) {
        // Against an older version the conflict is the more useful answer.
        if (p.version == m_history.version()) {
            answer = make_answer(patch_status::invalid);
            answer.error_type = e.type();
            answer.detail = e.what();
            answer.field = e.field();
            return std::nullopt;
        }
    }
    return changes;
}

void config_service::reread_for_front(common::time_point now) {
    // A load that is already in progress may not show what was accepted since it began.
    m_queue.front().reread = !m_log.loading();
    m_queue.front().rereading = true;
    m_log.load(now);
}

bool config_service::try_append(common::time_point now, const std::vector<change>& changes) {
    if (m_log.head() != m_history.version()) {
        // A record could not be read. Nothing can be built on a state that is not known.
        return false;
    }
    if (!m_log.store_available()) {
        // A write into an outage could end with an unknown outcome; reading first cannot.
        reread_for_front(now);
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
        patch_answer answer = make_answer(patch_status::invalid);
        answer.error_type = "patch_too_large";
        answer.detail = "the patch and its reverse exceed the size of a record";
        answer.field = "changes";
        finish_front(std::move(answer));
        return true;
    }
    const auto started = m_log.append(now, std::move(body));
    if (started == store::append_start::ring_full) {
        write_snapshot(now);
    }
    m_appending = started == store::append_start::started;
    return false;
}

void config_service::finish_front(patch_answer answer) {
    answer_front(std::move(answer));
    m_queue.pop_front();
}

void config_service::answer_front(patch_answer answer) {
    queued_patch& item = m_queue.front();
    if (item.answered) {
        return;
    }
    item.answered = true;
    answer.ticket = item.ticket;
    m_counters.get("config_patches_total", "status", to_string(answer.status)).add();
    m_actions.emplace_back(std::move(answer));
}

void config_service::expire(common::time_point now) {
    if (m_appending && m_queue.front().deadline <= now && !m_queue.front().answered) {
        if (m_log.cancel_append()) {
            m_appending = false;
        } else {
            // The append goes on in the log; the patch stays at the front until it is settled.
            answer_front(make_answer(patch_status::outcome_unknown));
        }
    }
    const bool keep_front = m_appending;
    std::deque<queued_patch> kept;
    while (!m_queue.empty()) {
        const bool expired = m_queue.front().deadline <= now && !(keep_front && kept.empty());
        if (expired) {
            finish_front(make_answer(patch_status::store_unavailable));
        } else {
            kept.push_back(std::move(m_queue.front()));
            m_queue.pop_front();
        }
    }
    m_queue = std::move(kept);
}

// Log.

void config_service::take_log_actions(common::time_point now) {
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
                m_queue.front().rereading = false;
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
        // Several versions may have been accepted meanwhile. Reading them all first tells the loser
        // the version that is in force now.
        reread_for_front(now);
        return;
    }
    if (settled.outcome == store::append_outcome::undetermined) {
        // The history that was just read shows whether the patch was accepted.
        return;
    }
    patch_answer answer = make_answer(patch_status::accepted);
    answer.version = settled.number;
    finish_front(std::move(answer));
    if (m_log.head() - m_log.covered() >= m_options.log.slots / 2) {
        write_snapshot(now);
    }
}

void config_service::write_snapshot(common::time_point now) {
    // False when one is being written; the next append asks again.
    (void)m_log.write_snapshot(now, m_history.version(), m_history.snapshot(m_options.max_history));
}

} // namespace buckthornspar::config
