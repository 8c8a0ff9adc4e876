#pragma once

#include "core/config/config_history.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::config {

/// A record as exchanged between processes.
struct version_record {
    std::uint64_t version = 0;
    std::string body;
};

/// The version in force in a process, updated from its peers and, in a config process, from the
/// log.
class config_view {
public:
    /// Keeps up to max_records patches for peers that are behind.
    explicit config_view(std::size_t max_records = 64) : m_history(max_records) {}

    /// 0 if no version is known yet; the process accepts no work until then.
    [[nodiscard]] std::uint64_t version() const { return m_history.version(); }
    [[nodiscard]] const configuration& in_force() const { return m_history.in_force(); }

    /// Applies records in any order; old and unreadable records and those without their predecessor
    /// are skipped. Returns true if the version increased.
    bool apply(std::vector<version_record> records);

    /// True if the peer has a higher version. Also detects records that apply() skipped because of
    /// a gap.
    [[nodiscard]] bool is_behind(std::uint64_t peer_version) const {
        return peer_version > m_history.version();
    }

    /// The records that bring a process from the given version up to date: the patches after it, or
    /// a snapshot of the version in force if some of them are no longer kept. Empty if the process
    /// is not behind.
    [[nodiscard]] std::vector<version_record> since(std::uint64_t version) const;

private:
    config_history m_history;
};

/// Another config process of the same region, as input of the watcher election.
struct watcher_candidate {
    std::string id;
    /// Listed as live, and its last heartbeat is recent enough.
    bool alive = false;
};

/// True if the process watches the store for its region: no other live config process of the region
/// has a lower id. If two processes each consider the other one dead, both watch, which costs one
/// additional store call and has no other effect.
[[nodiscard]] bool is_region_watcher(const std::string& own_id,
                                     const std::vector<watcher_candidate>& others);

} // namespace buckthornspar::config
