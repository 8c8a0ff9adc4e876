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

// Max-min fair allocation of a region's slots to the entries of the region: an entry with little
// traffic gets its full demand even if another one could use the whole region. The square root adds
// headroom for requests that arrive before the next grant.
std::map<std::string, double>
max_min_fair_slots(const std::string& region, double slots,
                   const std::map<std::string, entry_demand>& demands) {
    std::vector<std::pair<double, std::string>> demanded;
    for (const auto& [entry, demand] : demands) {
        if (demand.region == region) {
            demanded.emplace_back(demand.wanted + std::sqrt(demand.wanted), entry);
        }
    }
    std::sort(demanded.begin(), demanded.end());
    std::map<std::string, double> allocated;
    double remaining_slots = slots;
    std::size_t unserved = demanded.size();
    for (const auto& [wanted, entry] : demanded) {
        const double allocation = std::min(wanted, remaining_slots / static_cast<double>(unserved));
        allocated[entry] = allocation;
        remaining_slots -= allocation;
        --unserved;
    }
    return allocated;
}

double sum(const std::map<std::string, double>& allocated) {
    double total = 0;
    for (const auto& [entry, allocation] : allocated) {
        total += allocation;
    }
    return total;
}

// Demand of the entries of other regions that the slots of their own region do not cover.
std::map<std::string, double>
unmet_demand_of_other_regions(const std::string& region,
                              const std::map<std::string, double>& capacity,
                              const std::map<std::string, entry_demand>& demands) {
    std::map<std::string, double> unmet;
    for (const auto& [entry, demand] : demands) {
        if (demand.region == region) {
            continue;
        }
        const auto allocated =
            max_min_fair_slots(demand.region, capacity_of(capacity, demand.region), demands);
        const double missing = demand.wanted - allocated.at(entry);
        if (missing > 0) {
            unmet[entry] = missing;
        }
    }
    return unmet;
}

} // namespace

std::map<std::string, double> slot_shares(const std::string& region,
                                          const std::map<std::string, double>& capacity,
                                          const std::map<std::string, entry_demand>& demands) {
    const double slots = capacity_of(capacity, region);
    auto amounts = max_min_fair_slots(region, slots, demands);
    const auto unmet = unmet_demand_of_other_regions(region, capacity, demands);
    const double wanted_by_others = sum(unmet);
    const double granted_slots = std::min(wanted_by_others, slots - sum(amounts));
    for (const auto& [entry, missing] : unmet) {
        amounts[entry] = granted_slots * missing / wanted_by_others;
    }
    const double total = sum(amounts);
    for (auto& [entry, amount] : amounts) {
        amount = total > 0 ? amount / total : 0;
    }
    return amounts;
}

} // namespace buckthornspar::routing
