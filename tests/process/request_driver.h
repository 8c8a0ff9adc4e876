#pragma once

#include "process/cluster.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace buckthornspar::process_test {

struct service_call {
    std::string id;
    std::string body = "hello";
    std::int64_t deadline_ms = 2000;
    bool idempotent = true;
};

/// Request to the service "echo", whose runners answer "answer:" and the body.
[[nodiscard]] net::http_request to_request(const service_call& call);

/// One request of a load with the answer of the entry.
struct load_result {
    std::string id;
    std::string body;
    std::string entry;
    call_result answer;
};

/// Callers that each send one request after the other, in turn to the entries that are ready, as a
/// load balancer would send them. A request that certainly was not sent goes to the next entry.
class request_load {
public:
    /// With an entry, all requests go to this one, whether it is ready or not.
    request_load(cluster& c, std::size_t callers, bool idempotent, std::string only_entry = "");
    ~request_load();
    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

    /// Ends the load and answers all results.
    [[nodiscard]] std::vector<load_result> stop();

private:
    void watch_entries();
    void run_caller(std::size_t number);
    [[nodiscard]] std::vector<std::string> ready_entries();

    cluster& m_cluster;
    bool m_idempotent;
    std::string m_only_entry;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::string> m_ready;
    std::vector<load_result> m_results;
    std::vector<std::thread> m_threads;
};

} // namespace buckthornspar::process_test
