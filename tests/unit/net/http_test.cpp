#define BOOST_TEST_MODULE net
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "core/net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace buckthornspar::net;
using namespace std::chrono_literals;

namespace {

// Exceeds the capacity of the socket buffers of both sides.
constexpr std::size_t large_body_bytes = 32U << 20U;

// The changes that a busy second brings to a watch.
constexpr std::size_t medium_body_bytes = std::size_t{100} << 10U;

class echo_handler final : public http_handler {
public:
    std::atomic<unsigned> requests{0};

    void handle(http_request request, http_reply reply) override {
        ++requests;
        if (request.path() == "/throws") {
            throw std::length_error("unexpected");
        }
        if (request.path() == "/silent") {
            m_unanswered_reply = std::move(reply);
            return;
        }
        if (request.path() == "/large" || request.path() == "/medium") {
            http_response large;
            large.body =
                std::string(request.path() == "/large" ? large_body_bytes : medium_body_bytes, 'x');
            reply(std::move(large));
            return;
        }
        http_response response;
        response.fields.set("X-Target", request.target);
        response.body = request.body;
        reply(std::move(response));
    }

private:
    http_reply m_unanswered_reply;
};

struct http_fixture {
    http_fixture() : server(loop, {"127.0.0.1", 0}, small_limits(), handler), client(loop, {}) {
        loop.start();
    }
    ~http_fixture() { loop.stop(); }

    static http_server_limits small_limits() {
        http_server_limits limits;
        limits.request.max_body_bytes = 1000;
        return limits;
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server.port()}; }

    http_result call(http_request request, std::chrono::milliseconds timeout = 5s) {
        std::promise<http_result> promise;
        client.send(address(), std::move(request), timeout,
                    [&](http_result result) { promise.set_value(std::move(result)); });
        return promise.get_future().get();
    }

    // Stops as a server program does. Only the loop of the server is stopped.
    void stop_server() {
        server.stop_accepting();
        while (server.requests_in_progress() > 0) {
            std::this_thread::sleep_for(1ms);
        }
        loop.stop();
    }

    event_loop loop;
    echo_handler handler;
    http_server server;
    http_client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_test, http_fixture)

// Guards against bodies and headers that are lost on a reused connection.
BOOST_AUTO_TEST_CASE(requests_are_echoed_in_sequence) {
    for (int i = 0; i < 3; ++i) {
        http_request request;
        request.method = http_method::post;
        request.target = "/a?n=" + std::to_string(i);
        request.body = "body" + std::to_string(i);
        const auto result = call(request);
        BOOST_REQUIRE(std::holds_alternative<http_response>(result));
        const auto& response = std::get<http_response>(result);
        BOOST_TEST(response.body == request.body);
        BOOST_TEST(response.fields.get("x-target") == request.target);
    }
}

// Guards against an oversized body that reaches the handler or crashes the process. The larger body
// exceeds the socket buffers, so that the client is still sending when the server responds.
BOOST_DATA_TEST_CASE_F(http_fixture, oversized_body_gets_413,
                       boost::unit_test::data::make({std::size_t{5000}, large_body_bytes}),
                       body_bytes) {
    http_request request;
    request.method = http_method::post;
    request.target = "/a";
    request.body = std::string(body_bytes, 'x');
    const auto result = call(request);
    BOOST_REQUIRE(std::holds_alternative<http_response>(result));
    BOOST_TEST(std::get<http_response>(result).status == 413U);
}

// Guards against a request that never completes because the peer does not respond, and against
// reporting such a request as not sent.
BOOST_AUTO_TEST_CASE(silent_server_times_out_as_sent) {
    http_request request;
    request.target = "/silent";
    const auto result = call(request, 100ms);
    BOOST_REQUIRE(std::holds_alternative<http_failure>(result));
    BOOST_TEST((std::get<http_failure>(result).kind == http_failure_kind::timed_out));
    BOOST_TEST(std::get<http_failure>(result).request_sent);
}

