#pragma once

#include "core/common/clock.h"
#include "core/net/connection_wait.h"
#include "core/net/endpoint.h"
#include "core/net/http_message.h"
#include "core/net/request_guard.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace buckthornspar::net {

class event_loop;

enum class http_failure_kind {
    connect_failed,
    timed_out,
    connection_lost,
    bad_response,
    cancelled,
    pool_exhausted, ///< no connection or descriptor is free in this process
    /// The response exceeds its limits or the memory for the messages of the process.
    response_too_large,
};

[[nodiscard]] std::string_view to_string(http_failure_kind kind);

/// Reason why no response was received. When request_sent is false, no part of the request can have
/// reached the peer; otherwise the peer may have received and executed it.
struct http_failure {
    http_failure_kind kind;
    bool request_sent;
};

using http_result = std::variant<http_response, http_failure>;
using http_completion = std::function<void(http_result)>;

struct http_client_limits {
    std::size_t max_connections_per_endpoint = 64;
    /// Requests beyond this number fail instead of waiting for a connection.
    std::size_t max_waiting_per_endpoint = 4096;
    std::size_t max_body_bytes = 8U << 20U;
    common::duration connect_timeout = std::chrono::seconds(1);
    /// Idle connections older than this are closed instead of reused.
    common::duration idle_timeout = std::chrono::seconds(30);
    /// Shared by all servers and clients of a process; without it the process has no limit in all.
    std::shared_ptr<request_guard> guard = nullptr;
};

/// HTTP/1.1 client with a pool of persistent connections per endpoint. It never retries a request.
class http_client {
public:
    http_client(event_loop& loop, http_client_limits limits);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends the request and calls complete once, on the loop's thread. A truncated response is
    /// reported as a failure. May be called from any thread.
    std::uint64_t send(const endpoint& to, http_request request, common::duration timeout,
                       http_completion complete, connection_wait wait = {});

    /// Completes the request with http_failure_kind::cancelled unless it has already completed.
    void cancel(std::uint64_t id);

    /// Closes all idle connections to the endpoint, for example when they may be broken.
    void close_idle(const endpoint& to);

    struct state;

private:
    std::shared_ptr<state> m_state;
};

} // namespace buckthornspar::net
