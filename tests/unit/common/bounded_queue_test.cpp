#define BOOST_TEST_MODULE common
#include "core/common/bounded_queue.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using buckthornspar::common::bounded_queue;

BOOST_AUTO_TEST_SUITE(bounded_queue_test)

// Guards against a producer that blocks, or an item that is lost, when the consumer is too slow.
BOOST_AUTO_TEST_CASE(full_queue_rejects_and_keeps_the_item) {
    bounded_queue<std::string> queue(1);
    BOOST_TEST(queue.try_push("first"));
    std::string second = "second";
    BOOST_TEST(!queue.try_push(second));
    BOOST_TEST(second == "second");
    BOOST_TEST(queue.size() == 1U);
}

// Guards against a consumer thread that keeps waiting after the queue was closed for shutdown.
BOOST_AUTO_TEST_CASE(close_wakes_the_consumer) {
    bounded_queue<int> queue(4);
    std::thread closer([&] { queue.close(); });
    const auto items = queue.pop_all(std::chrono::seconds(20));
    closer.join();
    BOOST_TEST(items.empty());
    BOOST_TEST(!queue.try_push(1));
}

// Guards against reordering of items between threads.
BOOST_AUTO_TEST_CASE(items_keep_their_order) {
    bounded_queue<int> queue(3);
    BOOST_TEST(queue.try_push(1));
    BOOST_TEST(queue.try_push(2));
    BOOST_TEST((queue.pop_all(std::chrono::seconds(1)) == std::vector<int>{1, 2}));
}

BOOST_AUTO_TEST_SUITE_END()
