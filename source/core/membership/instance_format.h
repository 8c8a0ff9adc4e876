#pragma once

#include "core/membership/instance_list.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace buckthornspar::membership {

/// Reads the JSON of the instance list (docs/platform-contract.md). Entries of a role that this
/// release does not know are left out and counted in skipped, because they must not hide the rest
/// of the fleet. Throws common::format_error when anything else cannot be read or an id is listed
/// twice.
[[nodiscard]] instance_snapshot read_instances(const std::string& text,
                                               std::size_t* skipped = nullptr);

[[nodiscard]] std::string_view to_string(instance_role role);
/// Throws common::unknown_name_error.
[[nodiscard]] instance_role instance_role_from(std::string_view name);
[[nodiscard]] std::string_view to_string(instance_state state);

} // namespace buckthornspar::membership
