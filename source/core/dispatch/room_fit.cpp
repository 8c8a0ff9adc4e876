#include "core/dispatch/room_fit.h"

#include <algorithm>
#include <tuple>

namespace buckthornspar::dispatch {

using placement::resources;

std::int64_t copies_that_fit(const resources& demand, const resources& room) {
    if (!demand.fits(room)) {
        return 0;
    }
    std::int64_t copies = unlimited_copies;
    const auto limit = [&copies](std::int64_t need, std::int64_t available) {
        if (need > 0) {
            copies = std::min(copies, available / need);
        }
    };
    limit(demand.cpu_milli, room.cpu_milli);
    limit(demand.memory_mb, room.memory_mb);
    limit(demand.accelerators, room.accelerators);
    return std::max<std::int64_t>(copies, 0);
}

double unused_share(const resources& left, const resources& capacity) {
    const auto share = [](std::int64_t part, std::int64_t whole) {
        return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
    };
    return share(left.cpu_milli, capacity.cpu_milli) + share(left.memory_mb, capacity.memory_mb);
}

copies_by_worker allocate_copies(copies_by_worker fitting, std::int64_t count) {
    std::sort(fitting.begin(), fitting.end(), [](const auto& a, const auto& b) {
        return std::tuple(-a.second, a.first) < std::tuple(-b.second, b.first);
    });
    copies_by_worker taken;
    for (const auto& [w, copies] : fitting) {
        if (count == 0) {
            break;
        }
        const auto part = std::min(copies, count);
        taken.emplace_back(w, part);
        count -= part;
    }
    return taken;
}

} // namespace buckthornspar::dispatch
