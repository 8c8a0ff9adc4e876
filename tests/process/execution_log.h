#pragma once

#include "process/cluster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

/// One execution of a task by a worker, or of a request by a runner, on the machine's clock.
struct execution {
    std::string id;
    std::string target;
    std::int64_t start_ms = 0;
    /// Empty while it runs.
    std::optional<std::int64_t> end_ms;
    std::string outcome;
};

/// All executions that the cluster's workers have recorded.
[[nodiscard]] std::vector<execution> task_executions(cluster& c);
/// All executions that the cluster's runners have recorded.
[[nodiscard]] std::vector<execution> request_executions(cluster& c);

/// Ids that ran in two places at the same time.
[[nodiscard]] std::vector<std::string> overlapping(const std::vector<execution>& executions);
/// Ids that were started more than once.
[[nodiscard]] std::vector<std::string> repeated(const std::vector<execution>& executions);
[[nodiscard]] std::size_t running_count(const std::vector<execution>& executions);

/// Workers that at any time had committed more than their capacity.
[[nodiscard]] std::vector<std::string> overcommitted_workers(cluster& c);

/// Text of the executions for the message of a failed check.
[[nodiscard]] std::string describe(const std::vector<execution>& executions);

} // namespace buckthornspar::process_test
