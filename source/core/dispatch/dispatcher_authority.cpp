#include "core/common/logging.h"
#include "core/dispatch/dispatcher.h"

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

bool dispatcher::has_authority(common::time_point now) {
    if (m_quorum_outdated) {
        update_quorum();
    }
    return m_authority.is_held(now) && now < m_key_seen_at + m_settings.key_absence;
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

void dispatcher::log_authority_change(common::time_point now) {
    const bool held = has_authority(now);
    if (held == m_authority_logged) {
        return;
    }
    m_authority_logged = held;
    std::size_t reachable = 0;
    for (const auto& entry : m_workers.all()) {
        reachable += entry.second.adopted && entry.second.reachable ? 1U : 0U;
    }
    log_event(held ? severity::info : severity::warning, held ? "authority_held" : "authority_lost",
              {{"fence", m_fence},
               {"reachable", reachable},
               {"workers", m_workers.all().size()},
               {"quorum", m_stored_quorum.size()}});
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
