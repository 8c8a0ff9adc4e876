#include "routing_workload.h"

#include "benchmark.h"
#include "core/common/rng.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <queue>

namespace buckthornspar::bench {

namespace {

constexpr double low_load = 0.3;
constexpr double rush_load = 0.97;
constexpr double trickle_load = 0.005;
// Two thirds of the runners have enough capacity for this load.
constexpr double outage_load = 0.6;
constexpr common::time_point outage_start = common::time_point{} + std::chrono::seconds(30);
constexpr common::duration third_dies_length = std::chrono::seconds(30);
constexpr common::duration all_die_length = std::chrono::seconds(10);
constexpr double wave_low = 0.4;
constexpr double wave_high = 0.97;
constexpr double wave_s = 30;
constexpr double slow_factor = 4;

double seconds(common::duration d) {
    return std::chrono::duration<double>(d).count();
}

// Offered load at the given time, as a fraction of all slots.
double load_at(const std::string& scenario, double at_s, const routing_cell& cell) {
    if (scenario == "trickle") {
        return trickle_load;
    }
    if (scenario == "idle") {
        return 0;
    }
    if (scenario == "third_dies" || scenario == "all_die") {
        return outage_load;
    }
    if (scenario == "rush") {
        // The middle third models the evening peak.
        const double third = seconds(cell.length) / 3;
        return at_s >= third && at_s < 2 * third ? rush_load : low_load;
    }
    if (scenario == "waves") {
        const double phase = (1 - std::cos(2 * std::numbers::pi * at_s / wave_s)) / 2;
        return wave_low + (wave_high - wave_low) * phase;
    }
    return cell.utilisation;
}

double share_of_first_entry(const std::string& scenario, const routing_cell& cell) {
    if (scenario == "skew60") {
        return 0.6;
    }
    if (scenario == "skew95") {
        return 0.95;
    }
    return 1.0 / static_cast<double>(cell.entries);
}

void check_name(const std::string& scenario) {
    const std::vector<std::string> known{"even",       "skew60",     "skew95", "trickle",
                                         "idle",       "rush",       "waves",  "slow_runner",
                                         "fails_fast", "third_dies", "all_die"};
    if (std::find(known.begin(), known.end(), scenario) == known.end()) {
        throw bench_settings_error("unknown scenario '" + scenario + "'");
    }
}

} // namespace

std::vector<arrival> make_arrivals(const std::string& scenario, const routing_cell& cell,
                                   std::uint64_t seed) {
    check_name(scenario);
    common::rng random(seed);
    const double slots = static_cast<double>(cell.runners) * cell.slots;
    const double max_rate = slots / seconds(cell.service_time);
    const double first_share = share_of_first_entry(scenario, cell);
    std::vector<arrival> arrivals;
    double at_s = 0;
    while (true) {
        // Thinning: candidates arrive at the full-load rate and are kept with a probability equal
        // to the current load.
        at_s += random.exponential(1 / max_rate);
        if (at_s >= seconds(cell.length)) {
            return arrivals;
        }
        if (!random.chance(load_at(scenario, at_s, cell))) {
            continue;
        }
        arrival a;
        a.at = common::time_point{} +
               std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(at_s));
        const bool first = cell.entries == 1 || random.chance(first_share);
        a.entry = first ? 0 : 1 + random.below(cell.entries - 1);
        const double service_us =
            random.exponential(static_cast<double>(cell.service_time.count()));
        a.service_time = common::duration(static_cast<std::int64_t>(service_us) + 1);
        arrivals.push_back(a);
    }
}

runner_faults faults_of(const std::string& scenario, const routing_cell& cell) {
    runner_faults faults;
    faults.slow_factor = scenario == "slow_runner" ? slow_factor : 1;
    faults.fails_fast = scenario == "fails_fast";
    if (scenario == "third_dies") {
        faults.outage = {cell.runners / 3, outage_start, outage_start + third_dies_length};
    } else if (scenario == "all_die") {
        faults.outage = {cell.runners, outage_start, outage_start + all_die_length};
    }
    return faults;
}

std::vector<double> central_queue_waits(const std::vector<arrival>& arrivals,
                                        const routing_cell& cell, const runner_faults& faults) {
    // Time at which a slot becomes free, and whether it belongs to the slow runner.
    using slot = std::pair<common::time_point, bool>;
    std::priority_queue<slot, std::vector<slot>, std::greater<>> slots;
    const std::size_t skipped = faults.fails_fast ? cell.slots : 0;
    const std::size_t total = cell.runners * cell.slots;
    for (std::size_t i = skipped; i < total; ++i) {
        slots.emplace(common::time_point{}, faults.slow_factor > 1 && i < cell.slots);
    }
    std::vector<double> waits;
    for (const arrival& a : arrivals) {
        const auto [free_at, slow] = slots.top();
        slots.pop();
        const auto start = std::max(a.at, free_at);
        const double factor = slow ? faults.slow_factor : 1;
        const auto busy = common::duration(
            static_cast<std::int64_t>(static_cast<double>(a.service_time.count()) * factor));
        slots.emplace(start + busy, slow);
        if (a.at >= common::time_point{} + cell.warm_up) {
            waits.push_back(seconds(start - a.at) / seconds(cell.service_time));
        }
    }
    return waits;
}

double quantile(std::vector<double>& waits, double q) {
    if (waits.empty()) {
        return 0;
    }
    std::sort(waits.begin(), waits.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(waits.size()));
    return waits[std::min(index, waits.size() - 1)];
}

} // namespace buckthornspar::bench
