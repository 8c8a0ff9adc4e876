#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// HTTP for the stand-ins and clients of the review's cases. All of it runs on one thread.
namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::awaitable;
using tcp = asio::ip::tcp;

/// Milliseconds of the steady clock since the start of the program.
std::int64_t now_ms();
std::int64_t unix_ms();

/// Suspends the calling coroutine.
awaitable<void> pause_ms(std::int64_t time);

struct answer {
    /// 0: no response arrived.
    unsigned status = 0;
    std::string body;

    /// The body as a JSON object; empty if it is none.
    [[nodiscard]] json::object object() const;
};

answer json_answer(unsigned status, const json::object& body);

using request = http::request<http::string_body>;

/// The path of the target without its query.
std::string path_of(const request& message);
/// The decoded value of a query parameter; empty if it is missing.
std::string query_of(const request& message, const std::string& name);
json::object body_of(const request& message);
std::int64_t integer_of(const json::object& object, const char* key);
std::string text_of(const json::object& object, const char* key);

/// Serves a loopback port. While it is closed, the port refuses connections.
class server {
public:
    using handler = std::function<awaitable<answer>(const request&)>;

    server(asio::io_context& context, handler serve);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    [[nodiscard]] std::uint16_t port() const;
    void open();
    /// Ends all connections at once, as the end of a process does.
    void close();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Sends one request over a new connection; gives up after the time limit.
awaitable<answer> call(std::uint16_t port, http::verb method, std::string target,
                       std::map<std::string, std::string> fields, std::string body,
                       std::int64_t limit_ms);

/// A port that was free when it was asked for.
std::uint16_t free_port();

std::string encode_base64(const std::string& bytes);
std::string decode_base64(const std::string& text);

} // namespace review
