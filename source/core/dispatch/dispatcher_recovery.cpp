#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Size of the range of run numbers of a task that each term uses when runs of its predecessor may
// be unreported. Larger than the number of restarts of a task in one term.
constexpr std::uint32_t runs_per_term = 32;

// Incarnation of the worker (its start time) to be recorded. A successor that finds another
// incarnation than the recorded one does not know what ran there. With uncertain runs this also
// holds for the current incarnation, so 0 is recorded.
std::int64_t recorded_incarnation(const worker_entry& worker) {
    return worker.has_uncertain_runs() ? 0 : worker.report.start_time_ms;
}

// One unknown amount makes the sum unknown.
void add_unreported(placement::resources& sum, const std::optional<placement::resources>& amount) {
    constexpr placement::resources any_amount{customers::unlimited, customers::unlimited,
                                              customers::unlimited};
    sum = !amount || sum == any_amount ? any_amount : sum + *amount;
}

// Names of the workers, of the first ones only so that the line stays short.
std::string list_names(const std::set<std::string>& workers) {
    constexpr std::size_t most = 8;
    std::string text;
    std::size_t count = 0;
    for (const auto& id : workers) {
        if (++count > most) {
            return text + ",...";
        }
        text += (count == 1 ? "" : ",") + id;
    }
    return text;
}

} // namespace

void dispatcher::take_over(common::time_point now, std::uint64_t fence,
                           const std::string& recorded_workers) {
    m_fence = fence;
    m_taken_over_at = now;
    m_recovery_checked_at = now;
    m_key_seen_at = now;
    m_without_authority_since = now;
    m_last_start_at = now;
    worker_record record;
    try {
        record = read_worker_record(recorded_workers);
    } catch (const common::format_error& e) {
        log_event(severity::error, "worker_record_unreadable", {{"reason", e.what()}});
        // Any worker may hold runs.
        m_unreported_runs_possible = true;
        for (const auto& entry : m_workers.all()) {
            record.workers.push_back(entry.second.report);
        }
    }
    m_term = record.term + 1;
    m_unreported_runs_possible |= record.unreported_runs;
    m_former_quorum = record.quorum_or_all();
    m_stored_quorum = m_former_quorum;
    m_keeps_former_quorum = !m_former_quorum.empty();
    if (record.owners) {
        m_former_owners_known = true;
        m_former_owners = *record.owners;
        // An earlier term of this process, or of one before it at this address.
        m_former_owners.erase(m_settings.owner);
    }
    for (const auto& report : record.workers) {
        m_proven_workers.insert(report.id);
        const bool unresponsive = record.unresponsive_workers.contains(report.id);
        const auto wait = record.remaining_waits.find(report.id);
        const bool wait_recorded = wait != record.remaining_waits.end();
        if (wait_recorded) {
            m_stored_waits.insert(report.id);
        } else if (!unresponsive) {
            m_recorded_workers.insert(report.id);
        }
        (unresponsive ? m_unresponsive_workers : m_unadopted).insert(report.id);
        auto* known = m_workers.find(report.id);
        if (known == nullptr) {
            m_workers.upsert(now, report);
            m_workers.set_unlisted(now, report.id);
            known = m_workers.find(report.id);
            schedule_poll(*known, now);
        }
        const bool restarted = known->report.start_time_ms != report.start_time_ms;
        m_unreported_runs_possible |= restarted;
        if (wait_recorded && !restarted) {
            m_recorded_wait_ends[report.id] = now + longest(wait->second);
        } else {
            m_workers.assume_lease(*known, now);
        }
    }
    m_jobs_on_unresponsive_workers = record.jobs_on_unresponsive_workers;
    m_customers_on_unresponsive_workers = record.customers_on_unresponsive_workers;
    for (auto& recorded : record.suspects) {
        m_recorded_suspects[recorded.suspect.run.task.job].push_back(std::move(recorded));
    }
    m_recovered = false;
    note_all_waiting();
    m_workers_dirty = true;
    m_quorum_outdated = true;
    m_former_authority_end = common::time_point::max();
    update_former_authority_end(now);
    log_event(severity::info, "owner_begins",
              {{"fence", fence},
               {"jobs", m_jobs.size()},
               {"workers", m_workers.all().size()},
               {"may_hold_runs", m_unadopted.size()},
               {"silent", m_unresponsive_workers.size()},
               {"jobs_on_silent", m_jobs_on_unresponsive_workers.size()}});
}

// While a former owner may have a majority of the workers in the record that this owner read, the
// next successor has to count over them, too, whatever workers this owner has recorded.
bool dispatcher::is_recordable(const worker_entry& worker) const {
    const auto& id = worker.report.id;
    return m_proven_workers.contains(id) &&
           (worker.may_hold_runs() || (m_keeps_former_quorum && m_former_quorum.contains(id)));
}

