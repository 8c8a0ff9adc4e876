#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

/// A configuration version that came in force in a process.
struct version_seen {
    std::int64_t version = 0;
    /// Wall clock of the log line, microseconds of the local time since 1970.
    std::int64_t time_us = 0;
};

/// The versions of a process's log, in the order of its lines.
[[nodiscard]] std::vector<version_seen> versions_seen(const std::string& log);

/// Version of the last line; 0 when there is none.
[[nodiscard]] std::int64_t last_version(const std::string& log);

/// Now, on the same scale as version_seen::time_us.
[[nodiscard]] std::int64_t local_time_us();

} // namespace buckthornspar::process_test
