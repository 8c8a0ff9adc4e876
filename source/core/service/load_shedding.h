#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatcher.h"

#include <cstddef>

namespace buckthornspar::service {

/// What shows within a second that an owner falls behind.
struct load_signals {
    /// Ages of what the owner knows of the jobs and of the workers' entries.
    common::duration jobs_age{0};
    common::duration list_age{0};
    common::duration loop_delay{0};
    /// As many starts have no response as the link carries.
    bool starts_limited = false;
    /// The ages grow because the store does not answer.
    bool store_down = false;
};

/// Decides what an owner leaves out when it can carry the fleet only in part. In this order:
/// level 1, polls of busy workers wait longer for ends of runs; level 2, fewer ticket requests at a
/// time while starts wait for the link anyway. Renewals of leases and the polls of idle workers
/// stay as they are, because leases and the owner's authority need them.
class load_shedding {
public:
    /// With enabled false the level stays 0.
    explicit load_shedding(bool enabled) : m_enabled(enabled) {}

    /// Called once a second; returns whether the level has changed.
    bool on_window(const load_signals& signals);

    [[nodiscard]] unsigned level() const { return m_level; }
    /// See dispatcher_settings::poll_wait.
    [[nodiscard]] common::duration poll_wait(common::duration usual) const;
    /// Ticket requests without a response that are permitted while starts wait for the link; 0 for
    /// no limit.
    [[nodiscard]] std::size_t max_ticket_requests() const;
    /// The slots that remain with so many requests without a response. starts_wait: the starts
    /// without a response take half of what the link carries or more.
    [[nodiscard]] dispatch::advice_slots
    limit(dispatch::advice_slots slots, std::size_t pending_requests, bool starts_wait) const;

private:
    bool m_enabled;
    unsigned m_level = 0;
    /// Windows in a row in which the owner was behind, or was not.
    unsigned m_behind = 0;
    unsigned m_calm = 0;
};

} // namespace buckthornspar::service