// Guards against a refused connection that is reported as possibly executed.
BOOST_AUTO_TEST_CASE(refused_connection_was_not_sent) {
    std::promise<http_result> promise;
    client.send({"127.0.0.1", 1}, {}, 1s, [&](http_result r) { promise.set_value(std::move(r)); });
    const auto result = promise.get_future().get();
    BOOST_REQUIRE(std::holds_alternative<http_failure>(result));
    BOOST_TEST((std::get<http_failure>(result).kind == http_failure_kind::connect_failed));
    BOOST_TEST(!std::get<http_failure>(result).request_sent);
}

// Guards against paths and queries that are split at percent-encoded characters.
BOOST_AUTO_TEST_CASE(targets_are_decoded) {
    const auto segments = path_segments("/v1/jobs/a%2Fb");
    BOOST_TEST((segments == std::vector<std::string>{"v1", "jobs", "a/b"}));
    http_request request;
    request.target = "/v1/x?a=1&b=c%20d";
    BOOST_TEST(request.query("b").value() == "c d");
}

// Guards against a stop that truncates a response that is still being written.
BOOST_AUTO_TEST_CASE(stop_waits_until_the_response_is_written) {
    event_loop client_loop;
    client_loop.start();
    http_client separate_client(client_loop, {.max_body_bytes = 2 * large_body_bytes});
    std::promise<http_result> promise;
    http_request request;
    request.target = "/large";
    separate_client.send(address(), request, 10s,
                         [&](http_result r) { promise.set_value(std::move(r)); });
    while (server.requests_in_progress() == 0) {
        std::this_thread::yield();
    }
    stop_server();
    const auto result = promise.get_future().get();
    client_loop.stop();
    BOOST_REQUIRE(std::holds_alternative<http_response>(result));
    BOOST_TEST(std::get<http_response>(result).body.size() == large_body_bytes);
}

// Pattern: saturated owner. Guards against a watch that is seconds behind because its response is
// read in many small parts, each of which waits for one more pass through a busy event loop.
BOOST_AUTO_TEST_CASE(a_large_response_takes_few_passes_through_the_event_loop) {
    event_loop client_loop;
    http_client separate_client(client_loop, {});
    std::size_t received = 0;
    http_request request;
    request.target = "/medium";
    separate_client.send(address(), request, 10s,
                         [&](http_result r) { received = std::get<http_response>(r).body.size(); });
    std::size_t handlers = 0;
    while (received == 0 && client_loop.context().run_one_for(5s) > 0) {
        ++handlers;
        // The server's thread fills the socket buffer meanwhile.
        std::this_thread::sleep_for(2ms);
    }
    BOOST_TEST(received == medium_body_bytes);
    BOOST_TEST(handlers <= 20U);
}

// Pattern: saturated owner. Guards against a renewal of the lease that is sent late, because each
// request waits once more behind all that is ready in a busy event loop.
BOOST_AUTO_TEST_CASE(a_request_is_sent_before_what_is_ready_in_the_event_loop) {
    event_loop client_loop;
    http_client separate_client(client_loop, {});
    unsigned answers = 0;
    const auto send = [&] {
        http_request request;
        request.target = "/a";
        separate_client.send(address(), request, 10s, [&](const http_result&) { ++answers; });
    };
    send();
    while (answers == 0 && client_loop.context().run_one_for(5s) > 0) {
    }
    // The connection is idle now, so that the request needs no further step.
    const unsigned before = handler.requests;
    unsigned arrived = 0;
    client_loop.post(send);
    client_loop.post([&] {
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (arrived == 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(5ms);
            arrived = handler.requests - before;
        }
    });
    while (answers == 1 && client_loop.context().run_one_for(5s) > 0) {
    }
    BOOST_TEST(arrived == 1U);
    BOOST_TEST(answers == 2U);
}

// Guards against a failure that is reported while the request is still being sent: its caller would
// be called from within its own call.
BOOST_AUTO_TEST_CASE(a_call_completes_after_send_has_returned) {
    bool returned = false;
    bool completed_early = false;
    std::promise<void> done;
    loop.post([&] {
        client.send({"not an address", 1}, {}, 1s, [&](const http_result& result) {
            completed_early = !returned;
            BOOST_TEST(std::holds_alternative<http_failure>(result));
            done.set_value();
        });
        returned = true;
    });
    done.get_future().wait();
    BOOST_TEST(!completed_early);
}

