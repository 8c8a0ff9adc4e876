#include "core/customers/share_order.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <string>

using namespace buckthornspar;
using namespace buckthornspar::customers;
using namespace std::chrono_literals;

namespace {

struct share_fixture {
    static customer_settings customer(const std::string& name, double weight) {
        return {name, {}, weight, {}};
    }

    /// Adds jobs at equal distances; returns how many of them are entitled.
    std::size_t send(const std::string& name, double per_second, common::duration length,
                     double fleet_seconds = 0.001, bool urgent = false) {
        const auto count = static_cast<std::size_t>(
            std::lround(per_second * std::chrono::duration<double>(length).count()));
        std::size_t entitled = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto at =
                now + length * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(count);
            last = name + std::to_string(m_next++);
            const auto share = order.add({last, name, at, fleet_seconds, urgent});
            entitled += share == share_class::entitled ? 1U : 0U;
            urgent_count += share == share_class::urgent ? 1U : 0U;
        }
        return entitled;
    }

    common::time_point now{100s};
    share_order order;
    std::string last;
    std::size_t urgent_count = 0;

private:
    std::size_t m_next = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(share_order_suite, share_fixture)

// Pattern: one customer at 7.5 times its rate. Guards against a hot customer whose jobs count as
// much as those of the others, and against one that loses what it is entitled to.
BOOST_AUTO_TEST_CASE(a_customer_is_entitled_to_its_rate_and_a_short_burst) {
    order.set_customers({customer("hot", 20.0), customer("calm", 20.0), customer("small", 1.0)});
    const auto entitled = send("hot", 150.0, 10s);
    BOOST_TEST(entitled >= 200U);
    BOOST_TEST(entitled <= 242U);
    BOOST_TEST(send("calm", 19.0, 10s) == 190U);
    BOOST_TEST(send("small", 1.0, 10s) == 10U);
    BOOST_TEST(order.backlogs().at("hot").jobs == 1500 - entitled);
    BOOST_TEST(!order.backlogs().contains("calm"));
}

// Pattern: a customer that was idle. Guards against a rate that is saved up for an hour and spent
// at once.
BOOST_AUTO_TEST_CASE(an_idle_customer_saves_up_nothing_beyond_its_burst) {
    order.set_customers({customer("idle", 20.0), customer("busy", 20.0)});
    now += 3600s;
    BOOST_TEST(send("idle", 1000.0, 1s) <= 61U);
    // The same holds among the jobs in excess: the one that was idle shares with the busy one.
    static_cast<void>(send("busy", 1000.0, 1s));
    const auto first_of_busy = order.excess_place(last);
    now += 5s;
    static_cast<void>(send("idle", 1000.0, 1s));
    BOOST_REQUIRE(first_of_busy);
    BOOST_TEST(*order.excess_place(last) > *first_of_busy);
}

// Guards against excess of a small customer that waits behind all that a large one has sent, and
// against shares that ignore how much a job takes.
BOOST_AUTO_TEST_CASE(excess_is_served_in_proportion_to_weight_and_size) {
    order.set_customers({customer("large", 30.0), customer("small", 10.0), customer("wide", 10.0)});
    static_cast<void>(send("large", 1000.0, 1s));
    const auto end_of_large = order.excess_place(last);
    static_cast<void>(send("small", 330.0, 1s));
    const auto end_of_small = order.excess_place(last);
    static_cast<void>(send("wide", 330.0, 1s, 0.002));
    const auto end_of_wide = order.excess_place(last);
    BOOST_REQUIRE((end_of_large && end_of_small && end_of_wide));
    BOOST_TEST(*end_of_small < *end_of_large * 1.1);
    BOOST_TEST(*end_of_small > *end_of_large * 0.9);
    BOOST_TEST(*end_of_wide > *end_of_small * 1.8);
}

// Guards against jobs in excess that wait forever behind a steady stream of entitled work, and
// against a customer whose old excess goes before all others at once.
BOOST_AUTO_TEST_CASE(the_oldest_job_in_excess_becomes_entitled_one_at_a_time) {
    order.set_customers({customer("hot", 1.0), customer("other", 1.0)});
    static_cast<void>(send("hot", 50.0, 1s));
    BOOST_TEST(order.take_aged(now + 14s).empty());
    const auto first = order.take_aged(now + 17s);
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((order.class_of(first[0]) == share_class::entitled));
    BOOST_TEST(order.take_aged(now + 18s).empty());
    order.on_begun(first[0]);
    const auto second = order.take_aged(now + 18s);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0] != first[0]);
    order.erase(second[0]);
    BOOST_TEST(order.take_aged(now + 19s).size() == 1U);
}

// Guards against urgent work that loses its priority because of the number of its jobs although it
// takes little, and against a flood of urgent jobs that takes the fleet from the others.
BOOST_AUTO_TEST_CASE(urgent_excess_keeps_its_priority_within_the_share_of_the_fleet) {
    order.set_customers({customer("hot", 20.0), customer("other", 20.0)});
    // 130 jobs a second in excess take a quarter of the fleet, half of which is the share.
    static_cast<void>(send("hot", 150.0, 10s, 0.25 / 130.0, true));
    BOOST_TEST(order.backlogs().at("hot").jobs == urgent_count);
    urgent_count = 0;
    now += 60s;
    static_cast<void>(send("hot", 150.0, 10s, 2.0 / 130.0, true));
    BOOST_TEST(urgent_count <= 450U);
    BOOST_TEST(urgent_count >= 300U);
}

// Guards against deployments without customers that are served differently, and against jobs of
// customers that the configuration no longer has.
BOOST_AUTO_TEST_CASE(without_customers_all_jobs_are_entitled) {
    BOOST_TEST(!order.is_active());
    BOOST_TEST(send("a", 1000.0, 1s) == 1000U);
    order.set_customers({customer("a", 0.0), customer("b", 1.0)});
    BOOST_TEST(send("a", 10.0, 1s) == 0U);
    BOOST_TEST(send("unknown", 1000.0, 1s) == 1000U);
    order.set_customers({customer("b", 1.0)});
    BOOST_TEST(send("a", 10.0, 1s) == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
