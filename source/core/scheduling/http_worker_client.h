#pragma once

#include "core/net/http_client.h"
#include "core/scheduling/worker_client.h"

namespace buckthornspar::scheduling {

/// Implements the worker protocol over HTTP/JSON.
class http_worker_client final : public worker_client {
public:
    /// The client must outlive this object. timeout applies to adopt and sync calls, and is added
    /// to the maximum wait of events calls.
    http_worker_client(net::http_client& client, common::duration timeout)
        : m_client(client), m_timeout(timeout) {}

    void adopt(const net::endpoint& worker, const adopt_request& request,
               std::function<void(adopt_result)> complete) override;
    void sync(const net::endpoint& worker, const sync_request& request,
              std::function<void(sync_result)> complete) override;
    void events(const net::endpoint& worker, std::uint64_t after, common::duration max_wait,
                std::function<void(events_result)> complete) override;

private:
    net::http_client& m_client;
    common::duration m_timeout;
};

} // namespace buckthornspar::scheduling
