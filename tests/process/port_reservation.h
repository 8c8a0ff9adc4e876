#pragma once

#include <cstdint>
#include <vector>

namespace buckthornspar::process_test {

/// Free ports of 127.0.0.1, chosen by the system. The ports stay bound here without listening, so
/// that no other process is given them; a server that sets SO_REUSEADDR can still listen on them.
class port_reservation {
public:
    port_reservation() = default;
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// Throws std::runtime_error when the system gives no port.
    [[nodiscard]] std::uint16_t take();

private:
    std::vector<int> m_sockets;
};

} // namespace buckthornspar::process_test
