#include "core/scheduling/shard_engine.h"

#include "core/common/overloaded.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr common::duration max_claim_wait = std::chrono::seconds(60);
constexpr unsigned max_claim_doublings = 10;

} // namespace

shard_engine::shard_engine(shard_engine_settings settings, common::counters& counters)
    : m_settings(std::move(settings)),
      m_counters(counters),
      m_journal(m_settings.log, counters),
      m_fleet(m_settings.fleet, counters),
      m_runner(m_settings.tasks, m_settings.placement, m_fleet, m_journal, counters) {}

// Events.

void shard_engine::on_worker_list(common::time_point now,
                                  const std::vector<membership::instance>& workers) {
    m_fleet.on_worker_list(now, workers);
}

void shard_engine::on_store_response(common::time_point now, std::uint64_t call,
                                     const store::kv_response& response) {
    m_journal.on_response(now, call, response);
}

void shard_engine::on_adopt(common::time_point now, const std::string& worker, std::uint64_t call,
                            const adopt_result& result) {
    m_fleet.on_adopt(now, worker, call, result);
}

void shard_engine::on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                           const sync_result& result) {
    m_fleet.on_sync(now, worker, call, result);
}

void shard_engine::on_events(common::time_point now, const std::string& worker, std::uint64_t call,
                             const events_result& result) {
    m_fleet.on_events(now, worker, call, result);
}

void shard_engine::on_owner_heartbeat(common::time_point now, const std::string& owner,
                                      std::uint64_t epoch) {
    if (owner == m_settings.self || epoch < m_known_epoch) {
        return;
    }
    m_known_epoch = epoch;
    m_owner_hint = owner;
    m_owner_last_heard = now;
    m_failed_claims = 0;
    if (m_ownership.owns() && epoch > m_epoch) {
        step_down(now, "heartbeat");
    } else if (m_ownership.state() == ownership_state::claiming) {
        abandon_claim(now);
    }
}

void shard_engine::on_owner_released(common::time_point now, const std::string& owner) {
    if (m_ownership.state() == ownership_state::standby && owner == m_owner_hint) {
        m_failed_claims = 0;
        const auto sign = now - m_settings.suspect_after;
        m_owner_last_heard = std::min(m_owner_last_heard.value_or(sign), sign);
    }
}

// Ownership.

/// A scheduler that receives no heartbeats and cannot reach a majority of the workers would take
/// the shard from a healthy owner. Two that reach the workers but not each other would replace each
/// other before either has ended its recovery. The wait therefore doubles with each claim that is
/// fenced before the end of the recovery.
common::time_point shard_engine::claim_time() const {
    const auto wait = std::min(m_settings.suspect_after * (1U << m_failed_claims), max_claim_wait);
    return *m_owner_last_heard + std::max(wait, m_settings.suspect_after) + m_settings.claim_delay;
}

void shard_engine::check_owner_timeout(common::time_point now) {
    if (!m_owner_last_heard) {
        m_owner_last_heard = now;
    }
    if (now >= claim_time() && !m_draining && m_fleet.listed() &&
        m_ownership.on(ownership_event::owner_silent)) {
        report_ownership_change("owner_silent");
        m_journal.load(now);
    }
}

void shard_engine::on_journal_loaded(common::time_point now) {
    if (m_ownership.state() != ownership_state::claiming || m_claim_tag) {
        return;
    }
    const job_table& table = m_journal.table();
    const bool other_owner = !table.owner().empty() && table.owner() != m_settings.self;
    if (table.epoch() > m_known_epoch && other_owner) {
        // Another scheduler has taken over the shard since the last epoch this process knew of.
        abandon_claim(now);
        return;
    }
    claim(now);
}

