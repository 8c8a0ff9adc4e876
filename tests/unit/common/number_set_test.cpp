#include "core/common/number_set.h"
#include "core/common/rng.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <set>

using buckthornspar::common::number_set;

BOOST_AUTO_TEST_SUITE(number_sets)

// Guards against ranges that touch and are kept apart, which would let the size grow.
BOOST_AUTO_TEST_CASE(adjacent_ranges_are_joined) {
    number_set set;
    set.insert(3, 4);
    set.insert(7, 9);
    set.insert(0);
    BOOST_TEST(set.ranges().size() == 3U);
    set.insert(5, 6);
    BOOST_TEST(set.ranges().size() == 2U);
    set.insert(1, 2);
    BOOST_TEST(set.ranges().size() == 1U);
    BOOST_TEST(set.size() == 10U);
    BOOST_TEST(set.first_missing(4).value() == 10U);
}

// Guards against an overflow at the highest number.
BOOST_AUTO_TEST_CASE(the_highest_number_is_contained) {
    constexpr auto highest = std::numeric_limits<std::uint32_t>::max();
    number_set set;
    set.insert(highest - 1, highest);
    set.insert(highest);
    BOOST_TEST(set.contains(highest));
    BOOST_TEST(set.ranges().size() == 1U);
    BOOST_TEST(!set.first_missing(highest - 1).has_value());
    BOOST_TEST(set.first_missing(5).value() == 5U);
}

// Guards against a set that differs from a plain one after any order of overlapping inserts.
BOOST_AUTO_TEST_CASE(random_inserts_give_the_same_numbers) {
    buckthornspar::common::rng random(7);
    for (int round = 0; round < 50; ++round) {
        number_set set;
        std::set<std::uint32_t> plain;
        for (int i = 0; i < 40; ++i) {
            const auto first = static_cast<std::uint32_t>(random.below(200));
            const auto last = first + static_cast<std::uint32_t>(random.below(8));
            set.insert(first, last);
            for (auto n = first; n <= last; ++n) {
                plain.insert(n);
            }
        }
        BOOST_TEST(set.size() == plain.size());
        for (std::uint32_t n = 0; n < 220; ++n) {
            BOOST_TEST(set.contains(n) == plain.contains(n));
        }
        for (const auto& [first, last] : set.ranges()) {
            BOOST_TEST(!set.contains(last + 1));
            BOOST_TEST(set.first_missing(first).value() == last + 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