// Guards against requests that fail because all connections to their endpoint are in use for a
// moment (UNASKED: the stops of cancelled jobs; LOST: the starts of a large gang).
BOOST_AUTO_TEST_CASE(requests_wait_for_a_connection) {
    constexpr unsigned requests = 200;
    http_client narrow(loop, {.max_connections_per_endpoint = 4});
    std::promise<void> all_completed;
    unsigned completed = 0;
    unsigned answered = 0;
    loop.post([&] {
        for (unsigned i = 0; i < requests; ++i) {
            narrow.send(address(), {http_method::get, "/a", {}, ""}, 5s,
                        [&](const http_result& result) {
                            answered += std::holds_alternative<http_response>(result) ? 1 : 0;
                            if (++completed == requests) {
                                all_completed.set_value();
                            }
                        },
                        {5s});
        }
    });
    all_completed.get_future().wait();
    BOOST_TEST(answered == requests);
}

// Guards against a request that waits although its caller has not asked for it, or for longer than
// the caller allows, and against reporting such a request as sent.
BOOST_AUTO_TEST_CASE(a_request_without_a_connection_was_not_sent) {
    http_client narrow(loop, {.max_connections_per_endpoint = 1});
    std::promise<void> held;
    narrow.send(address(), {http_method::get, "/silent", {}, ""}, 2s,
                [&](const http_result&) { held.set_value(); });
    for (const auto longest : {0ms, 50ms}) {
        std::promise<http_result> promise;
        const auto begun = std::chrono::steady_clock::now();
        narrow.send(address(), {http_method::get, "/a", {}, ""}, 5s,
                    [&](http_result result) { promise.set_value(std::move(result)); }, {longest});
        const auto result = promise.get_future().get();
        const auto took = std::chrono::steady_clock::now() - begun;
        BOOST_REQUIRE(std::holds_alternative<http_failure>(result));
        BOOST_TEST((std::get<http_failure>(result).kind == http_failure_kind::pool_exhausted));
        BOOST_TEST(!std::get<http_failure>(result).request_sent);
        BOOST_TEST((took >= longest && took < 1s));
    }
    held.get_future().wait();
}

// Guards against a poll that waits behind all orders to its worker, and against a connection that
// is lost because the request that should get it was cancelled.
BOOST_AUTO_TEST_CASE(first_requests_get_the_next_connection) {
    http_client narrow(loop, {.max_connections_per_endpoint = 1});
    std::string order;
    std::promise<void> done;
    const auto send = [&](const char* name, const char* target, bool first) {
        return narrow.send(address(), {http_method::get, target, {}, ""}, 100ms,
                           [&, name](const http_result&) {
                               order += name;
                               if (order.size() == 5) {
                                   done.set_value();
                               }
                           },
                           {5s, first});
    };
    loop.post([&] {
        send("s", "/silent", false);
        send("a", "/a", false);
        const auto cancelled = send("c", "/a", false);
        const auto also_cancelled = send("d", "/a", true);
        send("f", "/a", true);
        narrow.cancel(cancelled);
        narrow.cancel(also_cancelled);
    });
    done.get_future().wait();
    BOOST_TEST(order == "cdsfa");
}

// Guards against a stop that closes a persistent connection on which a request is arriving.
BOOST_AUTO_TEST_CASE(request_right_after_stop_gets_response_with_connection_close) {
    BOOST_REQUIRE(std::holds_alternative<http_response>(call({})));
    server.stop_accepting();
    const auto result = call({});
    BOOST_REQUIRE(std::holds_alternative<http_response>(result));
    BOOST_TEST(std::get<http_response>(result).fields.get("connection") == "close");
}

// Guards against a process that ends, or a caller without an answer, because of an unexpected error
// in a handler.
BOOST_AUTO_TEST_CASE(an_unexpected_error_of_a_handler_is_answered) {
    const auto result = call({http_method::get, "/throws", {}, ""});
    BOOST_REQUIRE(std::holds_alternative<http_response>(result));
    BOOST_TEST(std::get<http_response>(result).status == 500U);
    BOOST_TEST(std::get<http_response>(call({http_method::get, "/", {}, ""})).status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
