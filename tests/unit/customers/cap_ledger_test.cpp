#include "core/customers/cap_ledger.h"

#include "core/customers/cap_budget.h"
#include "core/customers/customer_gauges.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace buckthornspar;
using namespace buckthornspar::customers;
using placement::resources;

namespace {

customer_settings capped(const std::string& name, const resources& cap) {
    customer_settings customer;
    customer.name = name;
    customer.cap = cap;
    return customer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(cap_ledger_suite)

// Guards against a cap that is exceeded, or not used up, because charges and refunds do not match.
BOOST_AUTO_TEST_CASE(the_room_is_what_the_cap_leaves) {
    cap_ledger ledger;
    const auto a = ledger.open_account("a");
    ledger.set_caps({capped("a", {100, 50, 2})});
    ledger.charge(a, {60, 20, 1});
    ledger.charge(a, {30, 20, 1});
    BOOST_TEST((ledger.room(a) == resources{10, 10, 0}));
    ledger.refund(a, {60, 20, 1});
    BOOST_TEST((ledger.room(a) == resources{70, 30, 1}));
}

// Guards against a component 0 that is taken for a cap of nothing, and against work without a
// customer that is limited.
BOOST_AUTO_TEST_CASE(a_component_of_zero_is_unlimited) {
    cap_ledger ledger;
    ledger.set_caps({capped("a", {100, 0, 0})});
    const auto a = ledger.open_account("a");
    ledger.charge(a, {40, std::int64_t{1} << 40, 7});
    BOOST_TEST((ledger.room(a) == resources{60, unlimited, unlimited}));
    BOOST_TEST(ledger.open_account("") == no_customer);
    ledger.charge(no_customer, {1, 1, 1});
    BOOST_TEST((ledger.room(no_customer) == resources{unlimited, unlimited, unlimited}));
}

// Guards against starts beyond a cap that was lowered below what runs, and against jobs of a
// removed customer that run without any cap.
BOOST_AUTO_TEST_CASE(caps_change_and_outlast_their_customer) {
    cap_ledger ledger;
    BOOST_TEST(!ledger.any_caps());
    ledger.set_caps({capped("a", {100, 0, 0})});
    BOOST_TEST(ledger.any_caps());
    const auto a = ledger.open_account("a");
    ledger.charge(a, {80, 0, 0});
    ledger.set_caps({capped("a", {50, 0, 0})});
    BOOST_TEST(ledger.room(a).cpu_milli == -30);
    ledger.set_caps({});
    BOOST_TEST(ledger.room(a).cpu_milli == -30);
    ledger.set_caps({capped("a", {})});
    BOOST_TEST(ledger.room(a).cpu_milli == unlimited);
}

// Guards against a successor that starts tasks beside runs that it does not know of yet.
BOOST_AUTO_TEST_CASE(unreported_runs_count_against_the_caps) {
    cap_ledger ledger;
    ledger.set_caps({capped("a", {100, 0, 0}), capped("b", {100, 0, 0})});
    const auto a = ledger.open_account("a");
    const auto b = ledger.open_account("b");
    ledger.set_unreported({{70, 10, 0}, {}, {}});
    BOOST_TEST((ledger.room(a) == resources{30, unlimited, unlimited}));
    ledger.set_unreported({{}, {unlimited, unlimited, unlimited}, {a}});
    BOOST_TEST(ledger.room(a).cpu_milli < 0);
    BOOST_TEST(ledger.room(b).cpu_milli == 100);
    ledger.set_unreported({});
    BOOST_TEST(ledger.room(a).cpu_milli == 100);
}

// Guards against a product of count and demand that overflows and seems to fit.
BOOST_AUTO_TEST_CASE(a_huge_gang_never_fits) {
    const resources huge{std::numeric_limits<std::int64_t>::max() / 2, 1, 0};
    BOOST_TEST(!fits_cap({100, 0, 0}, huge, 4));
    BOOST_TEST(fits_cap({100, 0, 0}, {25, 5, 1}, 4));
    BOOST_TEST(!fits_cap({100, 0, 0}, {25, 5, 1}, 5));
    BOOST_TEST(!fits_cap({100, 0, 1}, {25, 5, 1}, 2));
}

// Guards against a plan that starts more for a customer than its cap leaves, because only runs of
// earlier plans count.
BOOST_AUTO_TEST_CASE(a_plan_counts_its_own_starts) {
    cap_ledger ledger;
    ledger.set_caps({capped("a", {100, 0, 0})});
    const auto a = ledger.open_account("a");
    cap_budget budget(&ledger);
    budget.take(a, {60, 5, 0});
    BOOST_TEST(budget.room(a).cpu_milli == 40);
    budget.claim(a, {30, 0, 0});
    BOOST_TEST(budget.room(a).cpu_milli == 40);
    BOOST_TEST(budget.unclaimed_room(a).cpu_milli == 10);
    BOOST_TEST(!cap_budget(nullptr).is_limited(a));
}

// Guards against one series of metrics for each of thousands of customers, and against series that
// stay when others take their place.
BOOST_AUTO_TEST_CASE(the_metrics_show_the_largest_customers) {
    common::counters counters;
    customer_gauges gauges(counters);
    cap_ledger ledger;
    std::vector<customer_settings> all(100);
    for (int i = 0; i < 100; ++i) {
        all[static_cast<std::size_t>(i)] = capped("c" + std::to_string(i), {1000 + i, 0, 0});
    }
    ledger.set_caps(all);
    for (int i = 0; i < 100; ++i) {
        ledger.charge(ledger.open_account("c" + std::to_string(i)), {i, 0, 0});
    }
    gauges.update(ledger);
    const auto count = [&counters] {
        const auto text = counters.render();
        std::size_t lines = 0;
        for (std::size_t at = text.find("customer_running_cpu_milli"); at != std::string::npos;
             at = text.find("customer_running_cpu_milli", at + 1)) {
            ++lines;
        }
        return lines;
    };
    BOOST_TEST(count() == customer_gauges::max_shown + 1);
    BOOST_TEST(counters.get("customer_running_cpu_milli", "customer", "c99").value() == 99);
    BOOST_TEST(counters.get("customer_cap_cpu_milli", "customer", "c99").value() == 1099);
    // The sum of 0 to 67.
    BOOST_TEST(counters.get("customer_running_cpu_milli", "customer", "other").value() == 2278);
    ledger.charge(ledger.open_account("c0"), {500, 0, 0});
    gauges.update(ledger);
    BOOST_TEST(count() == customer_gauges::max_shown + 1);
    BOOST_TEST(counters.get("customer_running_cpu_milli", "customer", "c0").value() == 500);
    gauges.clear();
    BOOST_TEST(count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
