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

/// An entry of the configuration log. Applying its changes to the previous version gives this
/// version.
struct accepted_patch {
    std::uint64_t version = 0;
    std::string id;
    std::string author;
    /// Wall-clock time of the acceptance in milliseconds since 1970.
    std::int64_t time_ms = 0;
    std::uint64_t undo_of = 0;
    std::vector<change> changes;
    /// Changes that restore the previous version.
    std::vector<change> reverse;
};

/// JSON form of a record of the configuration log.
[[nodiscard]] std::string to_json(const accepted_patch& p);
/// Throws configuration_error.
[[nodiscard]] accepted_patch read_accepted(std::string_view json);

/// The version in force and the most recent patches that led to it. The version number never
/// decreases.
class config_history {
public:
    /// Keeps up to max_patches patches; older versions cannot be shown or undone, and their patch
    /// ids are not recognised.
    explicit config_history(std::size_t max_patches) : m_max_patches(max_patches) {}

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// The default configuration while the version is 0.
    [[nodiscard]] const configuration& in_force() const { return m_in_force; }

    /// Applies a log record or a snapshot. Returns false, without effect, if its version is not
    /// higher than the current one, or if it is a record and intermediate versions are missing.
    /// Throws configuration_error if it cannot be parsed.
    bool apply(std::string_view record);
    bool apply(const accepted_patch& next);

    /// JSON form of the version in force with up to max_patches patches, as accepted by apply().
    [[nodiscard]] std::string snapshot(std::size_t max_patches) const;

    /// Oldest first.
    [[nodiscard]] const std::deque<accepted_patch>& patches() const { return m_patches; }
    [[nodiscard]] const accepted_patch* find_version(std::uint64_t version) const;
    [[nodiscard]] const accepted_patch* find_id(const std::string& id) const;

    /// The configuration of an earlier version; empty if it is no longer kept.
    [[nodiscard]] std::optional<configuration> at(std::uint64_t version) const;

    /// The paths in changes that were also changed by versions after the given one. If some of
    /// these versions are no longer kept, all paths are returned.
    [[nodiscard]] std::vector<std::string>
    conflicting_paths(std::uint64_t version, const std::vector<change>& changes) const;

private:
    void append(accepted_patch p);

    std::size_t m_max_patches;
    std::uint64_t m_version = 0;
    configuration m_in_force;
    std::deque<accepted_patch> m_patches;
    std::unordered_map<std::string, std::uint64_t> m_version_of_id;
};

} // namespace buckthornspar::config