/// Majorities are counted over the worker set of the previous owner, because its tasks run there.
/// Only a shard without a logged worker set starts with the present workers.
void shard_engine::claim(common::time_point /*now*/) {
    m_replaces_owner = !m_journal.table().owner().empty();
    std::set<std::string> workers = m_journal.table().workers();
    if (workers.empty()) {
        workers = m_fleet.present();
    }
    m_claim_tag = m_journal.add(
        owner_entry{m_settings.self, std::vector<std::string>(workers.begin(), workers.end())});
}

void shard_engine::abandon_claim(common::time_point now) {
    if (!m_ownership.on(ownership_event::claim_lost)) {
        return;
    }
    // If the record is written nevertheless, the shard has an inactive owner that sends no
    // heartbeats and is replaced after the usual timeout; the next claim finds the record.
    (void)m_journal.discard_pending();
    m_claim_tag.reset();
    m_owner_last_heard = now;
    m_known_epoch = std::max(m_known_epoch, m_journal.table().epoch());
    if (!m_journal.table().owner().empty()) {
        m_owner_hint = m_journal.table().owner();
    }
    report_ownership_change("claim_lost");
}

void shard_engine::take_over(common::time_point now, std::uint64_t epoch) {
    m_claim_tag.reset();
    m_epoch = epoch;
    m_known_epoch = epoch;
    m_owner_hint = m_settings.self;
    (void)m_ownership.on(ownership_event::claim_won);
    m_counters.get("takeovers_total").add();
    m_fleet.begin(now, epoch, m_journal.table().workers());
    m_runner.begin(now, epoch);
    m_next_log_check = now + m_settings.log_check;
    update_quorums();
    report_ownership_change("claim_won");
}

void shard_engine::step_down(common::time_point now, std::string_view reason) {
    if (m_ownership.state() == ownership_state::adopting || m_runner.recovering()) {
        m_failed_claims = std::min(m_failed_claims + 1, max_claim_doublings);
    }
    if (!m_ownership.on(ownership_event::fenced)) {
        return;
    }
    m_counters.get("step_downs_total", "reason", reason).add();
    fail_calls(m_journal.discard_pending());
    m_fleet.end();
    m_runner.end();
    m_workers_tag.reset();
    m_release_tag.reset();
    m_owner_last_heard = now;
    report_ownership_change(reason);
}

/// Any record of another owner ends the ownership, even if it was read without a write conflict.
void shard_engine::check_fence(common::time_point now) {
    if (m_ownership.owns() && !m_release_tag && m_journal.table().epoch() != m_epoch) {
        m_known_epoch = m_journal.table().epoch();
        m_owner_hint = m_journal.table().owner();
        step_down(now, "log");
    }
}

void shard_engine::check_log(common::time_point now) {
    if (now >= m_next_log_check) {
        m_next_log_check = now + m_settings.log_check;
        m_journal.check_next(now);
    }
}

/// A successor may have had the acceptance of a worker that has restarted since. Its record is in
/// the log then.
void shard_engine::check_restarted_workers(common::time_point now) {
    if (!m_fleet.has_unconfirmed_restarts()) {
        return;
    }
    m_fleet.confirm_restarts(m_journal.unchanged_at());
    if (m_fleet.has_unconfirmed_restarts()) {
        m_journal.check_next(now);
    }
}

void shard_engine::check_majority(common::time_point now) {
    if (m_ownership.state() != ownership_state::adopting) {
        return;
    }
    if (!is_logged_set_gone() && !m_fleet.has_authority(now)) {
        return;
    }
    (void)m_ownership.on(ownership_event::majority);
    m_former_authority_end = now;
    if (m_replaces_owner) {
        m_former_authority_end += with_drift(m_settings.fleet.authority, m_settings.fleet.lease);
    }
    m_runner.set_recovery_bound(
        now + with_drift(m_settings.fleet.authority + m_settings.fleet.lease.lease,
                         m_settings.fleet.lease));
    report_ownership_change("majority");
}

