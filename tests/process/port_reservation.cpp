#include "process/port_reservation.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace buckthornspar::process_test {

port_reservation::~port_reservation() {
    for (const int socket : m_sockets) {
        close(socket);
    }
}

std::uint16_t port_reservation::take() {
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        throw std::runtime_error("cannot create a socket to reserve a port");
    }
    m_sockets.push_back(handle);
    const int on = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    // The socket API takes the generic address type.
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(handle, generic, size) != 0 || getsockname(handle, generic, &size) != 0) {
        throw std::runtime_error("cannot bind to a free port of 127.0.0.1");
    }
    return ntohs(address.sin_port);
}

} // namespace buckthornspar::process_test
