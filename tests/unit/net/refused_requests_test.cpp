#include "core/common/counters.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "core/net/http_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace buckthornspar;
using namespace buckthornspar::net;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class counting_handler final : public http_handler {
public:
    void handle(http_request request, http_reply reply) override {
        ++requests;
        http_response response;
        response.body = request.path() == "/large" ? std::string(30'000, 'x') : "a";
        reply(std::move(response));
    }
    std::atomic<unsigned> requests{0};
};

constexpr std::size_t budget_bytes = 40'000;

struct refusal_fixture {
    refusal_fixture() { loop.start(); }
    ~refusal_fixture() { loop.stop(); }

    [[nodiscard]] http_server_limits limits() const {
        http_server_limits result;
        result.request = {50'000, 1000, 300ms, 600ms, 0};
        result.guard = guard;
        return result;
    }

    asio::ip::tcp::socket send(const std::string& text) {
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), server.port()});
        asio::write(socket, asio::buffer(text));
        return socket;
    }

    // All that the server sends until it closes the connection.
    static std::string response_of(asio::ip::tcp::socket socket) {
        std::string text;
        boost::system::error_code failure;
        while (!failure) {
            std::string part(4096, ' ');
            part.resize(socket.read_some(asio::buffer(part), failure));
            text += part;
        }
        return text;
    }

    struct budget_use {
        std::size_t used = 0;
        std::size_t connections = 0;
    };
    // The budget belongs to the loop's thread.
    [[nodiscard]] budget_use budget_in_use() {
        std::promise<budget_use> result;
        loop.post([&] { result.set_value({guard->budget.used(), guard->budget.connections()}); });
        return result.get_future().get();
    }

    [[nodiscard]] std::int64_t refusals(std::string_view reason) {
        return counters.get("messages_refused_total", "reason", reason).value();
    }

    common::counters counters;
    std::shared_ptr<request_guard> guard =
        std::make_shared<request_guard>(budget_bytes, 100, counters);
    event_loop loop;
    counting_handler handler;
    http_server server{loop, {"127.0.0.1", 0}, limits(), handler};
    asio::io_context context;
};

std::string chunked(const std::string& rest) {
    return "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + rest;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(refused_requests_test, refusal_fixture)

// Guards against refusals without a status, and refused requests that reach the handler.
BOOST_AUTO_TEST_CASE(refusals_by_limit) {
    const std::string field = "X-A: " + std::string(600, 'a') + "\r\n";
    BOOST_TEST(response_of(send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 50001\r\n\r\n"))
                   .starts_with("HTTP/1.1 413"));
    BOOST_TEST(
        response_of(send("GET /a HTTP/1.1\r\n" + field + field)).starts_with("HTTP/1.1 431"));
    BOOST_TEST(response_of(send(chunked("0\r\n" + field + field))).starts_with("HTTP/1.1 431"));
    BOOST_TEST(response_of(send("GET /" + std::string(1100, 'a'))).starts_with("HTTP/1.1 431"));
    BOOST_TEST(handler.requests == 0U);
    BOOST_TEST(refusals("body_too_large") == 1);
    BOOST_TEST(refusals("header_too_large") == 3);
}

// Guards against clients that hold a connection with an unfinished request.
BOOST_AUTO_TEST_CASE(slow_requests_are_closed) {
    (void)response_of(send("GET /a HT"));
    (void)response_of(send(chunked("5\r\nabc")));
    // The connection is closed shortly before its refusal is counted.
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (refusals("too_slow") < 2 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(refusals("too_slow") == 2);
    BOOST_TEST(handler.requests == 0U);
}

// Guards against a small request that is refused instead of the large unfinished one that fills the
// memory, and against a refusal without the time after which to retry.
BOOST_AUTO_TEST_CASE(a_large_unfinished_request_gives_way) {
    auto large = send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\nb");
    while (budget_in_use().used < 30'000) {
        std::this_thread::sleep_for(1ms);
    }
    auto second = send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 8000\r\n\r\nb");
    const auto refused = response_of(std::move(large));
    BOOST_TEST(refused.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refused.find("Retry-After: 1") != std::string::npos);
    asio::write(second, asio::buffer(std::string(7999, 'b')));
    asio::write(second, asio::buffer(std::string("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")));
    const auto served = response_of(std::move(second));
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
    BOOST_TEST(handler.requests == 2U);
    BOOST_TEST(refusals("memory_full") == 1);
}

// Guards against a budget that loses bytes with each connection until it refuses everything.
BOOST_AUTO_TEST_CASE(the_budget_is_empty_afterwards) {
    for (int i = 0; i < 20; ++i) {
        (void)response_of(send("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
        (void)send(chunked("5\r\nabc"));
    }
    BOOST_TEST(handler.requests == 20U);
    for (auto use = budget_in_use(); use.used > 0 || use.connections > 0; use = budget_in_use()) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(budget_in_use().used == 0U);
}

// Guards against a stop that waits for a request whose rest does not arrive.
BOOST_AUTO_TEST_CASE(a_stop_does_not_wait_for_unfinished_requests) {
    loop.post([&] { server.set_limits({50'000, 1000, 1h, 1h, 0}, 1h); });
    auto idle = send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    (void)response_of(std::move(idle));
    auto unfinished = send(chunked("5\r\nabc"));
    while (budget_in_use().used == 0) {
        std::this_thread::sleep_for(1ms);
    }
    server.stop_accepting();
    const auto response = response_of(std::move(unfinished));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    while (server.requests_in_progress() > 0) {
        std::this_thread::sleep_for(1ms);
    }
    BOOST_TEST(handler.requests == 1U);
}

// Guards against responses over the limits that are reported as a lost connection, after which a
// request would be repeated.
BOOST_AUTO_TEST_CASE(large_responses_fail_with_their_kind) {
    const auto kind_with = [&](http_client_limits client_limits) {
        http_client client(loop, std::move(client_limits));
        std::promise<http_result> promise;
        client.send({"127.0.0.1", server.port()}, {http_method::get, "/large", {}, ""}, 5s,
                    [&](http_result result) { promise.set_value(std::move(result)); });
        const auto result = promise.get_future().get();
        BOOST_REQUIRE(std::holds_alternative<http_failure>(result));
        return std::get<http_failure>(result).kind;
    };
    BOOST_TEST((kind_with({.max_body_bytes = 20'000}) == http_failure_kind::response_too_large));
    http_client_limits small_budget;
    small_budget.guard = std::make_shared<request_guard>(10'000, 100, counters);
    BOOST_TEST((kind_with(small_budget) == http_failure_kind::response_too_large));
    BOOST_TEST(refusals("response_too_large") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
