#pragma once

#include "core/common/clock.h"
#include "core/emulation/change_log.h"

#include <cstddef>
#include <optional>

namespace buckthornspar::emulation {

class emulated_owner;
class emulated_platform;

/// The prefixes of the store that an owner watches.
enum class watched_prefix {
    /// Jobs, cancellations and the owner.
    jobs,
    /// The instance list.
    workers,
};

/// An owner's watch of one prefix of the store: calls that are repeated, each of which reports the
/// changes since the last answered one. A call without an answer in time is repeated.
class emulated_watch {
public:
    emulated_watch(emulated_platform& platform, emulated_owner& owner, watched_prefix prefix)
        : m_platform(platform), m_owner(owner), m_prefix(prefix) {}

    /// Begins after the changes up to the position, which were read by a call sent at read_at.
    void start(std::size_t position, common::time_point read_at);
    /// All changes that the store accepted before this time have been handled: the time at which
    /// the last answered call was sent.
    [[nodiscard]] common::time_point known_until() const { return m_known_until; }
    /// The last call has not been answered.
    [[nodiscard]] bool is_failing() const { return m_failing; }

private:
    void send();
    void on_result(common::time_point sent_at, const std::optional<store_changes>& changes);

    emulated_platform& m_platform;
    emulated_owner& m_owner;
    watched_prefix m_prefix;
    std::size_t m_position = 0;
    common::time_point m_known_until;
    bool m_failing = false;
};

} // namespace buckthornspar::emulation
