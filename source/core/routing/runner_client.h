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
    /// Over a new connection, so that a silent older one does not hide the runner.
    virtual void query(const query_call& call, std::function<void(query_result)> complete) = 0;
    /// Over a new connection.
    virtual void ping(const ping_call& call, std::function<void(ping_result)> complete) = 0;
    /// Closes the connection of a run, which then completes as lost unless it has completed.
    virtual void abandon(call_token token) = 0;
    virtual void replace_connections(const net::endpoint& address) = 0;

protected:
    runner_client() = default;
    runner_client(const runner_client&) = default;
    runner_client& operator=(const runner_client&) = default;
};

} // namespace buckthornspar::routing
