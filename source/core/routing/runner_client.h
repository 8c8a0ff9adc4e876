#pragma once

#include "core/routing/routing_messages.h"

#include <functional>

namespace buckthornspar::routing {

/// Calls to runners, as docs/platform-contract.md describes them. Every run, query and ping
/// completes exactly once, on a thread of the implementation's choice.
class runner_client {
public:
    virtual ~runner_client() = default;

    virtual void run(const run_call& call, std::function<void(run_result)> complete) = 0;
    /// Uses a new connection, so that the runner is reached even if older connections are silent.
    virtual void query(const query_call& call, std::function<void(query_result)> complete) = 0;
    /// Uses a new connection.
    virtual void ping(const ping_call& call, std::function<void(ping_result)> complete) = 0;
    /// Closes the connection of a run. If the run has not completed, it completes as lost.
    virtual void abandon(call_token token) = 0;
    virtual void replace_connections(const net::endpoint& address) = 0;

protected:
    runner_client() = default;
    runner_client(const runner_client&) = default;
    runner_client& operator=(const runner_client&) = default;
};

} // namespace buckthornspar::routing
