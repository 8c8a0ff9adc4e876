#include "core/service/load_shedding.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

load_signals behind() {
    load_signals signals;
    signals.starts_limited = true;
    return signals;
}

void run(load_shedding& shedding, unsigned windows, const load_signals& signals) {
    for (unsigned i = 0; i < windows; ++i) {
        static_cast<void>(shedding.on_window(signals));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_shedding_suite)

// Guards against an owner that gives up work that matters before work that does not.
BOOST_AUTO_TEST_CASE(work_is_shed_in_order) {
    const dispatch::dispatcher_settings usual;
    load_shedding shedding(true);
    run(shedding, 2, behind());
    BOOST_TEST(shedding.level() == 1U);
    BOOST_TEST((shedding.poll_wait(usual.poll_wait) > usual.poll_wait));
    BOOST_TEST(shedding.max_ticket_requests() == 0U);
    run(shedding, 10, behind());
    BOOST_TEST(shedding.level() == 2U);
    BOOST_TEST(shedding.max_ticket_requests() > 0U);
}

// Guards against polls so far apart that an owner loses its authority or runs their leases.
BOOST_AUTO_TEST_CASE(polls_stay_frequent_enough_for_leases_and_authority) {
    const dispatch::dispatcher_settings usual;
    load_shedding shedding(true);
    run(shedding, 10, behind());
    const auto wait = shedding.poll_wait(usual.poll_wait);
    BOOST_TEST((wait + usual.idle_poll_interval / 2 < usual.authority));
    BOOST_TEST((2 * wait < usual.leases.lease));
}

// Guards against a level that changes with each burst, and against one that stays for good.
BOOST_AUTO_TEST_CASE(levels_change_slowly) {
    load_shedding shedding(true);
    for (int i = 0; i < 20; ++i) {
        run(shedding, 1, behind());
        run(shedding, 1, {});
    }
    BOOST_TEST(shedding.level() == 0U);
    run(shedding, 2, behind());
    run(shedding, 4, {});
    BOOST_TEST(shedding.level() == 1U);
    run(shedding, 1, {});
    BOOST_TEST(shedding.level() == 0U);
}

// Pattern: outage of the store. Guards against shedding for ages that grow because the store does
// not answer.
BOOST_AUTO_TEST_CASE(an_outage_of_the_store_sheds_nothing) {
    load_signals signals;
    signals.jobs_age = 20s;
    signals.list_age = 20s;
    signals.store_down = true;
    load_shedding shedding(true);
    run(shedding, 10, signals);
    BOOST_TEST(shedding.level() == 0U);
    signals.store_down = false;
    run(shedding, 2, signals);
    BOOST_TEST(shedding.level() == 1U);
}

// Guards against a change for owners that can carry the fleet.
BOOST_AUTO_TEST_CASE(a_suitable_owner_sheds_nothing) {
    load_shedding shedding(false);
    run(shedding, 10, behind());
    BOOST_TEST(shedding.level() == 0U);
    dispatch::advice_slots slots;
    slots.calls = 80;
    BOOST_TEST(shedding.limit(slots, 70, true).calls == 80U);
}

// Guards against ticket requests beyond the limit, counted with those that are on the way.
BOOST_AUTO_TEST_CASE(ticket_requests_on_the_way_count) {
    load_shedding shedding(true);
    run(shedding, 10, behind());
    const auto most = shedding.max_ticket_requests();
    dispatch::advice_slots slots;
    slots.calls = 80;
    BOOST_TEST(shedding.limit(slots, 0, true).calls == most);
    BOOST_TEST(shedding.limit(slots, most - 1, true).calls == 1U);
    BOOST_TEST(shedding.limit(slots, most + 5, true).calls == 0U);
    BOOST_TEST(shedding.limit(slots, most + 5, true).long_calls == 0U);
}

// Guards against workers that stay idle because tickets are not asked for although the link has
// room for starts.
BOOST_AUTO_TEST_CASE(tickets_are_asked_for_while_no_start_waits) {
    load_shedding shedding(true);
    run(shedding, 10, behind());
    dispatch::advice_slots slots;
    slots.calls = 80;
    BOOST_TEST(shedding.limit(slots, 70, false).calls == 80U);
}

BOOST_AUTO_TEST_SUITE_END()
