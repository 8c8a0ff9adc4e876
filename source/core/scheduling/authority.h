#pragma once

#include "core/common/due_queue.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace buckthornspar::scheduling {

/// Tracks whether a majority of each of two worker sets has recently accepted the owner's epoch. An
/// acceptance is valid from the time its request was sent, which is no later than the worker's
/// acceptance. If a majority accepts a higher epoch, this owner's authority therefore ends within
/// the validity.
class authority {
public:
    explicit authority(common::duration validity) : m_validity(validity) {}

    /// Sets the two sets in each of which a majority is required; clear() keeps them. An empty set
    /// never has a majority.
    void set_quorums(std::set<std::string> logged, std::set<std::string> pending);

    void record_acceptance(const std::string& worker, common::time_point sent_at);

    /// Workers of a set, and those of them with a valid acceptance.
    struct reach {
        std::size_t accepted = 0;
        std::size_t workers = 0;
    };

    /// The time must not decrease from one call to the next.
    [[nodiscard]] bool is_held(common::time_point now);
    /// The reach in the set of which the smaller share has accepted; the time as in is_held().
    [[nodiscard]] reach smaller_reach(common::time_point now);

    /// A majority of each set has accepted the epoch in requests sent at this time or later, so
    /// that no higher epoch had a majority before it. Empty if no majority ever accepted it.
    [[nodiscard]] std::optional<common::time_point> sole_majority_until() const;

    /// Removes all acceptances.
    void clear();

private:
    struct quorum {
        std::set<std::string> workers;
        /// Number of workers with a valid acceptance.
        std::size_t recent = 0;
    };

    void count(const std::string& worker, int change);
    void expire(common::time_point now);

    common::duration m_validity;
    std::array<quorum, 2> m_quorums;
    /// Newest acceptance of each worker.
    std::map<std::string, common::time_point> m_accepted;
    /// Expiry times of the counted acceptances. Each is counted when it begins and ends, so that
    /// is_held() does not iterate over all workers.
    common::due_queue<std::string> m_valid_until;
};

} // namespace buckthornspar::scheduling
