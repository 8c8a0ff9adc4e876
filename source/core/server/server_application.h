#pragma once

#include "core/net/http_server.h"

#include <optional>
#include <string>

namespace buckthornspar::server {

/// The role-specific part of a server program.
class server_application {
public:
    virtual ~server_application() = default;

    /// Handles a request other than the administrative ones, on the network thread.
    virtual void handle(net::http_request request, net::http_reply reply) = 0;

    /// Reason why the process cannot accept work now; empty when it is ready. Called on any thread.
    [[nodiscard]] virtual std::optional<std::string> not_ready_reason() const = 0;

    /// Starts refusing new work and finishes work in progress. May be called more than once.
    virtual void begin_drain() = 0;

    /// Returns true when no work is in progress.
    [[nodiscard]] virtual bool drained() const = 0;

protected:
    server_application() = default;
    server_application(const server_application&) = default;
    server_application& operator=(const server_application&) = default;
};

} // namespace buckthornspar::server
