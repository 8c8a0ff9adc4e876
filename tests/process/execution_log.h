#pragma once

#include "process/cluster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

/// One execution of a task by a worker, or of a request by a runner, with times of the clock
/// that all processes of the machine share.
struct execution {
    std::string id;
    std::string target;
    std::int64_t start_ms = 0;
    /// Empty while the execution runs.
    std::optional<std::int64_t> end_ms;
    std::string outcome;
};

/// All executions recorded by the workers of the cluster.
[[nodiscard]] std::vector<execution> task_executions(cluster& c);
/// All executions recorded by the runners of the cluster.
[[nodiscard]] std::vector<execution> request_executions(cluster& c);

/// Ids with two executions that overlap in time.
[[nodiscard]] std::vector<std::string> overlapping_ids(const std::vector<execution>& executions);
/// Ids with more than one execution.
[[nodiscard]] std::vector<std::string> repeated_ids(const std::vector<execution>& executions);
[[nodiscard]] std::size_t running_count(const std::vector<execution>& executions);

/// Ids of workers whose committed resources have ever exceeded their capacity.
[[nodiscard]] std::vector<std::string> overcommitted_workers(cluster& c);

/// Formats the executions for the message of a failed check.
[[nodiscard]] std::string describe(const std::vector<execution>& executions);

} // namespace buckthornspar::process_test
