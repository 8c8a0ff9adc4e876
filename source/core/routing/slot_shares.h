#pragma once

#include <map>
#include <string>

namespace buckthornspar::routing {

/// What an entry could use now.
struct entry_demand {
    std::string region;
    double wanted = 0;
};

/// Splits the slots of one region among the entries. Entries of the region come first; what they
/// leave goes to entries whose own region cannot serve them, and the rest is a reserve for all of
/// these, in proportion to what they get. capacity gives the slots of every region. The shares sum
/// to 1 unless there are no entries.
[[nodiscard]] std::map<std::string, double>
slot_shares(const std::string& region, const std::map<std::string, double>& capacity,
            const std::map<std::string, entry_demand>& demands);

} // namespace buckthornspar::routing
