#pragma once

#include <cstdint>
#include <vector>

namespace buckthornspar::process_test {

/// Reserves free ports of 127.0.0.1 that the system chooses. The ports stay bound without a
/// listener, so that the system assigns them to no other process; a server that sets SO_REUSEADDR
/// can still listen on them.
class port_reservation {
public:
    port_reservation() = default;
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// Reserves a port and returns it. Throws std::runtime_error if no port is available.
    [[nodiscard]] std::uint16_t take();

private:
    std::vector<int> m_sockets;
};

} // namespace buckthornspar::process_test
