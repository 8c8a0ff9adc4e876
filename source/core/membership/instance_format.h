#pragma once

#include "core/membership/instance_list.h"

#include <cstddef>
#include <string_view>

namespace buckthornspar::membership {

struct parsed_list {
    instance_snapshot snapshot;
    /// Entries that could not be read, for example of a role that this release does not know.
    std::size_t skipped = 0;
};

/// Reads the answer of GET /v1/instances. One unreadable entry does not spoil the list. Throws
/// common::format_error when the document as a whole cannot be read.
[[nodiscard]] parsed_list read_instances(std::string_view json);

[[nodiscard]] std::string_view to_string(instance_role role);
/// Throws common::unknown_name_error.
[[nodiscard]] instance_role to_role(std::string_view name);

} // namespace buckthornspar::membership
