#pragma once

// A small HTTP/1.1 server on one thread, with replies that may follow later, and a blocking client.
// Messages have a Content-Length or no body, as those of the node and of these programs do.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

namespace review {

inline std::int64_t steady_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct address {
    std::string host;
    std::uint16_t port = 0;
};

inline address parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::runtime_error("not an address: " + text);
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

inline sockaddr_in socket_address(const address& at) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(at.port);
    if (inet_pton(AF_INET, at.host.c_str(), &result.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + at.host);
    }
    return result;
}

struct message {
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.find(' ', begin) - begin);
    }
    std::string path() const {
        const auto all = target();
        return all.substr(0, all.find('?'));
    }
    std::string query(const std::string& name) const {
        const auto all = target();
        auto at = all.find('?');
        while (at != std::string::npos) {
            const auto end = all.find('&', at + 1);
            const auto pair = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                return decode(pair.substr(equals + 1));
            }
            at = end;
        }
        return {};
    }
    int status() const { return std::atoi(first_line.c_str() + first_line.find(' ') + 1); }

    static std::string decode(const std::string& text) {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result.push_back(
                    static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
                i += 2;
            } else {
                result.push_back(text[i]);
            }
        }
        return result;
    }
};

// Takes a complete message from the front of the bytes; false when it is not complete yet.
inline bool take_message(std::string& bytes, message& result) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    message parsed;
    std::size_t at = bytes.find("\r\n");
    parsed.first_line = bytes.substr(0, at);
    std::size_t length = 0;
    while (at < end) {
        const auto line_end = bytes.find("\r\n", at + 2);
        const auto line = bytes.substr(at + 2, line_end - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto name = line.substr(0, colon);
            for (auto& c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto begin = line.find_first_not_of(' ', colon + 1);
            parsed.fields[name] = begin == std::string::npos ? "" : line.substr(begin);
        }
        at = line_end;
    }
    if (const auto text = parsed.field("content-length"); !text.empty()) {
        length = std::strtoul(text.c_str(), nullptr, 10);
    }
    if (bytes.size() < end + 4 + length) {
        return false;
    }
    parsed.body = bytes.substr(end + 4, length);
    bytes.erase(0, end + 4 + length);
    result = std::move(parsed);
    return true;
}

