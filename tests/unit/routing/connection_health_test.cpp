#include "core/routing/connection_health.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::routing;

BOOST_AUTO_TEST_SUITE(connection_health_test)

// Guards against continued use of a silent connection while new connections work.
BOOST_AUTO_TEST_CASE(answered_probe_replaces_silent_connections) {
    connection_health health;
    BOOST_TEST(!health.on_overdue().replace_connections);
    BOOST_TEST((health.state() == health_state::probing));
    BOOST_TEST(health.on_probe_answered().replace_connections);
    BOOST_TEST((health.state() == health_state::healthy));
}

// Guards against replacing the connections to a runner that is only slow.
BOOST_AUTO_TEST_CASE(slow_answers_replace_no_connections) {
    connection_health health;
    (void)health.on_overdue();
    BOOST_TEST(!health.on_answer().replace_connections);
    BOOST_TEST((health.state() == health_state::healthy));
    BOOST_TEST(!health.on_probe_answered().replace_connections);
}

// Guards against sending requests to an unresponsive runner, and against a runner that stays
// suspected after it responds again.
BOOST_AUTO_TEST_CASE(unanswered_probe_makes_the_runner_suspected) {
    connection_health health;
    (void)health.on_connection_lost();
    (void)health.on_probe_failed();
    BOOST_TEST((health.state() == health_state::suspected));
    (void)health.on_overdue();
    BOOST_TEST((health.state() == health_state::suspected));
    BOOST_TEST(health.on_probe_answered().replace_connections);
    BOOST_TEST((health.state() == health_state::healthy));
}

BOOST_AUTO_TEST_SUITE_END()
