#pragma once

#include "core/membership/instance_list.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornspar::membership {

/// Parses the JSON of the instance list (docs/platform-contract.md). Entries with a role that this
/// release does not know are skipped and counted in skipped, and those that cannot be read in
/// instance_snapshot::unreadable, because they must not make the rest of the list unusable. Throws
/// common::format_error if the list itself is malformed, an id is listed twice, or there are
/// entries of which none can be read.
[[nodiscard]] instance_snapshot read_instances(const std::string& text,
                                               std::size_t* skipped = nullptr);

[[nodiscard]] std::string_view to_string(instance_role role);
/// Throws common::unknown_name_error for an unknown role.
[[nodiscard]] instance_role instance_role_from(std::string_view name);
[[nodiscard]] std::string_view to_string(instance_state state);

} // namespace buckthornspar::membership
