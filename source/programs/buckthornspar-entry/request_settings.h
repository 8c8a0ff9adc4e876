#pragma once

#include "core/routing/request_engine.h"

#include <cstddef>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::entry {

/// Settings of the request path, from the section "requests".
struct request_settings {
    routing::engine_settings engine;
    common::duration default_deadline = std::chrono::seconds(30);
    common::duration max_deadline = std::chrono::seconds(60);
    std::size_t max_connections_per_runner = 64;
    /// Largest number of submissions that wait for the decision thread.
    std::size_t max_queued_submissions = 4096;
};

/// Throws settings_error. The calling code sets the entry's id and region.
[[nodiscard]] request_settings read_request_settings(common::settings_section settings);

} // namespace buckthornspar::entry
