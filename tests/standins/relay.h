#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::standins {

enum class relay_state {
    open,
    cut,    ///< refuses connections and closes those that are open
    silent, ///< accepts connections, keeps them open and forwards nothing
};

[[nodiscard]] std::string_view to_string(relay_state state);
/// Throws common::unknown_name_error.
[[nodiscard]] relay_state relay_state_from(std::string_view name);

/// Payload bytes by direction, without TCP and IP headers.
struct relay_bytes {
    std::int64_t forward = 0; ///< from the clients to the target
    std::int64_t back = 0;
};

/// TCP relay on a port of 127.0.0.1 that delays all bytes like a link between two regions. A
/// connection that was open while the relay was silent never forwards bytes again, even after the
/// relay is opened; new connections work. All functions run on the loop's thread.
class relay {
public:
    relay(net::event_loop& loop, const net::endpoint& target, common::duration one_way_delay);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void set_state(relay_state state);
    [[nodiscard]] relay_state state() const;
    [[nodiscard]] net::endpoint address() const;
    [[nodiscard]] relay_bytes bytes() const;
    [[nodiscard]] std::size_t open_connections() const;

    struct implementation;

private:
    std::shared_ptr<implementation> m_implementation;
};

} // namespace buckthornspar::standins
