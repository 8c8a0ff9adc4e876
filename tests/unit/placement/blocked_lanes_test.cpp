#include "core/placement/blocked_lanes.h"

#include "core/common/rng.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace buckthornspar;
using namespace buckthornspar::placement;

BOOST_AUTO_TEST_SUITE(blocked_lanes_search)

namespace {

constexpr team_index teams = 6;
constexpr double share_steps = 4;

resources random_demand(common::rng& random) {
    return {static_cast<std::int64_t>(random.below(6000)),
            static_cast<std::int64_t>(random.below(6000)),
            static_cast<std::int64_t>(random.below(8) == 0)};
}

/// The same lanes in a list that is searched from end to end.
struct lane_list {
    std::map<lane_index, blocked_lane> lanes;
    std::vector<double> shares = std::vector<double>(teams);

    [[nodiscard]] std::optional<lane_index> first(const freed_room& room,
                                                  std::uint64_t round) const {
        std::optional<std::pair<front_rank, lane_index>> first;
        for (const auto& [lane, b] : lanes) {
            const front_rank rank{{shares[b.team], b.team}, b.first};
            const bool may_start =
                b.reason != wait_reason::quota_exceeded && b.round != round && room.fits(b.demand);
            if (may_start && (!first || rank < first->first)) {
                first = {rank, lane};
            }
        }
        return first ? std::optional(first->second) : std::nullopt;
    }
};

} // namespace

// Guards against a lane that fits into the freed room but is not found, or is found out of turn,
// after lanes, reasons and shares have changed.
BOOST_AUTO_TEST_CASE(search_agrees_with_a_list_of_all_lanes) {
    common::rng random(7);
    blocked_lanes index;
    lane_list list;
    std::size_t found = 0;
    for (std::uint64_t round = 1; round < 4000; ++round) {
        const auto lane = static_cast<lane_index>(random.below(300));
        if (list.lanes.erase(lane) > 0) {
            index.erase(lane);
        }
        blocked_lane added;
        added.demand = random_demand(random);
        added.first.sequence = round;
        added.round = random.chance(0.1) ? round : round - 1;
        added.team = static_cast<team_index>(random.below(teams));
        added.reason = random.chance(0.2) ? wait_reason::quota_exceeded : wait_reason::no_capacity;
        list.lanes[lane] = added;
        index.insert(lane, added, list.shares[added.team]);
        const auto team = static_cast<team_index>(random.below(teams));
        list.shares[team] = static_cast<double>(random.below(5)) / share_steps;
        index.set_share(team, list.shares[team]);
        freed_room room;
        for (std::uint64_t workers = random.below(3); workers > 0; --workers) {
            room.add(random_demand(random));
        }
        // A room that does not change is searched twice, because the first search leaves marks.
        for (int i = 0; i < 2 && !room.empty(); ++i) {
            const auto expected = list.first(room, round);
            const auto actual = index.first_fitting(room, round);
            BOOST_REQUIRE(actual.has_value() == expected.has_value());
            BOOST_REQUIRE(!actual || actual->lane == *expected);
            found += actual ? 1 : 0;
        }
    }
    BOOST_TEST(found > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
