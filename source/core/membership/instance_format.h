#pragma once

#include "core/membership/instance_list.h"

#include <string>
#include <string_view>

namespace buckthornspar::membership {

/// Reads the JSON of the instance list (docs/platform-contract.md). Throws common::format_error or
/// common::unknown_name_error.
[[nodiscard]] instance_snapshot read_instances(const std::string& text);

[[nodiscard]] std::string_view to_string(instance_role role);
[[nodiscard]] std::string_view to_string(instance_state state);

} // namespace buckthornspar::membership
