#include "core/store/http_kv_store.h"

#include "core/common/counters.h"
#include "core/common/error.h"
#include "core/net/event_loop.h"
#include "core/net/http_server.h"
#include "core/store/consul_format.h"
#include "standins/relay.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>

using namespace buckthornspar;
using namespace buckthornspar::store;
using namespace std::chrono_literals;

namespace {

/// Records the request and sends the configured response, or none.
class stub_store final : public net::http_handler {
public:
    void handle(net::http_request request, net::http_reply reply) override {
        target = request.target;
        body = request.body;
        if (withhold_response) {
            m_withheld_reply = std::move(reply);
            return;
        }
        reply(response);
    }

    net::http_response response;
    bool withhold_response = false;
    std::string target;
    std::string body;

private:
    net::http_reply m_withheld_reply;
};

struct store_fixture {
    store_fixture()
        : server(loop, {"127.0.0.1", 0}, {}, handler),
          kv(kv_store_registry::instance().make("http", context(server.port()))) {
        loop.start();
    }
    ~store_fixture() { loop.stop(); }

    kv_store_context context(std::uint16_t port) {
        return {loop, counts, {"127.0.0.1", port}, 100ms};
    }

    kv_response call(kv_store& to, const kv_request& request) {
        std::promise<kv_response> promise;
        to.submit(request, [&](kv_response r) { promise.set_value(std::move(r)); });
        return promise.get_future().get();
    }

    kv_response call(kv_operation operation, unsigned status, const std::string& body) {
        handler.response = {};
        handler.response.status = status;
        handler.response.body = body;
        handler.response.fields.set("X-Consul-Index", "42");
        return call(*kv, {operation, "a b/c", "value", 7, 9, 20ms});
    }

    net::event_loop loop;
    common::counters counts;
    stub_store handler;
    net::http_server server;
    std::unique_ptr<kv_store> kv;
};

/// A store behind a link that can become silent.
struct link_fixture : store_fixture {
    link_fixture() {
        on_loop([&] {
            link = std::make_unique<standins::relay>(
                loop, net::endpoint{"127.0.0.1", server.port()}, 0ms);
        });
        kv_store_context linked = context(link->address().port);
        linked.timeout = 1s;
        kv = kv_store_registry::instance().make("http", linked);
    }

    void on_loop(const std::function<void()>& task) {
        std::promise<void> done;
        loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().get();
    }

    void wait_for_request() {
        bool arrived = false;
        while (!arrived) {
            on_loop([&] { arrived = !handler.target.empty(); });
        }
    }

    /// Lets a watch time out whose link was silent for a moment while a second connection was
    /// idle. run executes the retry in the completion of the watch. Returns the result of the
    /// retry.
    kv_response retry_after_silence(const std::function<void(const std::function<void()>&)>& run) {
        std::promise<kv_response> retried;
        kv_status watched = kv_status::ok;
        on_loop([&] { handler.withhold_response = true; });
        kv->submit({kv_operation::watch, "a", "", 0, 9, 20ms}, [&](const kv_response& r) {
            watched = r.status;
            run([&] {
                kv->submit({kv_operation::get, "a", "", 0, 0, 0ms},
                           [&](kv_response response) { retried.set_value(std::move(response)); });
            });
        });
        wait_for_request();
        on_loop([&] { handler.withhold_response = false; });
        BOOST_TEST((call(kv_operation::get, 200, "[]").status == kv_status::ok));
        on_loop([&] {
            link->set_state(standins::relay_state::silent);
            link->set_state(standins::relay_state::open);
        });
        kv_response response = retried.get_future().get();
        BOOST_TEST((watched == kv_status::unavailable));
        return response;
    }

    std::unique_ptr<standins::relay> link;
};

const std::string one_entry = R"([{"Key":"a b/c","Value":"aGVsbG8=","ModifyIndex":12,"Flags":0}])";

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_kv_store_suite, store_fixture)

