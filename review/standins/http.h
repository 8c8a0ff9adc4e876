#pragma once

// Small HTTP/1.1 server and client for the stand-ins: one thread per connection, JSON bodies.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

using request = http::request<http::string_body>;

struct response {
    unsigned status = 200;
    std::string body = "{}";
};

/// Answers a request; nothing means that the connection is closed without an answer.
using handler = std::function<std::optional<response>(const request&)>;

/// A free port below those that the system gives to outgoing connections, so that the port of a
/// stopped server stays free until it starts again.
inline std::uint16_t free_port() {
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) * 37U};
    while (true) {
        const auto port = static_cast<std::uint16_t>(12'000U + next++ % 18'000U);
        asio::io_context context;
        tcp::acceptor probe(context);
        beast::error_code failure;
        probe.open(tcp::v4(), failure);
        probe.set_option(asio::socket_base::reuse_address(true), failure);
        probe.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), failure);
        if (!failure) {
            return port;
        }
    }
}

class http_server {
public:
    /// Listens on 127.0.0.1; port 0 chooses a free one.
    http_server(std::uint16_t port, handler handle)
        : m_handle(std::move(handle)), m_port(port == 0 ? free_port() : port) {
        const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), m_port);
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen();
        m_accepting = std::thread([this] { accept(); });
    }

    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Closes the port and resets all connections, like the end of the process.
    void stop() {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_accepting.join();
        beast::error_code ignored;
        m_acceptor.close(ignored);
        {
            const std::lock_guard lock(m_mutex);
            for (const int socket : m_sockets) {
                ::shutdown(socket, SHUT_RDWR);
            }
        }
        while (m_connections > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

private:
    void accept() {
        while (!m_stopped) {
            pollfd ready{m_acceptor.native_handle(), POLLIN, 0};
            if (::poll(&ready, 1, 20) <= 0) {
                continue;
            }
            beast::error_code failure;
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, failure);
            if (failure) {
                continue;
            }
            ++m_connections;
            std::thread([this, s = std::move(socket)]() mutable {
                serve(std::move(s));
                --m_connections;
            }).detach();
        }
    }

    void serve(tcp::socket socket) {
        const int handle = socket.native_handle();
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.insert(handle);
        }
        beast::error_code failure;
        socket.set_option(tcp::no_delay(true), failure);
        beast::flat_buffer buffer;
        while (!m_stopped) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(std::uint64_t{64} << 20U);
            http::read(socket, buffer, parser, failure);
            if (failure) {
                break;
            }
            const auto answer = m_handle(parser.get());
            if (!answer || m_stopped) {
                break;
            }
            http::response<http::string_body> message;
            message.version(11);
            message.result(answer->status);
            message.set(http::field::content_type, "application/json");
            message.keep_alive(true);
            message.body() = answer->body;
            message.prepare_payload();
            http::write(socket, message, failure);
            if (failure) {
                break;
            }
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.erase(handle);
        socket.close(failure);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context};
    handler m_handle;
    std::uint16_t m_port = 0;
    std::thread m_accepting;
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_connections{0};
    std::mutex m_mutex;
    std::set<int> m_sockets;
};

/// Sends one request to a port of 127.0.0.1 on a new connection; nothing if there was no answer.
inline std::optional<response> call(std::uint16_t port, http::verb method,
                                    const std::string& target, const std::string& body,
                                    const std::string& host, int timeout_ms) {
    asio::io_context context;
    beast::tcp_stream stream(context);
    request message{method, target, 11};
    message.set(http::field::host, host);
    message.set("Buckthornspar-Deadline-Ms", std::to_string(timeout_ms));
    if (!body.empty()) {
        message.set(http::field::content_type, "application/json");
        message.body() = body;
    }
    message.keep_alive(false);
    message.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    bool answered = false;
    stream.expires_after(std::chrono::milliseconds(timeout_ms));
    stream.async_connect(
        tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), [&](beast::error_code failed) {
            if (failed) {
                return;
            }
            http::async_write(stream, message, [&](beast::error_code write_failed, std::size_t) {
                if (write_failed) {
                    return;
                }
                http::async_read(
                    stream, buffer, answer,
                    [&](beast::error_code read_failed, std::size_t) { answered = !read_failed; });
            });
        });
    context.run();
    if (!answered) {
        return std::nullopt;
    }
    return response{answer.result_int(), answer.body()};
}

} // namespace review
