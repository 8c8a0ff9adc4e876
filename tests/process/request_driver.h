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

/// Request to the service "echo", whose runners answer with "answer:" followed by the body.
[[nodiscard]] net::http_request to_request(const service_call& call);

/// One request of a request_load with the response of the entry.
struct load_result {
    std::string id;
    std::string body;
    std::string entry;
    call_result answer;
};

/// Callers that each send one request at a time, round robin to the ready entries like a load
/// balancer. If a request was certainly not sent, the caller goes on with a new one at the next
/// entry.
class request_load {
public:
    /// If `only_entry` is not empty, all requests go to this entry, whether it is ready or not.
    request_load(cluster& c, std::size_t callers, bool idempotent, std::string only_entry = "");
    ~request_load();
    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

    /// Stops the callers and returns all results.
    [[nodiscard]] std::vector<load_result> stop();

private:
    void poll_ready_entries();
    void run_caller(std::size_t number);
    [[nodiscard]] std::vector<std::string> ready_entries();

    cluster& m_cluster;
    bool m_idempotent;
    std::string m_only_entry;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::vector<std::string> m_ready_entries;
    std::vector<load_result> m_results;
    std::vector<std::thread> m_threads;
};

} // namespace buckthornspar::process_test
