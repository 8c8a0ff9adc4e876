#pragma once

#include <memory>

namespace buckthornspar::routing {

enum class health_state { healthy, probing, suspected };

/// Action required after an event.
struct health_reaction {
    bool replace_connections = false;
};

/// Health of the connections to one runner. Probes and queries use new connections. If one of them
/// is answered while an older connection has an overdue answer, the older connection is considered
/// silent: open, but no longer delivering data.
class connection_health {
public:
    connection_health();
    ~connection_health();
    connection_health(connection_health&&) noexcept;
    connection_health& operator=(connection_health&&) noexcept;
    connection_health(const connection_health&) = delete;
    connection_health& operator=(const connection_health&) = delete;

    /// An answer to a request arrived.
    health_reaction on_answer();
    /// An answer is overdue. The engine queries the request over a new connection.
    health_reaction on_overdue();
    /// A connection ended without an answer, or could not be established.
    health_reaction on_connection_lost();
    /// A probe or query over a new connection was answered, or failed.
    health_reaction on_probe_answered();
    health_reaction on_probe_failed();
    /// A connection is silent: the runner has sent an answer that did not arrive, or has not
    /// received a request that was sent.
    health_reaction on_found_silent();

    [[nodiscard]] health_state state() const;

private:
    struct machine;
    template <typename Event>
    health_reaction process();

    std::unique_ptr<machine> m_machine;
};

} // namespace buckthornspar::routing
