#include "core/scheduling/pending_calls.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::scheduling;
using buckthornspar::common::time_point;
using std::chrono::seconds;

namespace {

time_point at(seconds since_start) {
    return time_point(since_start);
}

pending_call call_of(const std::string& job, bool cancel, std::uint64_t ticket, seconds deadline) {
    pending_call call;
    call.job = job;
    call.cancel = cancel;
    call.tickets.emplace(ticket, at(deadline));
    return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(pending_calls_test)

// Guards against a caller whose expired deadline is not reported because another caller of the same
// entry has a later deadline, or because the caller joined the call later.
BOOST_AUTO_TEST_CASE(each_caller_has_its_own_deadline) {
    pending_calls calls;
    calls.add(1, call_of("a", false, 10, seconds(5)));
    calls.join(1, 11, at(seconds(2)));
    calls.add(2, call_of("a", true, 12, seconds(2)));
    BOOST_TEST((calls.next_deadline() == at(seconds(2))));
    const auto expired = calls.take_expired(at(seconds(2)));
    BOOST_REQUIRE(expired.size() == 2U);
    BOOST_TEST((expired[0].tag == 1 && expired[0].tickets == std::vector<std::uint64_t>{11}));
    BOOST_TEST((expired[1].tag == 2 && expired[1].tickets == std::vector<std::uint64_t>{12}));
    BOOST_TEST((calls.next_deadline() == at(seconds(5))));
    BOOST_TEST(calls[1].tickets.size() == 1U);
}

// Guards against an index that still refers to a removed call, so that the next caller waits
// forever.
BOOST_AUTO_TEST_CASE(removed_call_is_not_found) {
    pending_calls calls;
    calls.add(1, call_of("a", false, 10, seconds(5)));
    calls.add(2, call_of("a", true, 11, seconds(5)));
    BOOST_TEST((calls.find("a", false) == 1U));
    BOOST_TEST(calls.take(1).has_value());
    BOOST_TEST(!calls.take(1).has_value());
    BOOST_TEST(!calls.find("a", false).has_value());
    BOOST_TEST((calls.find("a", true) == 2U));
    BOOST_TEST(calls.take_all().size() == 1U);
    BOOST_TEST(!calls.find("a", true).has_value());
    BOOST_TEST(!calls.next_deadline().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
