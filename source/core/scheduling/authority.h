#pragma once

#include "core/common/due_queue.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace buckthornspar::scheduling {

/// Whether a majority of the shard's workers has accepted the owner's epoch recently, in each of
/// two sets of workers. Acceptance counts from the time the message was sent: the worker accepted
/// it after that, so that a majority that has since accepted a higher epoch ends this owner's
/// authority within the stated time.
class authority {
public:
    explicit authority(common::duration validity) : m_validity(validity) {}

    /// The sets over each of which a majority is needed; they are kept over clear(). A set without
    /// workers gives no authority.
    void set_quorums(std::set<std::string> logged, std::set<std::string> pending);

    void record_acceptance(const std::string& worker, common::time_point sent_at);

    /// The time must not go back from one call to the next.
    [[nodiscard]] bool held(common::time_point now);

    /// Forgets the acceptances.
    void clear();

private:
    struct quorum {
        std::set<std::string> workers;
        /// Number of the workers whose acceptance is valid.
        std::size_t recent = 0;
    };

    void count(const std::string& worker, int change);

    common::duration m_validity;
    std::array<quorum, 2> m_quorums;
    /// Newest acceptance of each worker.
    std::map<std::string, common::time_point> m_accepted;
    /// Ends of the acceptances that are counted. Counting each once when it begins and ends keeps
    /// held() from walking all workers.
    common::due_queue<std::string> m_valid_until;
};

} // namespace buckthornspar::scheduling
