#pragma once

#include "core/config/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::config {

enum class change_kind { set, remove };

/// A single change of a patch. The path consists of a section and a field in it, for example
/// "quotas/vision" or "limits/retry_budget_percent".
struct change {
    change_kind kind = change_kind::set;
    std::string path;
    /// JSON text of the new value; empty for remove.
    std::string value;

    bool operator==(const change&) const = default;
};

/// A change request of an operator. Exactly one of changes and undo_of is set.
struct patch {
    /// Chosen by the author. Submitting the patch again with the same id returns the original
    /// result.
    std::string id;
    std::string author;
    /// Version in force that the patch is based on.
    std::uint64_t version = 0;
    std::vector<change> changes;
    /// Version whose changes are to be reverted; 0 if none.
    std::uint64_t undo_of = 0;
    bool dry_run = false;
};

/// Reads
/// {"id","author","base_version","changes":[{"op":"set|remove","path","value"}],"undo","dry_run"}.
/// Throws configuration_error.
[[nodiscard]] patch read_patch(std::string_view json);
[[nodiscard]] std::string to_json(const patch& p);

/// Returns the configuration with all changes applied. Throws configuration_error if the result is
/// invalid; changes are never applied in part.
[[nodiscard]] configuration apply_changes(const configuration& base,
                                          const std::vector<change>& changes,
                                          const configuration_rules& rules);

/// Returns the changes that restore base: for each changed path, its value in base.
[[nodiscard]] std::vector<change> reverse_changes(const configuration& base,
                                                  const std::vector<change>& changes);

/// True if the paths are equal or one is a parent of the other.
[[nodiscard]] bool paths_overlap(std::string_view a, std::string_view b);

/// A field that differs between two configurations. before and after are JSON texts; empty if the
/// field is absent.
struct field_difference {
    std::string path;
    std::string before;
    std::string after;

    bool operator==(const field_difference&) const = default;
};
[[nodiscard]] std::vector<field_difference> diff(const configuration& before,
                                                 const configuration& after);

} // namespace buckthornspar::config
