#pragma once

#include "core/common/clock.h"

#include <map>
#include <set>
#include <string>

namespace buckthornspar::scheduling {

/// Whether a majority of the shard's workers has accepted the owner's epoch recently. Acceptance
/// counts from the time the message was sent: the worker accepted it after that, so that a majority
/// that has since accepted a higher epoch ends this owner's authority within the stated time.
class authority {
public:
    explicit authority(common::duration validity) : m_validity(validity) {}

    void note_accepted(const std::string& worker, common::time_point sent_at);

    /// A set without workers gives no authority.
    [[nodiscard]] bool held(common::time_point now, const std::set<std::string>& workers) const;

    void clear() { m_accepted.clear(); }

private:
    common::duration m_validity;
    std::map<std::string, common::time_point> m_accepted;
};

} // namespace buckthornspar::scheduling
