#include "core/routing/routing_policy.h"

#include <algorithm>

namespace buckthornspar::routing {

std::vector<std::size_t> usable_runners(const route_query& q) {
    std::vector<std::size_t> usable;
    usable.reserve(q.table.size());
    for (std::size_t index = 0; index < q.table.size(); ++index) {
        const bool excluded =
            std::find(q.excluded.begin(), q.excluded.end(), index) != q.excluded.end();
        if (!excluded && q.table.is_local(index) == q.local && q.table.is_usable(index, q.now)) {
            usable.push_back(index);
        }
    }
    return usable;
}

std::optional<std::size_t> pick_most_free(const route_query& q,
                                          const std::vector<std::size_t>& candidates) {
    std::optional<std::size_t> best;
    std::uint32_t best_free = 0;
    std::uint64_t ties = 0;
    for (const std::size_t index : candidates) {
        const std::uint32_t free = q.table.free_estimate(index, q.now);
        if (free > best_free) {
            best = index;
            best_free = free;
            ties = 1;
        } else if (free == best_free && free > 0 && q.random.below(++ties) == 0) {
            best = index;
        }
    }
    return best;
}

} // namespace buckthornspar::routing
