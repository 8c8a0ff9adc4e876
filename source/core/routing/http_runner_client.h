#pragma once

#include "core/net/http_client.h"
#include "core/routing/runner_client.h"

#include <mutex>
#include <string>
#include <unordered_map>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::routing {

struct http_runner_settings {
    std::string entry_id;
    std::size_t max_connections_per_runner = 64;
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Longest wait for the answer to a query or probe.
    duration query_timeout = std::chrono::seconds(1);
    /// A run times out this long after its deadline.
    duration run_grace = std::chrono::seconds(1);
};

/// Runner protocol over HTTP. Completions are called on the thread of the event loop.
class http_runner_client final : public runner_client {
public:
    http_runner_client(net::event_loop& loop, http_runner_settings settings);

    void run(const run_call& call, std::function<void(run_result)> complete) override;
    void query(const query_call& call, std::function<void(query_result)> complete) override;
    void ping(const ping_call& call, std::function<void(ping_result)> complete) override;
    void abandon(call_token token) override;
    void replace_connections(const net::endpoint& address) override;

private:
    http_runner_settings m_settings;
    // Runs reuse connections. Queries and probes always open a new one, so that they test whether
    // the runner can be reached.
    net::http_client m_runs;
    net::http_client m_queries;
    std::mutex m_mutex;
    std::unordered_map<call_token, std::uint64_t> m_open_runs;
};

} // namespace buckthornspar::routing
