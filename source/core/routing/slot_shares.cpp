#include "core/routing/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace buckthornspar::routing {

namespace {

double capacity_of(const std::map<std::string, double>& capacity, const std::string& region) {
    const auto position = capacity.find(region);
    return position == capacity.end() ? 0 : position->second;
}

// What each entry of the region gets of its slots: max-min fair, so that an entry with little
// traffic gets what it wants although another one could fill the whole region. The square root
// leaves room for the arrivals of the time until the next grant.
std::map<std::string, double> fair_parts(const std::string& region, double slots,
                                         const std::map<std::string, entry_demand>& demands) {
    std::vector<std::pair<double, std::string>> wants;
    for (const auto& [entry, demand] : demands) {
        if (demand.region == region) {
            wants.emplace_back(demand.wanted + std::sqrt(demand.wanted), entry);
        }
    }
    std::sort(wants.begin(), wants.end());
    std::map<std::string, double> parts;
    double left = slots;
    std::size_t waiting = wants.size();
    for (const auto& [wanted, entry] : wants) {
        const double part = std::min(wanted, left / static_cast<double>(waiting));
        parts[entry] = part;
        left -= part;
        --waiting;
    }
    return parts;
}

double sum(const std::map<std::string, double>& parts) {
    double total = 0;
    for (const auto& [entry, part] : parts) {
        total += part;
    }
    return total;
}

// What entries of other regions want beyond what their own region gives them.
std::map<std::string, double> excess_of_others(const std::string& region,
                                               const std::map<std::string, double>& capacity,
                                               const std::map<std::string, entry_demand>& demands) {
    std::map<std::string, double> excess;
    for (const auto& [entry, demand] : demands) {
        if (demand.region == region) {
            continue;
        }
        const auto parts = fair_parts(demand.region, capacity_of(capacity, demand.region), demands);
        const double missing = demand.wanted - parts.at(entry);
        if (missing > 0) {
            excess[entry] = missing;
        }
    }
    return excess;
}

} // namespace

std::map<std::string, double> slot_shares(const std::string& region,
                                          const std::map<std::string, double>& capacity,
                                          const std::map<std::string, entry_demand>& demands) {
    const double slots = capacity_of(capacity, region);
    auto amounts = fair_parts(region, slots, demands);
    const auto excess = excess_of_others(region, capacity, demands);
    const double wanted_by_others = sum(excess);
    const double given = std::min(wanted_by_others, slots - sum(amounts));
    for (const auto& [entry, missing] : excess) {
        amounts[entry] = given * missing / wanted_by_others;
    }
    const double total = sum(amounts);
    for (auto& [entry, amount] : amounts) {
        amount = total > 0 ? amount / total : 0;
    }
    return amounts;
}

} // namespace buckthornspar::routing
