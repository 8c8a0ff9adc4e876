#include "core/common/due_queue.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace buckthornspar::common;

namespace {

time_point at(int us) {
    return time_point(duration(us));
}

using names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(due_queue_test)

// Guards against a key that is still due at its former time after a new time was set.
BOOST_AUTO_TEST_CASE(setting_a_key_replaces_its_time) {
    due_queue<std::string> queue;
    queue.set("a", at(10));
    queue.set("b", at(20));
    queue.set("a", at(30));
    BOOST_TEST((queue.next() == at(20)));
    BOOST_TEST(queue.take_due(at(19)).empty());
    BOOST_TEST((queue.take_due(at(29)) == names{"b"}));
    BOOST_TEST(queue.contains("a"));
    queue.set("a", std::nullopt);
    BOOST_TEST(!queue.contains("a"));
    BOOST_TEST(!queue.next());
}

// Guards against an order that depends on the order of insertion, so that two runs would differ.
BOOST_AUTO_TEST_CASE(due_keys_are_returned_in_the_order_of_the_keys) {
    due_queue<std::string> queue;
    queue.set("c", at(1));
    queue.set("a", at(3));
    queue.set("b", at(2));
    queue.set("d", at(4));
    BOOST_TEST((queue.next_after(at(2)) == at(3)));
    BOOST_TEST(!queue.next_after(at(4)));
    BOOST_TEST((queue.take_due(at(3)) == names{"a", "b", "c"}));
    BOOST_TEST((queue.next() == at(4)));
}

BOOST_AUTO_TEST_SUITE_END()
