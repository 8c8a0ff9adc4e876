#pragma once

#include <memory>

namespace buckthornspar::routing {

enum class health_state { healthy, probing, suspected };

/// What to do after an event.
struct health_reaction {
    bool replace_connections = false;
};

/// Health of the connections to one runner. Probes and queries use new connections, so that a
/// response to one of them while an older connection owes an answer shows the older one as silent.
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
    /// An answer is later than expected. The caller asks for it over a new connection.
    health_reaction on_overdue();
    /// A connection ended without an answer, or could not be made.
    health_reaction on_connection_lost();
    /// A probe or query over a new connection was answered, or was not.
    health_reaction on_probe_answered();
    health_reaction on_probe_failed();
    /// The runner has sent an answer that did not arrive, or has not received a request.
    health_reaction on_silence_shown();

    [[nodiscard]] health_state state() const;

private:
    struct machine;
    template <typename Event>
    health_reaction process();

    std::unique_ptr<machine> m_machine;
};

} // namespace buckthornspar::routing
