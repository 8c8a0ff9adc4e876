#include "process/endless_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace buckthornspar::process_test {

namespace {

constexpr std::size_t max_request_bytes = std::size_t{64} << 10U;

bool send_whole(int connection, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size =
            ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

} // namespace

endless_server::endless_server(std::string beginning, std::string repeated, std::size_t total_bytes)
    : m_beginning(std::move(beginning)),
      m_repeated(std::move(repeated)),
      m_total_bytes(total_bytes),
      m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size) != 0 ||
        ::listen(m_listener, SOMAXCONN) != 0 ||
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen");
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

endless_server::~endless_server() {
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    for (auto& each : m_connections) {
        each.join();
    }
    ::close(m_listener);
}

void endless_server::accept() {
    while (!m_stopping) {
        const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        // Ends a connection on which the client neither reads nor closes.
        const timeval limit{5, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        m_connections.emplace_back([this, connection] { serve(connection); });
    }
}

void endless_server::serve(int connection) {
    std::string request;
    std::array<char, 4096> bytes{};
    while (request.find("\r\n\r\n") == std::string::npos && request.size() < max_request_bytes) {
        const auto size = ::recv(connection, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            break;
        }
        request.append(bytes.data(), static_cast<std::size_t>(size));
    }
    if (send_whole(connection, m_beginning)) {
        std::size_t sent = 0;
        while (!m_stopping && sent < m_total_bytes && send_whole(connection, m_repeated)) {
            sent += m_repeated.size();
        }
    }
    ::close(connection);
    ++m_served;
}

} // namespace buckthornspar::process_test