worker_record dispatcher::make_worker_record() const {
    worker_record record;
    record.term = m_term;
    record.unreported_runs = m_unreported_runs_possible;
    for (const auto& [id, worker] : m_workers.all()) {
        if (is_recordable(worker)) {
            record.workers.push_back(worker.report);
            record.workers.back().start_time_ms = recorded_incarnation(worker);
        }
        if (has_recordable_wait(worker)) {
            const auto end = std::max(former_runs_end(id), worker.lease_end);
            record.remaining_waits[id] = std::max(common::duration(0), end - m_recovery_checked_at);
        }
        if (is_unresponsive(worker)) {
            record.unresponsive_workers.insert(id);
            for (const auto& [run, placed] : worker.runs) {
                record.jobs_on_unresponsive_workers.insert(run.task.job);
                if (placed.customer != customers::no_customer) {
                    record.customers_on_unresponsive_workers.insert(
                        m_workers.usage().name(placed.customer));
                }
            }
            if (worker.ends_received > worker.ends_saved) {
                // A successor cannot read ended runs that are not in the store yet.
                record.jobs_on_unresponsive_workers.insert(m_save_round.begin(),
                                                           m_save_round.end());
                record.jobs_on_unresponsive_workers.insert(m_dirty_jobs.begin(),
                                                           m_dirty_jobs.end());
            }
        }
    }
    record.jobs_on_unresponsive_workers.insert(m_jobs_on_unresponsive_workers.begin(),
                                               m_jobs_on_unresponsive_workers.end());
    record.customers_on_unresponsive_workers.insert(m_customers_on_unresponsive_workers.begin(),
                                                    m_customers_on_unresponsive_workers.end());
    record_suspects(record);
    if (!m_settings.owner.empty() && (!m_keeps_former_quorum || m_former_owners_known)) {
        record.owners = {m_settings.owner};
        if (m_keeps_former_quorum) {
            record.owners->insert(m_former_owners.begin(), m_former_owners.end());
        }
    }
    if (m_keeps_former_quorum && record.workers.size() > m_former_quorum.size()) {
        record.quorum = m_former_quorum;
    }
    return record;
}

bool dispatcher::is_unresponsive(const worker_entry& worker) const {
    return m_unresponsive_workers.contains(worker.report.id) || (worker.known && !worker.reachable);
}

bool dispatcher::may_have_unreported_runs(const job_entry& job) const {
    return job.revision < m_fence &&
           (!m_recovered || m_jobs_on_unresponsive_workers.contains(job.spec.id));
}

// Jobs that were accepted after the take-over may start at once, but not above the cap of their
// customer: what a former owner started on a worker is unknown until the worker has answered, or
// until such runs have certainly ended. Until then its whole capacity counts. So does what stray
// runs may take, which end within the time of a stop.
customers::unreported_runs dispatcher::find_unreported_runs() {
    customers::unreported_runs runs;
    if (!m_workers.usage().any_caps()) {
        return runs;
    }
    for (const auto& [id, run] : m_pending_stops) {
        const auto* const worker = m_workers.find(id);
        if (worker != nullptr && m_workers.is_of_unknown_demand(*worker, run)) {
            add_unreported(runs.of_anybody, m_workers.unknown_usage(*worker));
        }
    }
    const auto add_workers = [&](placement::resources& sum, const std::set<std::string>& ids) {
        for (const auto& id : ids) {
            const auto* const worker = m_workers.find(id);
            if (worker != nullptr && !worker->adopted && m_key_seen_at <= former_runs_end(id)) {
                add_unreported(sum, m_workers.unknown_usage(*worker));
            }
        }
    };
    if (!m_recovered) {
        add_workers(runs.of_anybody, m_unadopted);
    }
    if (m_jobs_on_unresponsive_workers.empty()) {
        return runs;
    }
    add_workers(m_recovered ? runs.of_some : runs.of_anybody, m_unresponsive_workers);
    for (const auto& name : m_customers_on_unresponsive_workers) {
        runs.some.insert(m_workers.usage().open_account(name));
    }
    // Records of earlier versions name no customers.
    for (const auto& id : m_jobs_on_unresponsive_workers) {
        if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
            runs.some.insert(job->second.customer);
        }
    }
    return runs;
}

void dispatcher::log_adoption(common::time_point now, const worker_entry& worker,
                              const poll_result& result, bool through_peer) const {
    log_event(severity::info, "worker_adopted",
              {{"worker", worker.report.id},
               {"fence", m_fence},
               {"running", result.running.size()},
               {"ended", result.ended.size()},
               {"through_peer", through_peer ? 1 : 0},
               {"listed", worker.listed ? 1 : 0},
               {"term_ms", common::to_milliseconds(now - m_taken_over_at)}});
}

void dispatcher::skip_possible_run_numbers(job_entry& job) const {
    // Runs that no worker reported may have existed. Their numbers are not reused, neither by this
    // owner nor by a later one that does not learn of the runs of this term.
    job.possible_runs = std::max(job.possible_runs, m_term * runs_per_term);
}

