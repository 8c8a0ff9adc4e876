#include "core/dispatch/capacity_fit.h"

#include <algorithm>
#include <tuple>

namespace buckthornspar::dispatch {

using placement::resources;

std::int64_t count_fitting_tasks(const resources& demand, const resources& free) {
    if (!demand.fits(free)) {
        return 0;
    }
    std::int64_t tasks = unlimited_tasks;
    const auto limit = [&tasks](std::int64_t need, std::int64_t available) {
        if (need > 0) {
            tasks = std::min(tasks, available / need);
        }
    };
    limit(demand.cpu_milli, free.cpu_milli);
    limit(demand.memory_mb, free.memory_mb);
    limit(demand.accelerators, free.accelerators);
    return std::max<std::int64_t>(tasks, 0);
}

double unused_share(const resources& left, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return share(left.cpu_milli, capacity.cpu_milli) + share(left.memory_mb, capacity.memory_mb);
}

tasks_by_worker allocate_tasks(tasks_by_worker fitting, std::int64_t count) {
    std::sort(fitting.begin(), fitting.end(), [](const auto& a, const auto& b) {
        return std::tuple(-a.second, a.first) < std::tuple(-b.second, b.first);
    });
    tasks_by_worker allocated;
    for (const auto& [w, tasks] : fitting) {
        if (count == 0) {
            break;
        }
        const auto part = std::min(tasks, count);
        allocated.emplace_back(w, part);
        count -= part;
    }
    return allocated;
}

tasks_by_worker spread_tasks(tasks_by_worker fitting, std::int64_t count) {
    // Those with little room first: what they cannot take is shared by the others.
    std::sort(fitting.begin(), fitting.end(), [](const auto& a, const auto& b) {
        return std::tuple(a.second, a.first) < std::tuple(b.second, b.first);
    });
    tasks_by_worker spread;
    auto workers = static_cast<std::int64_t>(fitting.size());
    for (const auto& [w, tasks] : fitting) {
        const auto part = std::min(tasks, (count + workers - 1) / workers);
        if (part > 0) {
            spread.emplace_back(w, part);
        }
        count -= part;
        --workers;
    }
    return spread;
}

} // namespace buckthornspar::dispatch
