#include "core/routing/admission_queue.h"
#include "core/routing/retry_budget.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

admission_queue::item item(std::uint64_t key, request_class priority, duration deadline) {
    return {key, priority, time_point{} + deadline};
}

std::vector<std::uint64_t> pop_all(admission_queue& queue) {
    std::vector<std::uint64_t> keys;
    while (const auto key = queue.front()) {
        keys.push_back(*key);
        queue.pop_front();
    }
    return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_queue_test)

// Guards against ordering by arrival, and against deadlines that take precedence over classes.
BOOST_AUTO_TEST_CASE(class_precedes_deadline) {
    admission_queue queue({10, 0});
    std::optional<std::uint64_t> evicted;
    (void)queue.push(item(1, request_class::bulk, 1s), evicted);
    (void)queue.push(item(2, request_class::normal, 9s), evicted);
    (void)queue.push(item(3, request_class::normal, 5s), evicted);
    (void)queue.push(item(4, request_class::urgent, 20s), evicted);
    BOOST_TEST(queue.count_ahead(request_class::normal, time_point{} + 7s) == 2U);
    BOOST_TEST((pop_all(queue) == std::vector<std::uint64_t>{4, 3, 2, 1}));
}

// Guards against starvation of lower classes while requests of higher classes are always waiting.
BOOST_AUTO_TEST_CASE(lower_classes_keep_their_share) {
    admission_queue queue({1000, 0.25});
    std::optional<std::uint64_t> evicted;
    for (std::uint64_t i = 0; i < 100; ++i) {
        (void)queue.push(item(i, request_class::urgent, 1s), evicted);
        (void)queue.push(item(1000 + i, request_class::bulk, 1s), evicted);
    }
    std::size_t bulk = 0;
    for (int i = 0; i < 100; ++i) {
        bulk += *queue.front() >= 1000 ? 1 : 0;
        queue.pop_front();
    }
    BOOST_TEST(bulk == 20U);
}

// Guards against a full queue that refuses urgent requests while bulk requests wait in it.
BOOST_AUTO_TEST_CASE(full_queue_evicts_from_the_lowest_class) {
    admission_queue queue({2, 0});
    std::optional<std::uint64_t> evicted;
    (void)queue.push(item(1, request_class::normal, 1s), evicted);
    (void)queue.push(item(2, request_class::bulk, 1s), evicted);
    BOOST_TEST((queue.push(item(3, request_class::bulk, 1s), evicted) ==
                admission_queue::push_result::full));
    BOOST_TEST((queue.push(item(4, request_class::urgent, 1s), evicted) ==
                admission_queue::push_result::accepted));
    BOOST_TEST(evicted.value() == 2U);
    BOOST_TEST(queue.size() == 2U);
}

// Guards against unlimited retries when every attempt fails.
BOOST_AUTO_TEST_CASE(retries_are_a_share_of_first_attempts) {
    retry_budget budget({0.1, 5, 5ms, 500ms});
    std::size_t retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_first_attempt();
        retries += budget.try_take() ? 1 : 0;
    }
    BOOST_TEST(retries <= 105U);
    BOOST_TEST(retries >= 100U);
}

// Guards against synchronized retries, and against delays outside their limits.
BOOST_AUTO_TEST_CASE(backoff_is_jittered_and_bounded) {
    const retry_budget budget({0.1, 5, 5ms, 500ms});
    common::rng random(7);
    duration longest{0};
    for (unsigned n = 1; n < 40; ++n) {
        const duration d = budget.backoff(n, random);
        BOOST_TEST((d >= 2500us && d <= 500ms));
        longest = std::max(longest, d);
    }
    BOOST_TEST((longest > 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
