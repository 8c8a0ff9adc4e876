#pragma once

#include "core/config/configuration.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::config {

enum class change_kind { set, remove };

/// One change of a patch. The path names a section and a field in it, for example
/// "quotas/vision" or "limits/retry_budget_percent".
struct change {
    change_kind kind = change_kind::set;
    std::string path;
    /// JSON text of the new value; empty for remove.
    std::string value;

    bool operator==(const change&) const = default;
};

/// What an operator asks for. Either changes or undo_of is given.
struct patch {
    /// Chosen by the author; a patch that is submitted again with the same id returns the result
    /// of the first.
    std::string id;
    std::string author;
    /// Version in force against which the patch was made.
    std::uint64_t version = 0;
    std::vector<change> changes;
    /// Version whose changes are to be reverted; 0 for none.
    std::uint64_t undo_of = 0;
    bool dry_run = false;
};

/// Reads
/// {"id","author","base_version","changes":[{"op":"set|remove","path","value"}],"undo","dry_run"}.
/// Throws configuration_error.
[[nodiscard]] patch read_patch(std::string_view json);
[[nodiscard]] std::string to_json(const patch& p);

/// The configuration with all changes applied. Throws configuration_error when the result is not
/// valid; nothing is applied in part.
[[nodiscard]] configuration apply_changes(const configuration& base,
                                          const std::vector<change>& changes,
                                          const configuration_rules& rules);

/// The changes that lead back: for each path of the changes its value in base.
[[nodiscard]] std::vector<change> reverse_changes(const configuration& base,
                                                  const std::vector<change>& changes);

/// True when one path is the other or contains it.
[[nodiscard]] bool paths_overlap(std::string_view a, std::string_view b);

/// One field that differs between two configurations. before and after are JSON texts, empty when
/// the field is absent.
struct field_difference {
    std::string path;
    std::string before;
    std::string after;

    bool operator==(const field_difference&) const = default;
};
[[nodiscard]] std::vector<field_difference> diff(const configuration& before,
                                                 const configuration& after);

} // namespace buckthornspar::config
