#include "http.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <set>
#include <unistd.h>
#include <utility>

namespace review {

using namespace boost::asio::experimental::awaitable_operators;

std::int64_t now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 start)
        .count();
}

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

awaitable<void> pause_ms(std::int64_t time) {
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(time));
    co_await timer.async_wait(asio::use_awaitable);
}

json::object answer::object() const {
    boost::system::error_code failure;
    auto value = json::parse(body, failure);
    return failure || !value.is_object() ? json::object() : value.as_object();
}

answer json_answer(unsigned status, const json::object& body) {
    return {status, json::serialize(body)};
}

std::string path_of(const request& message) {
    const std::string target(message.target());
    return target.substr(0, target.find('?'));
}

std::string query_of(const request& message, const std::string& name) {
    const std::string target(message.target());
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto next = target.find('&', position + 1);
        const auto part = target.substr(
            position + 1, next == std::string::npos ? std::string::npos : next - position - 1);
        if (part.starts_with(name + "=")) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value.push_back(
                        static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)));
                    i += 2;
                } else {
                    value.push_back(part[i]);
                }
            }
            return value;
        }
        position = next;
    }
    return "";
}

json::object body_of(const request& message) {
    return answer{200, message.body()}.object();
}

std::int64_t integer_of(const json::object& object, const char* key) {
    const auto* const value = object.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}

std::string text_of(const json::object& object, const char* key) {
    const auto* const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

struct server::state : std::enable_shared_from_this<state> {
    state(asio::io_context& c, handler h)
        : context(c),
          serve(std::move(h)),
          acceptor(c),
          address(asio::ip::address_v4::loopback(), free_port()) {}

    void open() {
        acceptor = tcp::acceptor(context);
        acceptor.open(address.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        address = acceptor.local_endpoint();
        asio::co_spawn(context, accept(shared_from_this(), ++life), asio::detached);
    }

    void close() {
        ++life;
        beast::error_code ignored;
        acceptor.close(ignored);
        for (auto* const socket : sockets) {
            socket->close(ignored);
        }
    }

    static awaitable<void> accept(std::shared_ptr<state> self, unsigned life) {
        while (self->life == life) {
            beast::error_code failure;
            auto socket = co_await self->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                co_return;
            }
            asio::co_spawn(self->context, session(self, std::move(socket)), asio::detached);
        }
    }

    static awaitable<void> session(std::shared_ptr<state> self, tcp::socket socket) {
        self->sockets.insert(&socket);
        try {
            socket.set_option(tcp::no_delay(true));
            beast::flat_buffer buffer;
            while (true) {
                http::request_parser<http::string_body> parser;
                parser.body_limit(std::uint64_t{64} << 20U);
                co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
                const auto message = parser.release();
                const auto result = co_await self->serve(message);
                if (result.status == 0 || !socket.is_open()) {
                    break;
                }
                http::response<http::string_body> response;
                response.version(11);
                response.result(result.status);
                response.set(http::field::content_type, "application/json");
                response.keep_alive(message.keep_alive());
                response.body() = result.body;
                response.prepare_payload();
                co_await http::async_write(socket, response, asio::use_awaitable);
                if (!message.keep_alive()) {
                    break;
                }
            }
        } catch (const std::exception&) {
            // The peer or close() has ended the connection.
        }
        self->sockets.erase(&socket);
    }

    asio::io_context& context;
    handler serve;
    tcp::acceptor acceptor;
    tcp::endpoint address;
    std::set<tcp::socket*> sockets;
    unsigned life = 0;
};

server::server(asio::io_context& context, handler serve)
    : m_state(std::make_shared<state>(context, std::move(serve))) {}

server::~server() {
    m_state->close();
}

std::uint16_t server::port() const {
    return m_state->address.port();
}

void server::open() {
    m_state->open();
}

void server::close() {
    m_state->close();
}

namespace {

awaitable<answer> exchange(std::uint16_t port, request message) {
    try {
        tcp::socket socket(co_await asio::this_coro::executor);
        co_await socket.async_connect({asio::ip::address_v4::loopback(), port},
                                      asio::use_awaitable);
        co_await http::async_write(socket, message, asio::use_awaitable);
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(socket, buffer, response, asio::use_awaitable);
        co_return answer{response.result_int(), response.body()};
    } catch (const std::exception&) {
        co_return answer{};
    }
}

} // namespace

awaitable<answer> call(std::uint16_t port, http::verb method, std::string target,
                       std::map<std::string, std::string> fields, std::string body,
                       std::int64_t limit_ms) {
    request message(method, target, 11);
    message.set(http::field::host, "127.0.0.1");
    for (const auto& [name, value] : fields) {
        message.set(name, value);
    }
    message.keep_alive(false);
    if (!body.empty()) {
        message.set(http::field::content_type, "application/json");
    }
    message.body() = std::move(body);
    message.prepare_payload();
    auto result = co_await (exchange(port, std::move(message)) || pause_ms(limit_ms));
    co_return result.index() == 0 ? std::get<0>(result) : answer{};
}

// Ports below the range from which outgoing connections take theirs: a connection to a closed port
// of that range can take the port itself.
std::uint16_t free_port() {
    constexpr std::uint16_t first = 20'000;
    constexpr std::uint16_t last = 32'000;
    static std::uint16_t next = static_cast<std::uint16_t>(first + getpid() % 100 * 120);
    for (int tries = 0; tries < last - first; ++tries) {
        next = next >= last ? first : static_cast<std::uint16_t>(next + 1);
        asio::io_context context;
        tcp::acceptor acceptor(context);
        beast::error_code failure;
        acceptor.open(tcp::v4());
        acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), next), failure);
        if (!failure) {
            return next;
        }
    }
    return 0;
}

std::string encode_base64(const std::string& bytes) {
    namespace base64 = beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode_base64(const std::string& text) {
    namespace base64 = beast::detail::base64;
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

} // namespace review