// Guards against requests that deviate from the Consul KV API and that another server of it would
// not understand.
BOOST_AUTO_TEST_CASE(requests_follow_the_consul_api) {
    (void)call(kv_operation::get, 200, one_entry);
    BOOST_TEST(handler.target == "/v1/kv/a%20b/c");
    (void)call(kv_operation::list, 200, one_entry);
    BOOST_TEST(handler.target == "/v1/kv/a%20b/c?recurse=true");
    (void)call(kv_operation::watch, 200, one_entry);
    BOOST_TEST(handler.target == "/v1/kv/a%20b/c?index=9&wait=20ms");
    (void)call(kv_operation::put_if, 200, "true");
    BOOST_TEST(handler.target == "/v1/kv/a%20b/c?cas=7");
    BOOST_TEST(handler.body == "value");
    BOOST_TEST(counts.get("store_calls_total", "op", "put_if").value() == 1);
}

// Guards against misinterpreted responses.
BOOST_AUTO_TEST_CASE(responses_are_parsed) {
    const auto found = call(kv_operation::get, 200, one_entry);
    BOOST_REQUIRE(found.entries.size() == 1U);
    BOOST_TEST(found.entries[0].value == "hello");
    BOOST_TEST(found.entries[0].modify_index == 12U);
    BOOST_TEST(found.index == 42U);
    BOOST_TEST((call(kv_operation::watch, 404, "").status == kv_status::not_found));
    BOOST_TEST((call(kv_operation::list, 404, "").status == kv_status::ok));
    BOOST_TEST((call(kv_operation::put_if, 200, "true\n").status == kv_status::ok));
    BOOST_TEST((call(kv_operation::put_if, 200, "false").status == kv_status::conflict));
}

// Guards against a write that is reported as not executed although it may have taken effect.
BOOST_AUTO_TEST_CASE(failed_write_is_unknown_unless_never_sent) {
    for (const unsigned status : {404U, 408U, 429U, 500U, 503U}) {
        BOOST_TEST((call(kv_operation::put_if, status, "").status == kv_status::unknown));
    }
    BOOST_TEST((call(kv_operation::put_if, 200, "maybe").status == kv_status::unknown));
    handler.withhold_response = true;
    BOOST_TEST((call(kv_operation::put_if, 200, "").status == kv_status::unknown));
    BOOST_TEST(counts.get("store_errors_total", "kind", "timed_out").value() == 1);
    http_kv_store unreachable_store(context(1));
    const auto refused = call(unreachable_store, {kv_operation::put_if, "a", "v", 0, 0, 0ms});
    BOOST_TEST((refused.status == kv_status::unavailable));
}

// Guards against a failed read that is reported as an absent key.
BOOST_AUTO_TEST_CASE(failed_read_is_unavailable) {
    BOOST_TEST((call(kv_operation::get, 500, "").status == kv_status::unavailable));
    for (const char* const body :
         {"", "{}", "[1]", R"([{"Key":"k"}])", R"([{"Key":"k","Value":"a","ModifyIndex":1}])"}) {
        BOOST_TEST((call(kv_operation::get, 200, body).status == kv_status::unavailable));
    }
}

// Guards against a retry on an idle connection that the same silence has made useless, so that it
// takes a second time-out until the store is reached.
BOOST_FIXTURE_TEST_CASE(retry_in_the_completion_of_a_timed_out_call_uses_a_new_connection,
                        link_fixture) {
    const auto response = retry_after_silence([](const auto& submit) { submit(); });
    BOOST_TEST((response.status == kv_status::ok));
}

// Like the case above. The config process retries on its own thread, which may run before the
// completion has returned.
BOOST_FIXTURE_TEST_CASE(retry_on_another_thread_after_a_time_out_uses_a_new_connection,
                        link_fixture) {
    const auto response =
        retry_after_silence([](const auto& submit) { std::thread(submit).join(); });
    BOOST_TEST((response.status == kv_status::ok));
}

// Guards against corrupted values: base64 text ends in zero, one or two '=' characters, depending
// on the length of the value.
BOOST_AUTO_TEST_CASE(base64_is_decoded) {
    BOOST_TEST(decode_base64("").empty());
    BOOST_TEST(decode_base64("Zg==") == "f");
    BOOST_TEST(decode_base64("Zm8=") == "fo");
    BOOST_TEST(decode_base64("Zm9v") == "foo");
    BOOST_CHECK_THROW((void)decode_base64("Zm9"), common::format_error);
    BOOST_CHECK_THROW((void)decode_base64("Z==="), common::format_error);
    BOOST_CHECK_THROW((void)decode_base64("Zm9*"), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()
