#pragma once

#include "process/cluster.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace buckthornspar::process_test {

/// A submission of a job with small tasks. With run_ms 0, the tasks run until they are stopped.
struct job_request {
    std::string id;
    std::string kind = "batch";
    int tasks = 1;
    std::int64_t run_ms = 200;
    std::int64_t cpu_milli = 500;
    bool idempotent = true;
    /// If empty, the id of the job determines the shard.
    std::string region = {};

    [[nodiscard]] std::string to_json() const;
};

/// Calls the job API of the cluster's entries.
class job_driver {
public:
    explicit job_driver(cluster& c) : m_cluster(c) {}

    call_result submit(const job_request& job, const std::string& entry = "entry-1");
    /// Submits with X-Repeat: the job may have been submitted before.
    call_result submit_repeated(const job_request& job, const std::string& entry = "entry-1");
    /// Repeats the submission with the same id until it gets status 201 or 4xx, as callers do.
    call_result submit_with_retries(const job_request& job, std::chrono::milliseconds timeout);
    call_result cancel(const std::string& id);
    call_result status(const std::string& id);
    [[nodiscard]] std::string state(const std::string& id);
    /// Polls until the job has the state. Returns false after the timeout.
    [[nodiscard]] bool wait_state(const std::string& id, const std::string& state,
                                  std::chrono::milliseconds timeout);
    /// Id of the scheduler that owns the only shard; empty if there is none.
    [[nodiscard]] std::string owner();

private:
    cluster& m_cluster;
};

} // namespace buckthornspar::process_test
