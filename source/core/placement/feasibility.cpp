#include "core/placement/feasibility.h"

#include <algorithm>
#include <array>
#include <limits>

namespace buckthornspar::placement {

namespace {

/// A component of resources, with its unit for messages.
struct resource_dimension {
    std::int64_t resources::*amount;
    infeasible_reason reason;
    std::string_view unit;
    std::int64_t per_unit;
};

constexpr std::array<resource_dimension, 3> resource_dimensions{{
    {&resources::cpu_milli, infeasible_reason::processors, "cores", 1000},
    {&resources::memory_mb, infeasible_reason::memory, "MB", 1},
    {&resources::accelerators, infeasible_reason::accelerators, "accelerators", 1},
}};

std::string format_amount(const resource_dimension& dimension, std::int64_t amount) {
    std::string text = std::to_string(amount / dimension.per_unit);
    if (amount % dimension.per_unit != 0) {
        const std::string thousandths = std::to_string(1000 + amount % dimension.per_unit);
        text += "." + thousandths.substr(1);
        text.erase(text.find_last_not_of('0') + 1);
    }
    return text;
}

std::string format_with_unit(const resource_dimension& dimension, std::int64_t amount) {
    return format_amount(dimension, amount) + " " + std::string(dimension.unit);
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
    for (const resource_dimension& dimension : resource_dimensions) {
        std::int64_t largest = 0;
        for (const capacity_group& group : workers.capacity_groups()) {
            largest = std::max(largest, group.capacity.*dimension.amount);
        }
        if (demand.*dimension.amount > largest) {
            return infeasibility{dimension.reason,
                                 "needs " + format_with_unit(dimension, demand.*dimension.amount) +
                                     "; the largest live worker has " +
                                     format_amount(dimension, largest)};
        }
    }
    return std::nullopt;
}

std::size_t tasks_per_worker(const resources& capacity, const resources& demand) {
    std::int64_t tasks = std::numeric_limits<std::int64_t>::max();
    for (const resource_dimension& dimension : resource_dimensions) {
        if (demand.*dimension.amount > 0) {
            tasks = std::min(tasks, capacity.*dimension.amount / demand.*dimension.amount);
        }
    }
    return static_cast<std::size_t>(tasks);
}

std::optional<infeasibility> check_together(const worker_table& workers, const resources& demand,
                                            std::size_t task_count) {
    std::size_t task_capacity = 0;
    for (const capacity_group& group : workers.capacity_groups()) {
        task_capacity += group.workers * tasks_per_worker(group.capacity, demand);
    }
    if (task_capacity == 0) {
        return infeasibility{
            infeasible_reason::combination,
            "no live worker offers " + format_with_unit(resource_dimensions[0], demand.cpu_milli) +
                ", " + format_with_unit(resource_dimensions[1], demand.memory_mb) + " and " +
                format_with_unit(resource_dimensions[2], demand.accelerators) + " together"};
    }
    if (task_count > task_capacity) {
        return infeasibility{infeasible_reason::gang_size,
                             "needs " + std::to_string(task_count) +
                                 " tasks at once; the live workers have room for " +
                                 std::to_string(task_capacity) + " when empty"};
    }
    return std::nullopt;
}

std::optional<infeasibility> check_quota(const std::optional<resources>& limit,
                                         const task_request& request, std::size_t task_count) {
    if (!limit) {
        return std::nullopt;
    }
    for (const resource_dimension& dimension : resource_dimensions) {
        const std::int64_t each = request.demand.*dimension.amount;
        const std::int64_t allowed = (*limit).*dimension.amount;
        // Divides, because the product of an untrusted count and demand could overflow.
        if (each > 0 && allowed / each < static_cast<std::int64_t>(task_count)) {
            return infeasibility{infeasible_reason::quota,
                                 "needs " + std::to_string(task_count) + " x " +
                                     format_with_unit(dimension, each) +
                                     " at once; the quota of team " + request.team + " is " +
                                     format_amount(dimension, allowed)};
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
        // Without any worker the capacity of the future fleet is unknown.
        return std::nullopt;
    }
    if (auto too_large = check_largest(workers, request.demand)) {
        return too_large;
    }
    return check_together(workers, request.demand, task_count);
}

} // namespace buckthornspar::placement
