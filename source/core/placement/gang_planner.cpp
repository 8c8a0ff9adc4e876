#include "core/placement/gang_planner.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace buckthornspar::placement {

namespace {

bool packs_before(const resources& a, const resources& b) {
    return std::tie(a.accelerators, a.cpu_milli, a.memory_mb) >
           std::tie(b.accelerators, b.cpu_milli, b.memory_mb);
}

worker_availability availability_after(worker_availability availability,
                                       const std::vector<expected_release>& releases,
                                       std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        availability[releases[i].worker] += releases[i].amount;
    }
    return availability;
}

std::vector<planned_reservation> reservations_of(const std::vector<worker_index>& chosen,
                                                 const std::vector<resources>& demands,
                                                 const worker_availability& availability) {
    std::vector<std::size_t> order(chosen.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return chosen[a] < chosen[b]; });
    std::vector<planned_reservation> reservations;
    for (const std::size_t i : order) {
        if (reservations.empty() || reservations.back().worker != chosen[i]) {
            reservations.push_back({chosen[i], {}, availability[chosen[i]]});
        }
        reservations.back().reserved_amount += demands[i];
        reservations.back().spare -= demands[i];
    }
    return reservations;
}

} // namespace

std::optional<std::vector<worker_index>> pack_gang(worker_availability availability,
                                                   const std::vector<resources>& demands) {
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return packs_before(demands[a], demands[b]);
    });
    std::vector<worker_index> chosen(demands.size());
    std::size_t cursor = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const resources& demand = demands[order[i]];
        if (i > 0 && demand != demands[order[i - 1]]) {
            cursor = 0;
        }
        while (cursor < availability.size() && !demand.fits(availability[cursor])) {
            ++cursor;
        }
        if (cursor == availability.size()) {
            return std::nullopt;
        }
        availability[cursor] -= demand;
        chosen[order[i]] = static_cast<worker_index>(cursor);
    }
    return chosen;
}

std::optional<gang_plan> plan_start(const worker_availability& availability,
                                    std::vector<expected_release> releases,
                                    const std::vector<resources>& demands, common::time_point now) {
    std::sort(releases.begin(), releases.end(),
              [](const expected_release& a, const expected_release& b) {
                  return std::tie(a.at, a.worker) < std::tie(b.at, b.worker);
              });
    // Binary search for the number of releases that must happen first. The demands always fit after
    // `high` releases, even though greedy packing is not monotonic for unequal demands.
    std::size_t low = 0;
    std::size_t high = releases.size();
    auto chosen = pack_gang(availability_after(availability, releases, high), demands);
    while (chosen && low < high) {
        const std::size_t middle = low + (high - low) / 2;
        auto earlier = pack_gang(availability_after(availability, releases, middle), demands);
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
    return gang_plan{
        start, reservations_of(*chosen, demands, availability_after(availability, releases, high))};
}

} // namespace buckthornspar::placement
