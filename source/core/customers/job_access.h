#pragma once

#include <optional>
#include <string>

namespace buckthornspar::customers {

/// Whose job it is.
struct job_origin {
    std::string queue;
    /// Empty for a job that was submitted without a key.
    std::string customer;

    bool operator==(const job_origin&) const = default;
};

/// On whose behalf a call is made.
struct job_access {
    /// The customer that the key of the call identifies; absent when the calls need no key.
    std::optional<std::string> customer;
    /// The queue of the call when it is open to everybody; empty otherwise.
    std::string open_queue;
};

/// Whether a call may read or cancel the job. Jobs without a customer are open to all calls.
[[nodiscard]] bool may_reach(const job_access& access, const job_origin& job);

} // namespace buckthornspar::customers
