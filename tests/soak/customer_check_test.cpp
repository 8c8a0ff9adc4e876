#include "soak/customer_check.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::soak;

namespace {

run_event run_of(const std::string& job, int index, std::int64_t at_ms = 0) {
    return {"w" + std::to_string(index), job + ".0.0." + std::to_string(index), 1, 1, at_ms};
}

struct check_fixture {
    check_fixture() {
        check.create(2, 10);
        check.submit("a", 0);
        check.submit("b", 1);
    }

    void begin(const std::string& job, int count, std::int64_t at_ms = 0) {
        for (int i = 0; i < count; ++i) {
            check.begin(run_of(job, next++, at_ms));
        }
    }

    customer_check check;
    int next = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(customer_check_suite, check_fixture)

// Guards against a check that cannot fail, and against one that fails for what the rules allow.
BOOST_AUTO_TEST_CASE(starts_above_the_cap_are_reported) {
    begin("a", 12);
    begin("b", 12);
    begin("unknown", 30);
    BOOST_TEST(check.violations().empty());
    begin("a", 1);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against runs that count after their end or the crash of their worker.
BOOST_AUTO_TEST_CASE(ended_runs_do_not_count) {
    begin("a", 12);
    check.end(run_of("a", 0));
    check.crash("w1");
    begin("a", 2);
    BOOST_TEST(check.violations().empty());
    begin("a", 1);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against a lowered cap that is held against an owner that cannot know it yet.
BOOST_AUTO_TEST_CASE(the_former_cap_counts_for_a_time) {
    check.change(0, 2, 1000);
    begin("a", 12, 2000);
    BOOST_TEST(check.violations().empty());
    BOOST_TEST(!check.is_far_below_cap("a"));
    begin("a", 1, 40'000);
    BOOST_TEST(check.violations().size() == 1U);
}

// Guards against a call with an unknown key that is served without being reported.
BOOST_AUTO_TEST_CASE(a_served_call_with_an_unknown_key_is_reported) {
    check.answer_to_unknown_key(401);
    check.answer_to_unknown_key(503);
    BOOST_TEST(check.violations().empty());
    BOOST_TEST(check.refused_unknown_keys() == 1U);
    check.answer_to_unknown_key(200);
    BOOST_TEST(check.violations().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
