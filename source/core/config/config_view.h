#pragma once

#include "core/config/config_history.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::config {

/// A record as processes exchange it.
struct version_record {
    std::uint64_t version = 0;
    std::string body;
};

/// The version in force in a process, fed by its peers and, in a config process, by the log.
class config_view {
public:
    /// Keeps max_records patches to bring peers up to date.
    explicit config_view(std::size_t max_records = 64) : m_history(max_records) {}

    /// 0 as long as the process has none; it accepts no work before it has one.
    [[nodiscard]] std::uint64_t version() const { return m_history.version(); }
    [[nodiscard]] const configuration& in_force() const { return m_history.in_force(); }

    /// Takes over records in any order; those that are old, unreadable or without their predecessor
    /// are left out. Returns true when the version grew.
    bool apply(std::vector<version_record> records);

    /// True when a peer has a higher version. This is also so after a gap in apply().
    [[nodiscard]] bool is_behind(std::uint64_t peer_version) const {
        return peer_version > m_history.version();
    }

    /// What a process with the given version needs: the patches after it, or the whole version in
    /// force when they are not all kept. Empty when the process is not behind.
    [[nodiscard]] std::vector<version_record> since(std::uint64_t version) const;

private:
    config_history m_history;
};

/// A config process of the own region, as the watcher rule sees it.
struct watcher_candidate {
    std::string id;
    /// Listed as live and heard within the limit for silence.
    bool alive = false;
};

/// True when the process waits on the store for its region: no other live config process of the
/// region has a lower id. Two processes that disagree about each other's life both watch, which
/// costs one call more and nothing else.
[[nodiscard]] bool is_region_watcher(const std::string& own_id,
                                     const std::vector<watcher_candidate>& others);

} // namespace buckthornspar::config
