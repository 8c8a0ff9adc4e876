#pragma once

#include <map>
#include <string>

namespace buckthornspar::routing {

/// Number of slots that an entry could use now.
struct entry_demand {
    std::string region;
    double wanted = 0;
};

/// Computes each entry's share of the slots of one region. Entries of the region are served first,
/// by max-min fairness. Remaining slots go to entries whose own region cannot meet their demand.
/// Slots that are still unallocated are distributed among all of these in proportion to their
/// allocations. capacity holds the number of slots of every region. The shares sum to 1 unless
/// there are no entries.
[[nodiscard]] std::map<std::string, double>
slot_shares(const std::string& region, const std::map<std::string, double>& capacity,
            const std::map<std::string, entry_demand>& demands);

} // namespace buckthornspar::routing
