#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"
#include "core/net/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace buckthornspar::net {

class event_loop;

/// Sends the response of one request. Call it once, from any thread. When the connection is gone
/// the response is dropped.
using http_reply = std::function<void(http_response)>;

/// Receives the requests of a server, on the loop's thread.
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
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_connections = 4096;
    /// Longest silence while a request is read, and longest life of an idle connection.
    common::duration idle_timeout = std::chrono::seconds(60);
};

/// HTTP/1.1 server with keep-alive. Malformed requests, bodies over the limit and unknown methods
/// get a typed 4xx answer without reaching the handler.
class http_server {
public:
    /// Binds at once; throws net_error when the address cannot be bound. Port 0 takes a free port.
    http_server(event_loop& loop, const endpoint& listen, http_server_limits limits,
                http_handler& handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Answers every further request with "Connection: close" and, after a short time for requests
    /// that are on their way, closes the listening socket and the idle connections. Requests in
    /// progress get their response. May be called from any thread.
    void stop_accepting();

    /// Requests whose response has not been written yet; not 0 while stop_accepting() has work to
    /// do.
    [[nodiscard]] std::size_t requests_in_progress() const;

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace buckthornspar::net
