#pragma once

#include "core/net/endpoint.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

/// What a client sends on its connection: the beginning once, then the repeated part until the
/// total number of bytes has been sent.
struct client_script {
    std::string beginning;
    std::string repeated;
    std::size_t total_bytes = 0;
};

/// Connections that send what their script says, read nothing and stay open.
class client_crowd {
public:
    /// Opens the connections. Those that the server does not take are left out.
    client_crowd(const net::endpoint& to, std::size_t clients, client_script script);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends in turn until each client has sent its total, or the server has closed its connection,
    /// or takes nothing from any client any more.
    void send_all();

    /// Sends one byte from each client in each round, with a pause after the round.
    void send_slowly(unsigned rounds, std::chrono::milliseconds pause);

private:
    struct client {
        int socket = -1;
        std::size_t sent = 0;
        bool closed = false;
    };

    /// Returns the number of bytes sent, which is 0 if the server takes none now.
    std::size_t send_some(client& sender, std::size_t most) const;
    [[nodiscard]] std::string part(std::size_t offset, std::size_t most) const;

    client_script m_script;
    std::vector<client> m_clients;
};

} // namespace buckthornspar::process_test
