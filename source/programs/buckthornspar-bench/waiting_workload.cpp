#include "waiting_workload.h"

#include "benchmark.h"
#include "cell_simulation.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace buckthornspar::bench {

using placement::resources;

namespace {

constexpr double length_s = 600;
constexpr double mean_run_s = 20;
constexpr double urgent_share = 0.1;

/// A low load with one burst: after two minutes, the work of about 80 s arrives within 2 s.
double burst(double s) {
    return s >= 120 && s < 122 ? 40.0 : 0.3;
}

/// A load that rises over two minutes to 1.2 times the fleet's capacity, then falls again.
double rush(double s) {
    return 0.2 + std::max(0.0, 1.0 - std::abs(s - 300) / 120);
}

double trickle(double /*s*/) {
    return 0.1;
}

constexpr arrival_pattern patterns[] = {
    {"burst", &burst, 121}, {"rush", &rush, 300}, {"trickle", &trickle, 300}};

waiting_task make_task(common::rng& random, double at, std::size_t number) {
    const bool urgent = random.chance(urgent_share);
    waiting_task task;
    placement::task_request& request = task.request;
    request.task = "t" + std::to_string(number);
    request.job = request.task;
    request.team = "team" + std::to_string(random.below(10));
    request.submitted = common::time_point{from_seconds(at)};
    request.priority =
        urgent ? placement::priority_class::urgent : placement::priority_class::normal;
    request.demand = urgent ? resources{1 * cores, 2 * gigabytes, 0} : mixed_demand(random);
    const double run_s = urgent ? 1 + random.unit() * 4 : random.exponential(mean_run_s) + 0.1;
    const double error = std::pow(3.0, 2 * random.unit() - 1);
    request.expected_run = from_seconds(run_s * error);
    task.run_time = from_seconds(run_s);
    task.actual_demand = request.demand;
    return task;
}

std::int64_t with_random_error(std::int64_t amount, common::rng& random, double factor,
                               std::int64_t limit) {
    const double error = std::pow(factor, 2 * random.unit() - 1);
    const auto declared = static_cast<std::int64_t>(static_cast<double>(amount) * error);
    return std::min(declared, limit);
}

} // namespace

resources waiting_worker_size() {
    return {64 * cores, 128 * gigabytes, 0};
}

common::duration from_seconds(double seconds) {
    return common::duration(static_cast<std::int64_t>(seconds * 1e6));
}

const arrival_pattern& find_pattern(std::string_view name) {
    const auto* position = std::find_if(std::begin(patterns), std::end(patterns),
                                        [&](const arrival_pattern& p) { return p.name == name; });
    if (position == std::end(patterns)) {
        throw bench_settings_error("unknown pattern '" + std::string(name) + "'");
    }
    return *position;
}

std::vector<waiting_task> make_waiting_tasks(common::rng& random, const arrival_pattern& pattern) {
    // mixed_demand has a mean of 3.9 cores; an urgent task uses 1 core for 3 s on average.
    constexpr double core_seconds = (1 - urgent_share) * 3.9 * mean_run_s + urgent_share * 1 * 3;
    constexpr double fleet_tasks_per_s = 64.0 * waiting_workers / core_seconds;
    constexpr double step_s = 0.1;
    std::vector<waiting_task> tasks;
    for (double s = 0; s < length_s; s += step_s) {
        double expected = pattern.load(s) * fleet_tasks_per_s * step_s;
        for (; expected > 0; expected -= 1) {
            if (random.chance(std::min(expected, 1.0))) {
                tasks.push_back(make_task(random, s + step_s * random.unit(), tasks.size()));
            }
        }
    }
    return tasks;
}

void randomize_declarations(std::vector<waiting_task>& tasks, common::rng& random, double factor) {
    const resources capacity = waiting_worker_size();
    for (waiting_task& task : tasks) {
        placement::task_request& request = task.request;
        request.demand.cpu_milli =
            with_random_error(task.actual_demand.cpu_milli, random, factor, capacity.cpu_milli);
        request.demand.memory_mb =
            with_random_error(task.actual_demand.memory_mb, random, factor, capacity.memory_mb);
        const double error = std::pow(factor, 2 * random.unit() - 1);
        request.expected_run =
            from_seconds(std::chrono::duration<double>(task.run_time).count() * error);
    }
}

} // namespace buckthornspar::bench
