#pragma once

#include "core/net/endpoint.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace buckthornspar::process_test {

/// A server whose responses do not end: to any request it sends the beginning, then the repeated
/// part until the client closes the connection or total_bytes have been sent.
class endless_server {
public:
    endless_server(std::string beginning, std::string repeated, std::size_t total_bytes);
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    [[nodiscard]] net::endpoint address() const { return {"127.0.0.1", m_port}; }

    /// Number of connections that were served to their end.
    [[nodiscard]] unsigned served() const { return m_served; }

private:
    void accept();
    void serve(int connection);

    std::string m_beginning;
    std::string m_repeated;
    std::size_t m_total_bytes;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<unsigned> m_served{0};
    std::atomic<bool> m_stopping{false};
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace buckthornspar::process_test
