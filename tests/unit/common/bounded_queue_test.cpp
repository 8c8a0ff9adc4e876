#define BOOST_TEST_MODULE common
#include "core/common/bounded_queue.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using buckthornspar::common::bounded_queue;

BOOST_AUTO_TEST_SUITE(bounded_queue_test)

// Guards against a producer that blocks, or an item that is lost, when the consumer is too slow.
BOOST_AUTO_TEST_CASE(full_ring_refuses_and_keeps_the_item) {
    bounded_queue<std::string> ring(1);
    BOOST_TEST(ring.try_push("first"));
    std::string second = "second";
    BOOST_TEST(!ring.try_push(second));
    BOOST_TEST(second == "second");
    BOOST_TEST(ring.size() == 1U);
}

// Guards against a consumer thread that sleeps on after the ring was closed for shutdown.
BOOST_AUTO_TEST_CASE(close_wakes_the_consumer) {
    bounded_queue<int> ring(4);
    std::thread closer([&] { ring.close(); });
    const auto items = ring.pop_all(std::chrono::seconds(20));
    closer.join();
    BOOST_TEST(items.empty());
    BOOST_TEST(!ring.try_push(1));
}

// Guards against reordering of items between two duties.
BOOST_AUTO_TEST_CASE(items_keep_their_order) {
    bounded_queue<int> ring(3);
    BOOST_TEST(ring.try_push(1));
    BOOST_TEST(ring.try_push(2));
    BOOST_TEST((ring.pop_all(std::chrono::seconds(1)) == std::vector<int>{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()
