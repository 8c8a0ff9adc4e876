#include "soak/advice_service.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::soak;

BOOST_AUTO_TEST_SUITE(advice)

// Guards against workers that start a gang with the ticket of another step, worker or life.
BOOST_AUTO_TEST_CASE(ticket_is_for_one_step_worker_and_life) {
    const std::string ticket = "5c0e.0.0/i-1/42/999999999";
    BOOST_TEST(is_valid_ticket(ticket, "5c0e.0.0", "i-1", 42));
    BOOST_TEST(!is_valid_ticket(ticket, "5c0e.0.1", "i-1", 42));
    BOOST_TEST(!is_valid_ticket(ticket, "5c0e.0.0", "i-2", 42));
    BOOST_TEST(!is_valid_ticket(ticket, "5c0e.0.0", "i-1", 43));
    BOOST_TEST(!is_valid_ticket("5c0e.0.0/i-1/42/-1", "5c0e.0.0", "i-1", 42));
    BOOST_TEST(!is_valid_ticket("", "5c0e.0.0", "i-1", 42));
}

// Guards against advice that admits all workers or none to a step, so that its gang never starts.
BOOST_AUTO_TEST_CASE(advice_admits_some_workers_to_each_step) {
    for (int step = 0; step < 100; ++step) {
        int admitted = 0;
        for (int worker = 1000; worker < 1016; ++worker) {
            admitted += is_admitted("5c8e0000010000" + std::to_string(10 + step) + ".0.0",
                                    "i-" + std::to_string(worker))
                            ? 1
                            : 0;
        }
        BOOST_TEST(admitted >= 2);
        BOOST_TEST(admitted <= 14);
    }
}

BOOST_AUTO_TEST_SUITE_END()
