#pragma once

#include "core/net/http_server.h"

#include <optional>
#include <string>

namespace buckthornspar::server {

/// The part of a server program that differs between the roles.
class server_application {
public:
    virtual ~server_application() = default;

    /// Serves a request that is not one of the administrative ones, on the network thread.
    virtual void handle(net::http_request request, net::http_reply reply) = 0;

    /// Why the process cannot take work now; empty when it is ready. Called on any thread.
    [[nodiscard]] virtual std::optional<std::string> not_ready_reason() const = 0;

    /// Refuses new work from now on and finishes what is in progress. May be called twice.
    virtual void begin_drain() = 0;

    /// True once nothing is in progress any more.
    [[nodiscard]] virtual bool drained() const = 0;

protected:
    server_application() = default;
    server_application(const server_application&) = default;
    server_application& operator=(const server_application&) = default;
};

} // namespace buckthornspar::server