/// A former owner has no authority either, because its majorities are counted over the same set,
/// and none of its tasks still runs. Waiting for a majority would never end: an empty set has none,
/// and other workers are logged only after the recovery.
bool shard_engine::is_logged_set_gone() const {
    const auto& workers = m_journal.table().workers();
    return std::all_of(workers.begin(), workers.end(),
                       [&](const std::string& worker) { return m_fleet.gone(worker); });
}

bool shard_engine::may_report_quotas(common::time_point now) {
    if (m_ownership.state() != ownership_state::active || recovering() ||
        now < m_former_authority_end) {
        return false;
    }
    return m_journal.table().workers().empty() || m_fleet.has_authority(now);
}

/// The worker set changes only after recovery, which relies on the set at the take-over.
void shard_engine::check_worker_set() {
    update_quorums();
    if (m_ownership.state() != ownership_state::active || m_runner.recovering() || m_workers_tag) {
        return;
    }
    if (logged_set_is_present()) {
        return;
    }
    m_pending_workers = m_fleet.present();
    m_workers_tag = m_journal.add(workers_entry{
        std::vector<std::string>(m_pending_workers.begin(), m_pending_workers.end())});
    update_quorums();
}

/// The sets are large and change rarely; they are compared only after one of them has changed.
bool shard_engine::logged_set_is_present() {
    if (m_present_versions == versions()) {
        return true;
    }
    if (m_fleet.present() != m_journal.table().workers()) {
        return false;
    }
    m_present_versions = versions();
    return true;
}

shard_engine::set_versions shard_engine::versions() const {
    return {m_fleet.presence_version(), m_journal.table().workers_version(), m_workers_tag};
}

/// Workers that are gone have terminated and cannot accept an epoch, so they are not counted. While
/// a change of the worker set is being written, another scheduler may already count its majority
/// over either the old or the new set, so a majority of both is required.
void shard_engine::update_quorums() {
    if (m_quorum_versions == versions()) {
        return;
    }
    m_quorum_versions = versions();
    const auto without_gone = [&](std::set<std::string> workers) {
        std::erase_if(workers, [&](const std::string& worker) { return m_fleet.gone(worker); });
        return workers;
    };
    auto logged = without_gone(m_journal.table().workers());
    auto pending = m_workers_tag ? without_gone(m_pending_workers) : logged;
    m_fleet.set_quorums(std::move(logged), std::move(pending));
}

void shard_engine::drain(common::time_point /*now*/) {
    m_draining = true;
    if (m_ownership.on(ownership_event::drain_started)) {
        report_ownership_change("drain");
    }
}

void shard_engine::check_release() {
    const bool stepping_down = m_ownership.state() == ownership_state::stepping_down;
    if (!stepping_down || m_release_tag || !m_journal.idle()) {
        return;
    }
    const auto& workers = m_journal.table().workers();
    m_release_tag =
        m_journal.add(owner_entry{"", std::vector<std::string>(workers.begin(), workers.end())});
}

void shard_engine::report_ownership_change(std::string_view reason) {
    m_actions.emplace_back(ownership_changed{m_ownership.state(), m_epoch, reason});
}

// Journal and fleet.

void shard_engine::on_entry_written(common::time_point now, const entry_written& written) {
    m_next_log_check = now + m_settings.log_check;
    if (m_claim_tag == written.tag) {
        take_over(now, written.number);
        return;
    }
    if (m_release_tag == written.tag) {
        m_release_tag.reset();
        (void)m_ownership.on(ownership_event::released);
        m_fleet.end();
        m_runner.end();
        m_known_epoch = written.number;
        m_owner_hint.clear();
        report_ownership_change("released");
        return;
    }
    if (m_workers_tag == written.tag) {
        m_workers_tag.reset();
        update_quorums();
        for (const auto& worker : m_journal.table().workers()) {
            m_runner.on_worker_changed(now, worker);
        }
        return;
    }
    if (!m_runner.on_written(now, written.tag)) {
        finish_call(now, written.tag);
    }
}

