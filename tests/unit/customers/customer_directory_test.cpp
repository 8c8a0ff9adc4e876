#include "core/customers/customer_directory.h"
#include "core/customers/job_access.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace buckthornspar::customers;

namespace {

std::vector<customer_defect> defects_of(const customer_directory& directory) {
    std::vector<customer_defect> result;
    for (const auto& report : directory.defects()) {
        result.push_back(report.defect);
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(customer_directory_suite)

// Guards against a damaged entry that takes others out of force, and against a key that identifies
// the wrong customer.
BOOST_AUTO_TEST_CASE(damaged_entries_do_not_affect_the_others) {
    const customer_directory directory({{"a", {"ka", "", "shared"}, 1.0, {}},
                                        {"", {"kn"}, 1.0, {}},
                                        {"a", {"kr"}, 1.0, {}},
                                        {"b", {"kb", "shared"}, -1.0, {}},
                                        {"c", {"kc"}, 1.0, {0, -1, 0}},
                                        {"d", {"kd", "kd"}, 0.0, {}}},
                                       1);
    BOOST_TEST(directory.find_by_key("ka")->name == "a");
    BOOST_TEST(directory.find_by_key("kb")->name == "b");
    BOOST_TEST(directory.find_by_key("kb")->weight == 0.0);
    BOOST_TEST(directory.find_by_key("kd")->name == "d");
    for (const auto* const key : {"", "shared", "kn", "kr", "kc", "k"}) {
        BOOST_TEST(directory.find_by_key(key) == nullptr);
    }
    const std::vector<customer_defect> expected{
        customer_defect::unreadable,    customer_defect::no_name,
        customer_defect::repeated_name, customer_defect::invalid_weight,
        customer_defect::negative_cap,  customer_defect::empty_key,
        customer_defect::shared_key};
    BOOST_TEST((defects_of(directory) == expected));
}

// Guards against a weight that makes every comparison of shares false.
BOOST_AUTO_TEST_CASE(a_weight_that_is_no_number_counts_as_none) {
    const customer_directory directory(
        {{"a", {"k"}, std::numeric_limits<double>::quiet_NaN(), {}}});
    BOOST_TEST(directory.find_by_key("k")->weight == 0.0);
}

// Guards against a key that identifies its former customer after a move to another one.
BOOST_AUTO_TEST_CASE(many_customers_are_found_by_their_keys) {
    std::vector<customer_settings> many;
    many.reserve(10'000);
    for (int i = 0; i < 10'000; ++i) {
        many.push_back({"c" + std::to_string(i), {"k" + std::to_string(i)}, 1.0, {}});
    }
    const customer_directory directory(std::move(many));
    BOOST_TEST(directory.defects().empty());
    BOOST_TEST(directory.find_by_key("k9999")->name == "c9999");
    auto copy = directory;
    BOOST_TEST(copy.find_by_key("k0")->name == "c0");
    copy = customer_directory({{"c", {"k0"}, 1.0, {}}});
    BOOST_TEST(copy.find_by_key("k0")->name == "c");
}

// Guards against calls that reach the jobs of another customer.
BOOST_AUTO_TEST_CASE(only_its_customer_reaches_a_job) {
    BOOST_TEST(may_reach({"a", ""}, {"q", "a"}));
    BOOST_TEST(!may_reach({"b", ""}, {"q", "a"}));
    BOOST_TEST(!may_reach({std::nullopt, ""}, {"q", "a"}));
    BOOST_TEST(may_reach({std::nullopt, "q"}, {"q", "a"}));
    BOOST_TEST(!may_reach({std::nullopt, "p"}, {"q", "a"}));
    BOOST_TEST(may_reach({"b", ""}, {"q", ""}));
    BOOST_TEST(may_reach({std::nullopt, ""}, {"q", ""}));
}

BOOST_AUTO_TEST_SUITE_END()