// The wait for former leases does not cover these workers: their runs ended by themselves, and the
// lease that this owner renews keeps the ends valid. A worker whose lease has lapsed is no longer
// waited for.
bool dispatcher::is_any_partly_listed(common::time_point now,
                                      const std::set<std::string>& workers) const {
    return std::any_of(workers.begin(), workers.end(), [&](const std::string& id) {
        const auto* const worker = m_workers.find(id);
        return worker != nullptr && worker->answered && !worker->adopted &&
               (worker->reachable || now <= worker->lease_end);
    });
}

void dispatcher::log_recovery(common::time_point now) {
    if (m_jobs.empty() || !m_recovery_log.is_due(m_taken_over_at, now)) {
        return;
    }
    log_event(severity::warning, "recovery_waits",
              {{"fence", m_fence},
               {"unadopted", m_unadopted.size()},
               {"unadopted_workers", list_names(m_unadopted)},
               {"silent", m_unresponsive_workers.size()},
               {"silent_workers", list_names(m_unresponsive_workers)},
               {"jobs", m_jobs.size()},
               {"jobs_on_silent", m_jobs_on_unresponsive_workers.size()},
               {"term_ms", common::to_milliseconds(now - m_taken_over_at)},
               {"former_end_ms", common::to_milliseconds(m_former_authority_end - now)}});
}

// This owner starts nothing on a worker that has not answered it, so that no job can have runs
// there any more. Its successors must not wait for the worker again: it may stay silent and listed,
// and owners may change more often than such a wait takes.
void dispatcher::give_up_unadopted() {
    m_workers_dirty |= !m_unadopted.empty();
    m_unresponsive_workers.merge(m_unadopted);
    m_unadopted.clear();
}

common::time_point dispatcher::former_runs_end(const std::string& worker) const {
    const auto end = former_leases_end();
    const auto recorded = m_recorded_wait_ends.find(worker);
    return recorded == m_recorded_wait_ends.end() ? end : std::min(end, recorded->second);
}

bool dispatcher::former_runs_over(common::time_point now,
                                  const std::set<std::string>& workers) const {
    return std::all_of(workers.begin(), workers.end(),
                       [&](const std::string& id) { return now > former_runs_end(id); });
}

// Until its second poll has failed, a worker may be sent a lease.
bool dispatcher::has_recordable_wait(const worker_entry& worker) const {
    const auto& id = worker.report.id;
    return !worker.answered && (!worker.reachable || is_wait_recorded(id)) &&
           (m_unadopted.contains(id) ||
            (!m_jobs_on_unresponsive_workers.empty() && m_unresponsive_workers.contains(id)));
}

void dispatcher::check_recovery(common::time_point now) {
    m_recovery_checked_at = now;
    update_former_authority_end(now);
    if (m_keeps_former_quorum && is_former_quorum_settled(now)) {
        m_keeps_former_quorum = false;
        m_workers_dirty = true;
    }
    if (m_recovered && m_jobs_on_unresponsive_workers.empty()) {
        return;
    }
    log_recovery(now);
    const bool waits_recorded = !m_stored_waits.empty() || !m_pending_waits.empty();
    m_workers_dirty |= waits_recorded && now >= m_waits_due;
    // Until the store has shown the key after that, a successor may have adopted the runs and have
    // renewed their leases.
    if (!m_recovered && m_term_recorded && former_runs_over(m_key_seen_at, m_unadopted) &&
        !is_any_partly_listed(m_key_seen_at, m_unadopted)) {
        m_recovered = true;
        m_replan_needed = true;
        note_all_waiting();
        m_unreported_runs_possible |= !m_unadopted.empty();
        for (auto& entry : m_jobs) {
            if (entry.second.revision < m_fence && m_unreported_runs_possible) {
                skip_possible_run_numbers(entry.second);
            }
        }
        log_event(severity::info, "recovered",
                  {{"fence", m_fence},
                   {"unadopted", m_unadopted.size()},
                   {"unadopted_workers", list_names(m_unadopted)},
                   {"silent", m_unresponsive_workers.size()},
                   {"jobs", m_jobs.size()},
                   {"term_ms", common::to_milliseconds(now - m_taken_over_at)},
                   {"former_end_ms", common::to_milliseconds(m_former_authority_end - now)}});
        give_up_unadopted();
    }
    if (m_recovered && !m_jobs_on_unresponsive_workers.empty() &&
        former_runs_over(m_key_seen_at, m_unresponsive_workers) &&
        !is_any_partly_listed(m_key_seen_at, m_unresponsive_workers)) {
        for (const auto& id : m_jobs_on_unresponsive_workers) {
            if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
                skip_possible_run_numbers(job->second);
            }
        }
        log_event(severity::info, "silent_workers_settled",
                  {{"unanswered", m_unresponsive_workers.size()},
                   {"unanswered_workers", list_names(m_unresponsive_workers)},
                   {"jobs", m_jobs_on_unresponsive_workers.size()}});
        m_unreported_runs_possible |= !m_unresponsive_workers.empty();
        m_jobs_on_unresponsive_workers.clear();
        m_customers_on_unresponsive_workers.clear();
        note_all_waiting();
        m_workers_dirty = true;
        m_replan_needed = true;
    }
}

} // namespace buckthornspar::dispatch
