#include "benchmark.h"
#include "routing_simulation.h"
#include "routing_workload.h"

#include <algorithm>

namespace buckthornspar::bench {

namespace {

constexpr double p50 = 0.5;
constexpr double p99 = 0.99;
constexpr double p999 = 0.999;

class routing_benchmark final : public benchmark {
public:
    std::string summary() const override {
        return "waiting for a runner slot, by routing policy, against a central queue; settings "
               "policy, scenario (lists), entries, runners, slots, regions, utilisation (percent), "
               "service_ms, near_us, far_us, seconds";
    }

    void run(const bench_run& run) override {
        routing_cell cell;
        cell.entries = run.settings.number("entries", cell.entries);
        cell.runners = run.settings.number("runners", cell.runners);
        cell.slots = static_cast<std::uint32_t>(run.settings.number("slots", cell.slots));
        cell.regions = run.settings.number("regions", cell.regions);
        cell.utilisation = static_cast<double>(run.settings.number("utilisation", 90)) / 100;
        cell.service_time = std::chrono::milliseconds(run.settings.number("service_ms", 500));
        cell.intra_region_delay = common::duration(run.settings.number("near_us", 1000));
        cell.inter_region_delay = common::duration(run.settings.number("far_us", 20'000));
        cell.length = std::chrono::seconds(run.settings.number("seconds", 120));
        for (const auto& scenario : run.settings.list(
                 "scenario", "even+skew60+skew95+trickle+idle+rush+waves+slow_runner+fails_fast+"
                             "third_dies+all_die")) {
            for (const auto& policy : run.settings.list(
                     "policy", "slot_grants+two_choices+least_outstanding+learning_automaton")) {
                run_one(run, cell, scenario, policy);
            }
        }
    }

private:
    static void run_one(const bench_run& run, const routing_cell& cell, const std::string& scenario,
                        const std::string& policy) {
        const auto arrivals = make_arrivals(scenario, cell, run.seed);
        const auto faults = faults_of(scenario, cell);
        auto central = central_queue_waits(arrivals, cell, faults);
        routing_simulation simulation(cell, faults, policy, run.seed);
        auto result = simulation.run(arrivals);
        const double requests =
            static_cast<double>(std::max<std::size_t>(result.answered + result.refused, 1));
        const double policy_p99 = quantile(result.waits, p99);
        const double central_p99 = quantile(central, p99);
        result_row row;
        row.setting("scenario", scenario).setting("policy", policy);
        row.setting("regions", cell.regions)
            .setting("service_ms",
                     static_cast<std::uint64_t>(
                         std::chrono::duration_cast<std::chrono::milliseconds>(cell.service_time)
                             .count()));
        row.result("excess_p99", policy_p99 - central_p99);
        row.result("p50", quantile(result.waits, p50)).result("p99", policy_p99);
        row.result("p999", quantile(result.waits, p999));
        row.result("p99_first_entry", quantile(result.waits_first_entry, p99));
        row.result("p99_its_region", quantile(result.waits_same_region, p99));
        row.result("p99_other_regions", quantile(result.waits_other_regions, p99));
        row.result("central_p99", central_p99).result("central_p999", quantile(central, p999));
        row.result("refused_per_1000", 1000 * static_cast<double>(result.refused) / requests);
        row.result("failed_per_1000", 1000 * static_cast<double>(result.failed) / requests);
        row.result("full_per_request", static_cast<double>(result.full_refusals) / requests);
        row.result("crossings_per_1000", 1000 * static_cast<double>(result.crossings) / requests);
        row.result("crossings_refused_per_1000",
                   1000 * static_cast<double>(result.crossings_refused) / requests);
        row.result("crossing_bytes_per_request", result.crossing_bytes / requests);
        row.result("peer_messages_per_s", static_cast<double>(result.peer_messages) /
                                              std::chrono::duration<double>(cell.length).count());
        row.result("crossing_peer_bytes_per_s",
                   result.crossing_peer_bytes / std::chrono::duration<double>(cell.length).count());
        if (faults.outage.runners > 0) {
            write_outage(outage_statistics_of(result.seconds, faults.outage), row);
        }
        run.write(row);
    }

    static void write_outage(const outage_statistics& statistics, result_row& row) {
        row.result("max_retry_share", statistics.max_retry_share);
        row.result("max_attempt_share", statistics.max_attempt_share);
        row.result("retry_share", statistics.retry_share)
            .result("recovery_s", statistics.recovery_s);
    }
};

const benchmark_registration registration("routing",
                                          [] { return std::make_unique<routing_benchmark>(); });

} // namespace

} // namespace buckthornspar::bench
