#pragma once

#include "core/config/patch.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace buckthornspar::config {

/// A patch that became a version.
struct accepted_patch {
    std::uint64_t version = 0;
    std::string id;
    std::string author;
    /// Wall-clock time of the acceptance in milliseconds since 1970.
    std::int64_t time_ms = 0;
    std::uint64_t undo_of = 0;
    std::vector<change> changes;
    /// Changes that lead back to the version before.
    std::vector<change> reverse;
};

/// JSON of a record of the configuration log.
[[nodiscard]] std::string to_json(const accepted_patch& p);
/// Throws configuration_error.
[[nodiscard]] accepted_patch read_accepted(std::string_view json);

/// The version in force with the newest of the patches that led to it. The version number only
/// grows.
class config_history {
public:
    /// Keeps up to max_patches patches; older versions cannot be shown, undone or recognised.
    explicit config_history(std::size_t max_patches) : m_max_patches(max_patches) {}

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// The default configuration as long as the version is 0.
    [[nodiscard]] const configuration& in_force() const { return m_in_force; }

    /// Takes over a record of the log or a snapshot. Returns false, without effect, when its
    /// version is not higher, or when versions between are missing. Throws configuration_error when
    /// it cannot be read.
    bool apply(std::string_view record);
    bool apply(const accepted_patch& next);

    /// JSON of the version in force with up to max_patches patches; apply() reads it.
    [[nodiscard]] std::string snapshot(std::size_t max_patches) const;

    /// Oldest first.
    [[nodiscard]] const std::deque<accepted_patch>& patches() const { return m_patches; }
    [[nodiscard]] const accepted_patch* find_version(std::uint64_t version) const;
    [[nodiscard]] const accepted_patch* find_id(const std::string& id) const;

    /// The configuration of an earlier version; empty when it is not kept any more.
    [[nodiscard]] std::optional<configuration> at(std::uint64_t version) const;

    /// Those of the paths that versions after the given one changed. When not all of these versions
    /// are kept, all paths count as changed.
    [[nodiscard]] std::vector<std::string> clashes(std::uint64_t version,
                                                   const std::vector<change>& changes) const;

private:
    void remember(accepted_patch p);

    std::size_t m_max_patches;
    std::uint64_t m_version = 0;
    configuration m_in_force;
    std::deque<accepted_patch> m_patches;
    std::unordered_map<std::string, std::uint64_t> m_version_of_id;
};

} // namespace buckthornspar::config
