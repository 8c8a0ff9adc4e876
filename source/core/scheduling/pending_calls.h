#pragma once

#include "core/common/due_queue.h"
#include "core/scheduling/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::scheduling {

/// A submission or cancellation whose entry is being written.
struct pending_call {
    std::string job;
    bool cancel = false;
    job_spec spec;
    /// Tickets of the callers waiting for the entry, with their deadlines.
    std::map<std::uint64_t, common::time_point> tickets;
};

/// Callers of one pending call whose deadlines have passed.
struct expired_callers {
    std::uint64_t tag = 0;
    std::vector<std::uint64_t> tickets;
};

/// Calls waiting for the log, by the tag of their entry. Each job has at most one pending
/// submission and one pending cancellation.
class pending_calls {
public:
    void add(std::uint64_t tag, pending_call call);
    /// Adds another caller that waits for the same entry.
    void join(std::uint64_t tag, std::uint64_t ticket, common::time_point deadline);

    /// Returns the tag of the job's pending submission or cancellation.
    [[nodiscard]] std::optional<std::uint64_t> find(const std::string& job, bool cancel) const;
    /// Number of the team's pending submissions.
    [[nodiscard]] std::size_t submissions(const std::string& team) const;
    /// Throws std::out_of_range for an unknown tag.
    [[nodiscard]] const pending_call& operator[](std::uint64_t tag) const {
        return m_calls.at(tag);
    }

    /// Removes and returns the call; empty if there is none.
    [[nodiscard]] std::optional<pending_call> take(std::uint64_t tag);
    [[nodiscard]] std::map<std::uint64_t, pending_call> take_all();

    /// Removes and returns the callers whose deadlines have passed, in the order of the tags. A
    /// call remains even if it has no callers left.
    [[nodiscard]] std::vector<expired_callers> take_expired(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_deadline() const {
        return m_deadlines.next();
    }

private:
    void update_deadline(std::uint64_t tag);
    void forget_submission(const std::string& team);

    std::map<std::uint64_t, pending_call> m_calls;
    /// Tags by job id and whether the call is a cancellation.
    std::map<std::pair<std::string, bool>, std::uint64_t> m_tags;
    std::map<std::string, std::size_t> m_submissions_by_team;
    /// Earliest deadline of each call that has callers.
    common::due_queue<std::uint64_t> m_deadlines;
};

} // namespace buckthornspar::scheduling
