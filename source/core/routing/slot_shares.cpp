#include "core/routing/slot_shares.h"

#include <algorithm>

namespace buckthornspar::routing {

namespace {

double capacity_of(const std::map<std::string, double>& capacity, const std::string& region) {
    const auto position = capacity.find(region);
    return position == capacity.end() ? 0 : position->second;
}

double wanted_in(const std::string& region, const std::map<std::string, entry_demand>& demands) {
    double sum = 0;
    for (const auto& [entry, demand] : demands) {
        if (demand.region == region) {
            sum += demand.wanted;
        }
    }
    return sum;
}

// The part of a demand that the entry's own region cannot serve.
double excess(const entry_demand& demand, const std::map<std::string, double>& capacity,
              const std::map<std::string, entry_demand>& demands) {
    const double total = wanted_in(demand.region, demands);
    const double served = std::min(total, capacity_of(capacity, demand.region));
    return total > 0 ? demand.wanted * (1 - served / total) : 0;
}

} // namespace

std::map<std::string, double> slot_shares(const std::string& region,
                                          const std::map<std::string, double>& capacity,
                                          const std::map<std::string, entry_demand>& demands) {
    const double slots = capacity_of(capacity, region);
    const double local = wanted_in(region, demands);
    double remote = 0;
    for (const auto& [entry, demand] : demands) {
        if (demand.region != region) {
            remote += excess(demand, capacity, demands);
        }
    }
    const double local_part = std::min(local, slots);
    const double remote_part = std::min(remote, slots - local_part);
    const double reserve = slots - local_part - remote_part;
    const double served = local_part + remote_part;
    std::map<std::string, double> shares;
    for (const auto& [entry, demand] : demands) {
        double amount = 0;
        if (demand.region == region) {
            const double part = local > 0 ? local_part * demand.wanted / local : 0;
            amount = part + (served > 0 ? reserve * part / served : 0);
        } else if (remote > 0) {
            const double part = remote_part * excess(demand, capacity, demands) / remote;
            amount = part + (served > 0 ? reserve * part / served : 0);
        }
        shares[entry] = slots > 0 ? amount / slots : 0;
    }
    return shares;
}

} // namespace buckthornspar::routing
