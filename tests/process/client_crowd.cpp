#include "process/client_crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <thread>
#include <utility>

namespace buckthornspar::process_test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t part_bytes = std::size_t{64} << 10U;
// What the server sends is not read; a small buffer lets it wait for the client soon.
constexpr int receive_buffer_bytes = 4096;
constexpr auto round_pause = 2ms;
constexpr auto longest_standstill = 2s;
constexpr auto longest_sending = 60s;

int connect_to(const net::endpoint& to) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -1;
    }
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    const timeval limit{5, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

} // namespace

client_crowd::client_crowd(const net::endpoint& to, std::size_t clients, client_script script)
    : m_script(std::move(script)) {
    for (std::size_t i = 0; i < clients; ++i) {
        const int fd = connect_to(to);
        if (fd >= 0) {
            m_clients.push_back({fd});
        }
    }
}

client_crowd::~client_crowd() {
    for (const client& each : m_clients) {
        ::close(each.socket);
    }
}

std::string client_crowd::part(std::size_t offset, std::size_t most) const {
    std::string bytes;
    if (offset < m_script.beginning.size()) {
        bytes = m_script.beginning.substr(offset, most);
    }
    while (bytes.size() < most && !m_script.repeated.empty()) {
        const auto position = offset + bytes.size() - m_script.beginning.size();
        bytes += m_script.repeated.substr(position % m_script.repeated.size());
    }
    bytes.resize(std::min(bytes.size(), most));
    return bytes;
}

std::size_t client_crowd::send_some(client& sender, std::size_t most) const {
    const auto bytes = part(sender.sent, std::min(most, m_script.total_bytes - sender.sent));
    const auto sent =
        ::send(sender.socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
        sender.closed = errno != EAGAIN && errno != EWOULDBLOCK;
        return 0;
    }
    sender.sent += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
}

void client_crowd::send_all() {
    const auto start = std::chrono::steady_clock::now();
    auto last_progress = start;
    while (true) {
        bool unfinished = false;
        const auto now = std::chrono::steady_clock::now();
        for (client& each : m_clients) {
            if (each.closed || each.sent == m_script.total_bytes) {
                continue;
            }
            unfinished = true;
            if (send_some(each, part_bytes) > 0) {
                last_progress = now;
            }
        }
        if (!unfinished || now - last_progress > longest_standstill ||
            now - start > longest_sending) {
            return;
        }
        std::this_thread::sleep_for(round_pause);
    }
}

void client_crowd::send_slowly(unsigned rounds, std::chrono::milliseconds pause) {
    for (unsigned round = 0; round < rounds; ++round) {
        for (client& each : m_clients) {
            if (!each.closed && each.sent < m_script.total_bytes) {
                (void)send_some(each, 1);
            }
        }
        std::this_thread::sleep_for(pause);
    }
}

} // namespace buckthornspar::process_test
