#include "core/placement/feasibility.h"

#include <algorithm>
#include <array>
#include <limits>

namespace buckthornspar::placement {

namespace {

/// One of the amounts of resources, with its name for people.
struct amount_kind {
    std::int64_t resources::*amount;
    infeasible_reason reason;
    std::string_view unit;
    std::int64_t per_unit;
};

constexpr std::array<amount_kind, 3> amount_kinds{{
    {&resources::cpu_milli, infeasible_reason::processors, "cores", 1000},
    {&resources::memory_mb, infeasible_reason::memory, "MB", 1},
    {&resources::accelerators, infeasible_reason::accelerators, "accelerators", 1},
}};

std::string number(const amount_kind& kind, std::int64_t amount) {
    std::string text = std::to_string(amount / kind.per_unit);
    if (amount % kind.per_unit != 0) {
        const std::string thousandths = std::to_string(1000 + amount % kind.per_unit);
        text += "." + thousandths.substr(1);
        text.erase(text.find_last_not_of('0') + 1);
    }
    return text;
}

std::string with_unit(const amount_kind& kind, std::int64_t amount) {
    return number(kind, amount) + " " + std::string(kind.unit);
}

std::optional<infeasibility> check_valid(const resources& demand) {
    if (!demand.non_negative()) {
        return infeasibility{infeasible_reason::invalid_demand, "a demand must not be negative"};
    }
    if (demand == resources{}) {
        return infeasibility{infeasible_reason::invalid_demand, "the demand is empty"};
    }
    return std::nullopt;
}

std::optional<infeasibility> check_largest(const worker_table& workers, const resources& demand) {
    for (const amount_kind& kind : amount_kinds) {
        std::int64_t largest = 0;
        for (const capacity_group& group : workers.capacity_groups()) {
            largest = std::max(largest, group.capacity.*kind.amount);
        }
        if (demand.*kind.amount > largest) {
            return infeasibility{kind.reason, "needs " + with_unit(kind, demand.*kind.amount) +
                                                  "; the largest live worker has " +
                                                  number(kind, largest)};
        }
    }
    return std::nullopt;
}

std::size_t tasks_on(const resources& capacity, const resources& demand) {
    std::int64_t tasks = std::numeric_limits<std::int64_t>::max();
    for (const amount_kind& kind : amount_kinds) {
        if (demand.*kind.amount > 0) {
            tasks = std::min(tasks, capacity.*kind.amount / demand.*kind.amount);
        }
    }
    return static_cast<std::size_t>(tasks);
}

std::optional<infeasibility> check_together(const worker_table& workers, const resources& demand,
                                            std::size_t task_count) {
    std::size_t room = 0;
    for (const capacity_group& group : workers.capacity_groups()) {
        room += group.workers * tasks_on(group.capacity, demand);
    }
    if (room == 0) {
        return infeasibility{infeasible_reason::combination,
                             "no live worker offers " +
                                 with_unit(amount_kinds[0], demand.cpu_milli) + ", " +
                                 with_unit(amount_kinds[1], demand.memory_mb) + " and " +
                                 with_unit(amount_kinds[2], demand.accelerators) + " together"};
    }
    if (task_count > room) {
        return infeasibility{infeasible_reason::gang_size,
                             "needs " + std::to_string(task_count) +
                                 " tasks at once; the live workers have room for " +
                                 std::to_string(room) + " when empty"};
    }
    return std::nullopt;
}

std::optional<infeasibility> check_quota(const std::optional<resources>& limit,
                                         const task_request& request, std::size_t task_count) {
    if (!limit) {
        return std::nullopt;
    }
    for (const amount_kind& kind : amount_kinds) {
        const std::int64_t each = request.demand.*kind.amount;
        const std::int64_t allowed = (*limit).*kind.amount;
        // A division, because the product of an untrusted count and demand could overflow.
        if (each > 0 && allowed / each < static_cast<std::int64_t>(task_count)) {
            return infeasibility{infeasible_reason::quota,
                                 "needs " + std::to_string(task_count) + " x " +
                                     with_unit(kind, each) + " at once; the quota of team " +
                                     request.team + " is " + number(kind, allowed)};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<infeasibility> check_demand(const worker_table& workers,
                                          const std::optional<resources>& limit,
                                          const task_request& request, std::size_t task_count) {
    if (auto invalid = check_valid(request.demand)) {
        return invalid;
    }
    if (auto over_quota = check_quota(limit, request, task_count)) {
        return over_quota;
    }
    if (workers.capacity_groups().empty()) {
        // Without any worker nothing is known about what the fleet will offer.
        return std::nullopt;
    }
    if (auto too_large = check_largest(workers, request.demand)) {
        return too_large;
    }
    return check_together(workers, request.demand, task_count);
}

} // namespace buckthornspar::placement
