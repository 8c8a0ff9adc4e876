#include "core/placement/blocked_groups.h"

#include "core/common/rng.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace buckthornspar;
using namespace buckthornspar::placement;

BOOST_AUTO_TEST_SUITE(blocked_groups_search)

namespace {

constexpr team_index teams = 6;
constexpr double share_steps = 4;

resources random_demand(common::rng& random) {
    return {static_cast<std::int64_t>(random.below(6000)),
            static_cast<std::int64_t>(random.below(6000)),
            static_cast<std::int64_t>(random.below(8) == 0)};
}

/// Reference model: the same groups in a list that is searched linearly.
struct group_list {
    std::map<group_index, blocked_group> groups;
    std::vector<double> shares = std::vector<double>(teams);

    [[nodiscard]] std::optional<group_index> first(const freed_capacity& freed,
                                                   std::uint64_t round) const {
        std::optional<std::pair<front_rank, group_index>> first;
        for (const auto& [task_group, b] : groups) {
            const front_rank rank{{shares[b.team], b.team}, b.first};
            const bool can_try =
                b.reason != wait_reason::quota_exceeded && b.round != round && freed.fits(b.demand);
            if (can_try && (!first || rank < first->first)) {
                first = {rank, task_group};
            }
        }
        return first ? std::optional(first->second) : std::nullopt;
    }
};

} // namespace

// Guards against a search that misses a group that fits into the freed capacity, or finds it out of
// order, after groups, reasons and shares have changed.
BOOST_AUTO_TEST_CASE(search_agrees_with_linear_search) {
    common::rng random(7);
    blocked_groups index;
    group_list list;
    std::size_t found = 0;
    for (std::uint64_t round = 1; round < 4000; ++round) {
        const auto task_group = static_cast<group_index>(random.below(300));
        if (list.groups.erase(task_group) > 0) {
            index.erase(task_group);
        }
        blocked_group added;
        added.demand = random_demand(random);
        added.first.sequence = round;
        added.round = random.chance(0.1) ? round : round - 1;
        added.team = static_cast<team_index>(random.below(teams));
        added.reason = random.chance(0.2) ? wait_reason::quota_exceeded : wait_reason::no_capacity;
        list.groups[task_group] = added;
        index.insert(task_group, added, list.shares[added.team]);
        const auto team = static_cast<team_index>(random.below(teams));
        list.shares[team] = static_cast<double>(random.below(5)) / share_steps;
        index.set_share(team, list.shares[team]);
        freed_capacity freed;
        for (std::uint64_t workers = random.below(3); workers > 0; --workers) {
            freed.add(random_demand(random));
        }
        // Searches twice with the same freed capacity, because the first search caches results.
        for (int i = 0; i < 2 && !freed.empty(); ++i) {
            const auto expected = list.first(freed, round);
            const auto actual = index.first_fitting(freed, round);
            BOOST_REQUIRE(actual.has_value() == expected.has_value());
            BOOST_REQUIRE(!actual || actual->task_group == *expected);
            found += actual ? 1 : 0;
        }
    }
    BOOST_TEST(found > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