inline std::string response_bytes(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

class server {
public:
    using reply = std::function<void(int status, const std::string& body)>;
    using handler = std::function<void(const message& request, reply answer)>;

    server(const address& listen_on, handler handle) : m_handle(std::move(handle)) {
        std::signal(SIGPIPE, SIG_IGN);
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = socket_address(listen_on);
        if (::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(m_listener, 1024) != 0) {
            throw std::runtime_error("cannot listen on port " + std::to_string(listen_on.port));
        }
        m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
        watch(m_listener, 0, EPOLLIN, EPOLL_CTL_ADD);
    }

    // Handles what arrives until the given time of steady_ms().
    void run_until(std::int64_t until) {
        epoll_event events[256];
        const auto wait = std::max<std::int64_t>(0, until - steady_ms());
        const int count =
            ::epoll_wait(m_epoll, events, 256, static_cast<int>(std::min<std::int64_t>(wait, 50)));
        for (int i = 0; i < count; ++i) {
            if (events[i].data.u64 == 0) {
                accept_all();
                continue;
            }
            const auto found = m_connections.find(events[i].data.u64);
            if (found == m_connections.end()) {
                continue;
            }
            if ((events[i].events & EPOLLOUT) != 0) {
                flush(found->second);
            }
            if ((events[i].events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
                read(found->second);
            }
        }
        for (const auto id : std::exchange(m_closed, {})) {
            const auto found = m_connections.find(id);
            if (found != m_connections.end()) {
                ::close(found->second->socket);
                m_connections.erase(found);
            }
        }
    }

private:
    struct connection {
        std::uint64_t id = 0;
        int socket = -1;
        std::string in;
        std::string out;
        bool busy = false;
        bool wants_write = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void watch(int socket, std::uint64_t id, std::uint32_t events, int operation) {
        epoll_event event{};
        event.events = events;
        event.data.u64 = id;
        ::epoll_ctl(m_epoll, operation, socket, &event);
    }

    void accept_all() {
        while (true) {
            const int socket =
                ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            auto c = std::make_shared<connection>();
            c->id = ++m_last_id;
            c->socket = socket;
            m_connections[c->id] = c;
            watch(socket, c->id, EPOLLIN, EPOLL_CTL_ADD);
        }
    }

    void read(connection_ptr c) {
        char buffer[65536];
        while (true) {
            const auto size = ::recv(c->socket, buffer, sizeof buffer, 0);
            if (size > 0) {
                c->in.append(buffer, static_cast<std::size_t>(size));
                continue;
            }
            if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                m_closed.insert(c->id);
                return;
            }
            break;
        }
        next(c);
    }

    void next(connection_ptr c) {
        message request;
        while (!c->busy && take_message(c->in, request)) {
            c->busy = true;
            m_handle(request, [this, weak = std::weak_ptr<connection>(c)](int status,
                                                                          const std::string& body) {
                const auto to = weak.lock();
                if (!to) {
                    return;
                }
                to->busy = false;
                to->out += response_bytes(status, body);
                flush(to);
            });
        }
    }

    void flush(connection_ptr c) {
        while (!c->out.empty()) {
            const auto size = ::send(c->socket, c->out.data(), c->out.size(), MSG_NOSIGNAL);
            if (size < 0) {
                if (errno != EAGAIN && errno != EWOULDBLOCK) {
                    m_closed.insert(c->id);
                    return;
                }
                break;
            }
            c->out.erase(0, static_cast<std::size_t>(size));
        }
        const bool wants = !c->out.empty();
        if (wants != c->wants_write) {
            c->wants_write = wants;
            watch(c->socket, c->id, wants ? (EPOLLIN | EPOLLOUT) : EPOLLIN, EPOLL_CTL_MOD);
        }
    }

    handler m_handle;
    int m_listener = -1;
    int m_epoll = -1;
    std::uint64_t m_last_id = 0;
    std::map<std::uint64_t, connection_ptr> m_connections;
    std::set<std::uint64_t> m_closed;
};

// One connection, one request at a time. A status of 0 means that there was no answer.
class client {
public:
    explicit client(address to) : m_to(std::move(to)) {}
    ~client() { close(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    struct answer {
        int status = 0;
        std::string body;
    };

    answer call(const std::string& method, const std::string& target, const std::string& fields,
                const std::string& body, std::int64_t timeout_ms) {
        const auto deadline = steady_ms() + timeout_ms;
        if (m_socket < 0 && !connect(timeout_ms)) {
            return {};
        }
        const auto bytes = method + " " + target + " HTTP/1.1\r\n" + fields +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        std::size_t sent = 0;
        std::string in;
        char buffer[65536];
        while (true) {
            const auto left = deadline - steady_ms();
            if (left <= 0) {
                break;
            }
            pollfd waiting{m_socket, POLLIN, 0};
            waiting.events = static_cast<short>(sent < bytes.size() ? POLLIN | POLLOUT : POLLIN);
            if (::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                continue;
            }
            if ((waiting.revents & POLLOUT) != 0) {
                const auto size =
                    ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
                if (size < 0 && errno != EAGAIN) {
                    break;
                }
                sent += size > 0 ? static_cast<std::size_t>(size) : 0;
            }
            if ((waiting.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                const auto size = ::recv(m_socket, buffer, sizeof buffer, 0);
                if (size == 0 || (size < 0 && errno != EAGAIN)) {
                    break;
                }
                in.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
                message response;
                if (take_message(in, response)) {
                    if (response.field("connection") == "close") {
                        close();
                    }
                    return {response.status(), response.body};
                }
            }
        }
        close();
        return {};
    }

    void close() {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

private:
    bool connect(std::int64_t timeout_ms) {
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto at = socket_address(m_to);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
            pollfd waiting{m_socket, POLLOUT, 0};
            int failure = 0;
            socklen_t size = sizeof failure;
            if (errno != EINPROGRESS || ::poll(&waiting, 1, static_cast<int>(timeout_ms)) <= 0 ||
                ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
                failure != 0) {
                close();
                return false;
            }
        }
        const int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }

    address m_to;
    int m_socket = -1;
};

// Options as "--name value".
class options {
public:
    options(int count, char** words) {
        for (int i = 2; i + 1 < count; i += 2) {
            m_values[std::string(words[i])] = words[i + 1];
        }
    }
    std::string text(const std::string& name, const std::string& fallback = "") const {
        const auto found = m_values.find("--" + name);
        return found == m_values.end() ? fallback : found->second;
    }
    std::int64_t number(const std::string& name, std::int64_t fallback) const {
        const auto found = m_values.find("--" + name);
        return found == m_values.end() ? fallback : std::atoll(found->second.c_str());
    }

private:
    std::map<std::string, std::string> m_values;
};

} // namespace review
