#include "core/scheduling/authority.h"

#include <boost/test/unit_test.hpp>

using buckthornspar::common::time_point;
using buckthornspar::scheduling::authority;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds validity{4};

time_point at(milliseconds since_start) {
    return time_point(since_start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(authority_test)

// Guards against counting expired acceptances, which would let a superseded owner continue.
BOOST_AUTO_TEST_CASE(authority_ends_with_the_acceptances_of_the_majority) {
    authority a(validity);
    a.set_quorums({"w1", "w2", "w3"}, {"w1", "w2", "w3"});
    a.record_acceptance("w1", at(seconds(1)));
    BOOST_TEST(!a.is_held(at(seconds(1))));
    a.record_acceptance("w2", at(seconds(2)));
    BOOST_TEST(a.is_held(at(milliseconds(4999))));
    BOOST_TEST(!a.is_held(at(seconds(5))));
    a.record_acceptance("w1", at(seconds(5)));
    BOOST_TEST(a.is_held(at(milliseconds(5999))));
    BOOST_TEST(!a.is_held(at(seconds(6))));
}

// Guards against an old response that arrives after a newer one and shortens the validity.
BOOST_AUTO_TEST_CASE(older_acceptance_does_not_replace_a_newer_one) {
    authority a(validity);
    a.set_quorums({"w1"}, {"w1"});
    a.record_acceptance("w1", at(seconds(3)));
    a.record_acceptance("w1", at(seconds(1)));
    BOOST_TEST(a.is_held(at(seconds(6))));
    BOOST_TEST(!a.is_held(at(seconds(7))));
    a.record_acceptance("w1", at(seconds(2)));
    BOOST_TEST(!a.is_held(at(seconds(7))));
}

// Guards against counts that are not updated when the sets change.
BOOST_AUTO_TEST_CASE(both_sets_need_a_majority) {
    authority a(validity);
    BOOST_TEST(!a.is_held(at(seconds(0))));
    a.record_acceptance("w1", at(seconds(1)));
    a.record_acceptance("w2", at(seconds(1)));
    a.set_quorums({"w1", "w2"}, {"w1", "w2", "w3", "w4"});
    BOOST_TEST(!a.is_held(at(seconds(1))));
    a.set_quorums({"w1", "w2"}, {"w1", "w2", "w3"});
    BOOST_TEST(a.is_held(at(seconds(1))));
    a.clear();
    BOOST_TEST(!a.is_held(at(seconds(1))));
    a.record_acceptance("w1", at(seconds(2)));
    a.record_acceptance("w3", at(seconds(2)));
    BOOST_TEST(!a.is_held(at(seconds(2))));
}

// Guards against a report of a majority that the owner lacks in one of the two sets.
BOOST_AUTO_TEST_CASE(the_smaller_reach_is_that_of_the_set_with_the_smaller_share) {
    authority a(validity);
    a.set_quorums({"w1", "w2"}, {"w1", "w2", "w3", "w4", "w5"});
    a.record_acceptance("w1", at(seconds(1)));
    a.record_acceptance("w3", at(seconds(2)));
    BOOST_TEST(a.smaller_reach(at(seconds(2))).accepted == 2U);
    BOOST_TEST(a.smaller_reach(at(seconds(2))).workers == 5U);
    BOOST_TEST(a.smaller_reach(at(seconds(5))).accepted == 0U);
    BOOST_TEST(a.smaller_reach(at(seconds(5))).workers == 2U);
}

// Guards against a time before which a higher epoch may have had a majority: too few acceptances,
// or a later one counted for an earlier.
BOOST_AUTO_TEST_CASE(sole_majority_ends_with_the_oldest_acceptance_of_the_newest_majority) {
    authority a(validity);
    a.set_quorums({"w1", "w2", "w3"}, {"w1", "w2", "w3"});
    a.record_acceptance("w1", at(seconds(5)));
    BOOST_TEST(!a.sole_majority_until().has_value());
    a.record_acceptance("w2", at(seconds(3)));
    BOOST_TEST((a.sole_majority_until() == at(seconds(3))));
    a.record_acceptance("w3", at(seconds(4)));
    BOOST_TEST((a.sole_majority_until() == at(seconds(4))));
    a.set_quorums({"w1", "w2", "w3"}, {"w2", "w3"});
    BOOST_TEST((a.sole_majority_until() == at(seconds(3))));
    a.set_quorums({}, {"w1"});
    BOOST_TEST(!a.sole_majority_until().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
