#define BOOST_TEST_MODULE process_standins
#include "process/child_process.h"
#include "process/http_caller.h"
#include "process/temporary_directory.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

struct store_fixture {
    store_fixture()
        : store("standin-store", {}, directory.file("log")), address(store.wait_for_address()) {}

    temporary_directory directory;
    child_process store;
    buckthornspar::net::endpoint address;
    http_caller http;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(standin_store, store_fixture)

// Guards against two writes with the same expected index that both succeed.
BOOST_AUTO_TEST_CASE(compare_and_swap_lets_one_writer_through) {
    BOOST_TEST(http.put(address, "/v1/kv/a?cas=0", "1").body == "true");
    BOOST_TEST(http.put(address, "/v1/kv/a?cas=0", "2").body == "false");
    BOOST_TEST(http.get(address, "/v1/kv/a").body.find("\"Value\":\"MQ==\"") != std::string::npos);
}

// Guards against a watch that misses a change or returns without one.
BOOST_AUTO_TEST_CASE(watch_answers_at_the_change) {
    buckthornspar::net::http_request watch;
    watch.target = "/v1/kv/w?index=1&wait=5000ms";
    auto pending = http.call_later(address, watch, 10s);
    BOOST_TEST((pending.wait_for(200ms) == std::future_status::timeout));
    BOOST_TEST(http.put(address, "/v1/kv/w", "x").body == "true");
    BOOST_TEST(pending.get().status == 200U);
}

// Guards against a lose_answers fault that also drops the write, so that tests of lost responses
// would test nothing.
BOOST_AUTO_TEST_CASE(lost_answer_keeps_the_write) {
    BOOST_TEST(http.post(address, "/v1/faults", R"({"lose_answers":1})").status == 200U);
    BOOST_TEST(http.put(address, "/v1/kv/a?cas=0", "1").status == 0U);
    BOOST_TEST(http.get(address, "/v1/kv/a").status == 200U);
    BOOST_TEST(http.put(address, "/v1/kv/b?cas=0", "1").body == "true");
}

// Guards against a stand-in that does not exit at SIGTERM, which would leave processes behind.
BOOST_AUTO_TEST_CASE(sigterm_stops_the_standin) {
    BOOST_TEST(store.terminate(5s) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
