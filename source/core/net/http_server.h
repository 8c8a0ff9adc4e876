#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"
#include "core/net/http_message.h"
#include "core/net/request_guard.h"
#include "core/net/request_progress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace buckthornspar::net {

class event_loop;

/// Sends the response to one request. May be called from any thread; calls after the first are
/// ignored. The response is dropped when the connection has been closed.
using http_reply = std::function<void(http_response)>;

/// Handles the requests of a server, on the loop's thread.
class http_handler {
public:
    virtual ~http_handler() = default;
    virtual void handle(http_request request, http_reply reply) = 0;

protected:
    http_handler() = default;
    http_handler(const http_handler&) = default;
    http_handler& operator=(const http_handler&) = default;
};

struct http_server_limits {
    request_limits request = {};
    std::size_t max_connections = 4096;
    /// Limit for keeping an idle connection. A response is given the time of a request.
    common::duration idle_timeout = std::chrono::seconds(60);
    /// Shared by all servers and clients of a process; without it the process has no limit in all.
    std::shared_ptr<request_guard> guard = nullptr;
};

/// HTTP/1.1 server with keep-alive. Malformed requests, requests over a limit and unsupported
/// methods get a 4xx response with an error type and do not reach the handler. If the memory of the
/// process does not suffice, unfinished requests get a 503 response, or their connection is closed.
class http_server {
public:
    /// Binds the address; throws net_error when that fails. Port 0 selects a free port.
    http_server(event_loop& loop, const endpoint& listen, http_server_limits limits,
                http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Sets the limits of requests that begin afterwards, and the idle timeout. Must be called on
    /// the loop's thread.
    void set_limits(const request_limits& limits, common::duration idle_timeout);

    /// Begins a graceful stop. Further responses carry "Connection: close". After a short period
    /// for requests that clients have already sent, the listening socket and idle connections are
    /// closed. Requests in progress still get their response; requests that arrive in part and
    /// responses that are not read are given up soon after. May be called from any thread.
    void stop_accepting();

    /// Number of requests whose response has not been written yet. A stop counts as one until its
    /// period for late requests is over.
    [[nodiscard]] std::size_t requests_in_progress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace buckthornspar::net
