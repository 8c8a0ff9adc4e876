#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <string_view>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

bool dispatcher::has_authority(common::time_point now) {
    if (m_quorum_outdated) {
        update_quorum();
    }
    return m_authority.is_held(now) && now < m_key_seen_at + m_settings.key_absence;
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

bool dispatcher::may_renew(common::time_point now) {
    return has_authority(now) || now < m_key_seen_at + m_settings.key_validity;
}

// A former owner that has lost its majority sends no orders after its authority has expired. Runs
// that it started or renewed until then end with their lease. While this owner has no majority, the
// former one may have one; its authority then ends because it does not see its key.
bool dispatcher::former_leases_over(common::time_point now) const {
    const auto lease = m_settings.leases.lease;
    const auto authority_end =
        m_majority_at ? *m_majority_at + m_settings.authority
                      : m_taken_over_at + m_settings.key_absence + m_settings.key_validity;
    return now > authority_end + lease + lease / 20;
}

} // namespace buckthornspar::dispatch
