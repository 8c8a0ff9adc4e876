#pragma once

#include "core/common/clock.h"
#include "core/net/request_guard.h"
#include "core/net/request_progress.h"

#include <cstddef>
#include <cstdint>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::net {

/// Settings of all programs that bound the requests of their clients; see docs/OPERATIONS.md.
struct request_settings {
    request_limits limits;
    common::duration idle_timeout{};
    process_resources resources;
};

/// Throws common::settings_error.
[[nodiscard]] request_settings read_request_settings(common::settings_section& settings,
                                                     std::int64_t default_body_bytes);

} // namespace buckthornspar::net
