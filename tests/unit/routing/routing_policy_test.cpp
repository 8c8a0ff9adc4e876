#include "core/routing/routing_policy.h"
#include "core/routing/slot_shares.h"
#include "unit/routing/builders.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

constexpr int entries = 3;
constexpr int runners = 6;
constexpr std::uint32_t slots = 8;

// Entries whose policies exchange messages without loss.
struct policy_fixture {
    policy_fixture() {
        for (int i = 0; i < runners; ++i) {
            list.instances.push_back(test::make_runner("r" + std::to_string(i), "a", slots));
        }
        for (int i = 0; i < entries; ++i) {
            const std::string id = "e" + std::to_string(i);
            peers.push_back({id, "a"});
            tables.emplace(id, runner_table("a"));
            policies[id] = policy_registry::instance().make("slot_grants", {id, "a", "s"});
            for (const std::size_t index : tables.at(id).update("s", list, now)) {
                policies[id]->on_runner_added(index);
            }
        }
    }

    void tick(const std::map<std::string, std::size_t>& waiting) {
        now += policy_tick_period;
        for (const auto& [id, count] : waiting) {
            std::vector<peer_message> out;
            policies[id]->on_tick({tables.at(id), peers, count, now}, out);
            for (auto message : out) {
                const std::string to = message.entry;
                message.entry = id;
                ++messages;
                for (const auto& count_of : grants_in(message)) {
                    granted[to][count_of.runner] = count_of.slots;
                }
                policies[to]->on_peer_message(message, tables.at(to), now);
            }
        }
    }

    static std::vector<slot_count> grants_in(const peer_message& message) {
        const auto* grant = std::get_if<slot_grant>(&message.content);
        return grant != nullptr ? grant->counts : std::vector<slot_count>{};
    }

    [[nodiscard]] std::uint32_t total(const std::string& entry) {
        std::uint32_t sum = 0;
        for (const auto& [runner, count] : granted[entry]) {
            sum += count;
        }
        return sum;
    }

    time_point now = time_point{} + 100s;
    membership::instance_snapshot list;
    std::vector<peer_entry> peers;
    std::map<std::string, runner_table> tables;
    std::map<std::string, std::unique_ptr<routing_policy>> policies;
    /// Grants sent between entries, without those that an owner makes to itself.
    std::map<std::string, std::map<std::string, std::uint32_t>> granted;
    std::size_t messages = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(routing_policy_test)

// Guards against a policy that is missing because the linker dropped its registration.
BOOST_AUTO_TEST_CASE(all_policies_are_registered) {
    const std::vector<std::string> expected{"learning_automaton", "least_outstanding",
                                            "slot_grants", "two_choices"};
    BOOST_TEST(policy_registry::instance().names() == expected);
}

// Guards against grants that do not follow demand: an entry with nearly all the traffic must get
// nearly all slots, and the slots must move when the traffic moves to other entries.
BOOST_FIXTURE_TEST_CASE(grants_move_with_demand, policy_fixture) {
    for (int i = 0; i < 40; ++i) {
        tick({{"e0", 60}, {"e1", 1}, {"e2", 0}});
    }
    const std::uint32_t others = total("e1") + total("e2");
    BOOST_TEST(others <= 5U);
    for (int i = 0; i < 40; ++i) {
        tick({{"e0", 0}, {"e1", 60}, {"e2", 60}});
    }
    BOOST_TEST(total("e0") <= 5U);
}

// Guards against messages between entries while no entry has more than an occasional request in
// progress. Messages between regions are billed.
BOOST_FIXTURE_TEST_CASE(idle_entries_send_no_messages, policy_fixture) {
    const auto run = [&](duration length, std::size_t waiting) {
        for (const auto end = now + length; now < end;) {
            tick({{"e0", waiting}, {"e1", 0}, {"e2", 0}});
        }
    };
    run(5s, 60);
    BOOST_TEST(messages > 0U);
    run(15s, 0);
    messages = 0;
    run(60s, 0);
    run(100ms, 1);
    run(60s, 0);
    BOOST_TEST(messages == 0U);
    run(5s, 60);
    BOOST_TEST(messages > 0U);
}

// Guards against granting a region's slots to other regions while its own entries need them.
BOOST_AUTO_TEST_CASE(own_region_comes_first) {
    const std::map<std::string, double> capacity{{"a", 100}, {"b", 100}};
    // Each entry gets its demand plus the square root of the demand as headroom.
    const auto full = slot_shares("a", capacity, {{"x", {"a", 120}}, {"y", {"b", 200}}});
    BOOST_TEST(full.at("x") == 1.0);
    const auto half = slot_shares("a", capacity, {{"x", {"a", 40}}, {"y", {"b", 300}}});
    const double wanted = (40 + std::sqrt(40.0)) / 100;
    BOOST_TEST(half.at("x") == wanted, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(half.at("y") == 1 - wanted, boost::test_tools::tolerance(1e-9));
    const auto spare = slot_shares("a", capacity, {{"x", {"a", 40}}, {"y", {"b", 80}}});
    BOOST_TEST(spare.at("x") == 1.0);
}

// Guards against starvation of an entry with little traffic by a busy entry of the same region.
BOOST_AUTO_TEST_CASE(small_demands_are_met_first) {
    const auto shares =
        slot_shares("a", {{"a", 100}}, {{"x", {"a", 9}}, {"y", {"a", 500}}, {"z", {"a", 9}}});
    BOOST_TEST(shares.at("x") == 0.12, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares.at("y") == 0.76, boost::test_tools::tolerance(1e-9));
}

// Guards against flooding full distant runners with requests, for example after an outage: without
// answers, only a bounded number of requests is sent to runners without a reported free slot.
BOOST_FIXTURE_TEST_CASE(speculative_sends_to_full_distant_runners_are_bounded, policy_fixture) {
    runner_table distant("b");
    (void)distant.update("s", list, now);
    for (std::size_t i = 0; i < distant.size(); ++i) {
        distant.on_round_trip(i, 40ms);
        distant.on_response(i, {slots, 0, "", std::nullopt}, now);
    }
    common::rng random(1);
    const std::vector<std::size_t> no_exclusions;
    const auto count_speculative_sends = [&] {
        int count = 0;
        while (count < 1000 &&
               policies["e0"]->choose({distant, no_exclusions, false, now, random})) {
            ++count;
        }
        return count;
    };
    BOOST_TEST(count_speculative_sends() == 100);
    policies["e0"]->on_answer(distant, 0, 1ms, false);
    BOOST_TEST(count_speculative_sends() == 2);
    tick({{"e0", 10}});
    BOOST_TEST(count_speculative_sends() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
