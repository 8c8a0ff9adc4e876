#pragma once

#include "core/net/endpoint.h"
#include "core/scheduling/worker_messages.h"

#include <functional>

namespace buckthornspar::scheduling {

/// Asynchronous calls to workers. Each call is sent at most once and completes exactly once, on any
/// thread. See docs/platform-contract.md, section Worker.
class worker_client {
public:
    virtual ~worker_client() = default;

    virtual void adopt(const net::endpoint& worker, const adopt_request& request,
                       std::function<void(adopt_result)> complete) = 0;
    virtual void sync(const net::endpoint& worker, const sync_request& request,
                      std::function<void(sync_result)> complete) = 0;
    /// Long poll for events after the given event number; waits up to max_wait.
    virtual void events(const net::endpoint& worker, std::uint64_t after, common::duration max_wait,
                        std::function<void(events_result)> complete) = 0;

protected:
    worker_client() = default;
    worker_client(const worker_client&) = default;
    worker_client& operator=(const worker_client&) = default;
};

} // namespace buckthornspar::scheduling
