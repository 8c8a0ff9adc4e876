#include "core/placement/gang_planner.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace buckthornspar::placement {

namespace {

bool goes_before(const resources& a, const resources& b) {
    return std::tie(a.accelerators, a.cpu_milli, a.memory_mb) >
           std::tie(b.accelerators, b.cpu_milli, b.memory_mb);
}

worker_rooms rooms_after(worker_rooms rooms, const std::vector<expected_release>& releases,
                         std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        rooms[releases[i].worker] += releases[i].amount;
    }
    return rooms;
}

std::vector<planned_share> shares_of(const std::vector<worker_index>& chosen,
                                     const std::vector<resources>& demands,
                                     const worker_rooms& rooms) {
    std::vector<std::size_t> order(chosen.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return chosen[a] < chosen[b]; });
    std::vector<planned_share> shares;
    for (const std::size_t i : order) {
        if (shares.empty() || shares.back().worker != chosen[i]) {
            shares.push_back({chosen[i], {}, rooms[chosen[i]]});
        }
        shares.back().share += demands[i];
        shares.back().spare -= demands[i];
    }
    return shares;
}

} // namespace

std::optional<std::vector<worker_index>> pack_together(worker_rooms rooms,
                                                       const std::vector<resources>& demands) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return goes_before(demands[a], demands[b]);
    });
    std::vector<worker_index> chosen(demands.size());
    std::size_t cursor = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const resources& demand = demands[order[i]];
        if (i > 0 && demand != demands[order[i - 1]]) {
            cursor = 0;
        }
        while (cursor < rooms.size() && !demand.fits(rooms[cursor])) {
            ++cursor;
        }
        if (cursor == rooms.size()) {
            return std::nullopt;
        }
        rooms[cursor] -= demand;
        chosen[order[i]] = static_cast<worker_index>(cursor);
    }
    return chosen;
}

std::optional<gang_plan> plan_start(const worker_rooms& rooms,
                                    std::vector<expected_release> releases,
                                    const std::vector<resources>& demands, common::time_point now) {
    std::sort(releases.begin(), releases.end(),
              [](const expected_release& a, const expected_release& b) {
                  return std::tie(a.at, a.worker) < std::tie(b.at, b.worker);
              });
    // Bisects the number of releases that must happen first. The upper end always suffices, also
    // where greedy packing is not monotonic for unequal demands.
    std::size_t low = 0;
    std::size_t high = releases.size();
    auto chosen = pack_together(rooms_after(rooms, releases, high), demands);
    while (chosen && low < high) {
        const std::size_t middle = low + (high - low) / 2;
        auto earlier = pack_together(rooms_after(rooms, releases, middle), demands);
        if (earlier) {
            high = middle;
            chosen = std::move(earlier);
        } else {
            low = middle + 1;
        }
    }
    if (!chosen) {
        return std::nullopt;
    }
    const auto start = high == 0 ? now : std::max(now, releases[high - 1].at);
    return gang_plan{start, shares_of(*chosen, demands, rooms_after(rooms, releases, high))};
}

} // namespace buckthornspar::placement
