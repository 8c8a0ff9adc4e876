#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

/// A log line reporting that a configuration version came into force in a process.
struct version_seen {
    std::int64_t version = 0;
    /// Time of the log line: local time in microseconds since 1970.
    std::int64_t time_us = 0;
};

/// Versions that a process has logged, in log order.
[[nodiscard]] std::vector<version_seen> versions_seen(const std::string& log);

/// Latest logged version; 0 if there is none.
[[nodiscard]] std::int64_t last_version(const std::string& log);

/// Current time in the format of version_seen::time_us.
[[nodiscard]] std::int64_t local_time_us();

} // namespace buckthornspar::process_test