void shard_engine::on_append_conflict(common::time_point now, const append_conflict& conflict) {
    if (m_ownership.state() == ownership_state::claiming) {
        abandon_claim(now);
        return;
    }
    m_known_epoch = std::max(m_known_epoch, m_journal.table().epoch());
    m_owner_hint = m_journal.table().owner();
    if (!conflict.undetermined) {
        fail_calls({});
    } else {
        fail_calls(conflict.tags);
    }
    step_down(now, "log");
}

bool shard_engine::process_journal_events(common::time_point now) {
    const auto events = m_journal.take_events(now);
    for (const auto& event : events) {
        std::visit(common::overloaded{
                       [&](const store::store_call& call) { m_actions.emplace_back(call); },
                       [&](const journal_loaded&) { on_journal_loaded(now); },
                       [&](const entry_written& written) { on_entry_written(now, written); },
                       [&](const append_conflict& conflict) { on_append_conflict(now, conflict); },
                   },
                   event);
    }
    check_fence(now);
    return !events.empty();
}

bool shard_engine::process_fleet_events(common::time_point now) {
    const auto events = m_fleet.take_events();
    for (const auto& event : events) {
        on_fleet_event(now, event);
    }
    return !events.empty();
}

void shard_engine::on_fleet_event(common::time_point now, const fleet_event& event) {
    std::visit(
        common::overloaded{
            [&](const adopt_call& call) { m_actions.emplace_back(call); },
            [&](const sync_call& call) { m_actions.emplace_back(call); },
            [&](const events_call& call) { m_actions.emplace_back(call); },
            [&](const worker_adopted& e) { m_runner.on_inventory(now, e); },
            [&](const operation_completed& e) { m_runner.on_operation(now, e); },
            [&](const attempt_reported& e) { m_runner.on_attempt(now, e.worker, e.attempt); },
            [&](const usage_received& e) { m_runner.on_usage(now, e.worker, e.usage); },
            [&](const leases_lapsed& e) { m_runner.on_lapsed(now, e); },
            [&](const worker_changed& e) { m_runner.on_worker_changed(now, e.worker); },
            [&](const epoch_fenced& e) {
                m_known_epoch = std::max(m_known_epoch, e.accepted_epoch);
                step_down(now, "worker");
            },
        },
        event);
}

void shard_engine::on_time(common::time_point now) {
    m_journal.on_time(now);
    check_owner_timeout(now);
    if (m_ownership.owns()) {
        check_log(now);
        check_restarted_workers(now);
    }
    bool again = true;
    while (again) {
        again = process_journal_events(now);
        if (m_ownership.owns()) {
            check_worker_set();
            check_majority(now);
            // Responses that have arrived are processed before the runner handles timeouts.
            again = process_fleet_events(now) || again;
            const bool may_start =
                m_ownership.state() == ownership_state::active && m_fleet.has_authority(now);
            m_runner.on_time(now, may_start);
            if (m_ownership.state() == ownership_state::active && !recovering()) {
                m_failed_claims = 0;
            }
            m_fleet.on_time(now);
            again = process_fleet_events(now) || again;
            check_release();
        }
    }
    check_call_deadlines(now);
}

std::optional<common::time_point> shard_engine::next_wakeup(common::time_point now) const {
    std::optional<common::time_point> next = m_journal.next_wakeup();
    const auto earlier = [&](std::optional<common::time_point> t) {
        if (t) {
            next = std::min(next.value_or(*t), *t);
        }
    };
    if (m_ownership.owns()) {
        earlier(m_next_log_check);
        earlier(m_fleet.next_wakeup());
        earlier(m_runner.next_wakeup(now));
    } else if (m_ownership.state() == ownership_state::standby && m_owner_last_heard &&
               !m_draining) {
        earlier(claim_time());
    }
    earlier(m_calls.next_deadline());
    return next;
}

std::vector<shard_action> shard_engine::take_actions() {
    return std::exchange(m_actions, {});
}

} // namespace buckthornspar::scheduling
