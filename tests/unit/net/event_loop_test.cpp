#include "core/net/event_loop.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <stdexcept>

using namespace buckthornspar::net;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(event_loop_suite)

// Guards against one unexpected error that ends the whole process, and against one that stays
// unnoticed.
BOOST_AUTO_TEST_CASE(an_exception_ends_only_its_task) {
    event_loop loop;
    unsigned failures = 0;
    loop.set_failure_handler([&failures] { ++failures; });
    std::promise<unsigned> done;
    loop.post([] { throw std::runtime_error("first"); });
    loop.post_after(5ms, [] { throw std::length_error("second"); });
    loop.post_after(30ms, [&] { done.set_value(failures); });
    loop.start();
    auto result = done.get_future();
    BOOST_REQUIRE((result.wait_for(5s) == std::future_status::ready));
    BOOST_TEST(result.get() == 2U);
    loop.stop();
}

BOOST_AUTO_TEST_SUITE_END()
