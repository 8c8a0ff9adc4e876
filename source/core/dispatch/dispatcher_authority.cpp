#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <string_view>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

common::duration dispatcher::longest(common::duration time) {
    return time + time / 20;
}

// The record names the owner to its successors, which take an owner that is not in it for one that
// orders with a view of its key only.
bool dispatcher::has_authority(common::time_point now) {
    const auto reach = quorum_reach(now);
    return m_term_recorded &&
           now < m_key_seen_at + allowed_key_absence(reach.accepted, reach.workers);
}

common::duration dispatcher::allowed_key_absence(std::size_t accepting, std::size_t workers) const {
    if (accepting * 2 <= workers) {
        return {};
    }
    return accepting * 4 > workers * 3 ? m_settings.key_absence : m_settings.short_key_absence;
}

scheduling::authority::reach dispatcher::quorum_reach(common::time_point now) {
    if (m_quorum_outdated) {
        update_quorum();
    }
    return m_authority.smaller_reach(now);
}

// The majorities of an owner and its successor have a worker in common only when both count over
// the same set: that of the stored record. Until the store has answered, either record may be the
// one that a successor reads.
void dispatcher::update_quorum() {
    m_quorum_outdated = false;
    m_authority.set_quorums(m_stored_quorum, m_pending_quorum.value_or(m_stored_quorum));
}

bool dispatcher::counts_towards_quorum(const std::string& worker) const {
    return m_stored_quorum.contains(worker) ||
           (m_pending_quorum && m_pending_quorum->contains(worker));
}

// A restarted worker has forgotten all fences, also that of a successor. None existed while the
// store showed this owner's key.
void dispatcher::record_acceptance(const std::string& worker, common::time_point sent_at) {
    const auto noticed = m_unconfirmed_incarnations.find(worker);
    if (noticed != m_unconfirmed_incarnations.end()) {
        if (m_key_seen_at <= noticed->second) {
            return;
        }
        m_unconfirmed_incarnations.erase(noticed);
    }
    m_authority.record_acceptance(worker, sent_at);
}

void dispatcher::log_authority(common::time_point now) {
    const bool held = has_authority(now);
    const bool changed = held != m_authority_logged;
    if (changed) {
        m_authority_logged = held;
        m_without_authority_since = now;
    }
    const bool missing =
        !held && !m_jobs.empty() && m_missing_authority_log.is_due(m_without_authority_since, now);
    if (!changed && !missing) {
        return;
    }
    const auto reachable =
        std::count_if(m_workers.all().begin(), m_workers.all().end(), [](const auto& entry) {
            return entry.second.adopted && entry.second.reachable;
        });
    const auto reach = quorum_reach(now);
    std::string_view event = "authority_missing";
    if (changed) {
        event = held ? "authority_held" : "authority_lost";
    }
    log_event(held ? severity::info : severity::warning, event,
              {{"fence", m_fence},
               {"reachable", reachable},
               {"workers", m_workers.all().size()},
               {"accepted", reach.accepted},
               {"quorum", reach.workers},
               {"jobs", m_jobs.size()},
               {"term_ms", common::to_milliseconds(now - m_taken_over_at)}});
}

// A successor claims the key, so that the permission by the key ends for an owner whose workers are
// gone as it does for one whose majority has accepted another fence. A quorum alone would leave no
// owner with permission once the workers of the record are gone.
bool dispatcher::may_order(common::time_point now) {
    return now < m_key_seen_at + m_settings.key_validity || has_authority(now);
}

// The workers that accept this owner's fence refuse the orders of its predecessors, and what these
// accepted before counts for no longer than the validity. The others may all obey one of them: then
// its authority ends because it does not see its key, or its process has ended.
void dispatcher::update_former_authority_end(common::time_point now) {
    const auto reach = quorum_reach(now);
    const bool all_ended = m_former_owners_known && m_former_owners.empty();
    const auto others = all_ended ? 0 : reach.workers - reach.accepted;
    const auto absence = allowed_key_absence(others, reach.workers);
    const auto key_unseen =
        absence.count() == 0 ? now : m_taken_over_at + longest(absence) + m_settings.key_validity;
    m_former_authority_end =
        std::min(m_former_authority_end, std::max(now + m_settings.authority, key_unseen));
}

// Runs that a former owner started or renewed at the end of its authority end with their lease.
common::time_point dispatcher::former_leases_end() const {
    return m_former_authority_end + longest(m_settings.leases.lease);
}

} // namespace buckthornspar::dispatch
