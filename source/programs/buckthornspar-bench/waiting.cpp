#include "benchmark.h"
#include "cell_simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace buckthornspar::bench {

namespace {

using placement::resources;

constexpr std::size_t worker_count = 50;
constexpr resources worker_size{64 * cores, 128 * gigabytes, 0};
constexpr auto length = std::chrono::minutes(10);
constexpr double mean_run_s = 20;
constexpr double urgent_share = 0.1;

/// Offered load at a time, as a share of what the fleet can run.
struct arrival_pattern {
    std::string_view name;
    double (*load)(double seconds);
};

/// A low load, and after two minutes as much work within 2 s as the fleet runs in about 80 s.
double burst(double s) {
    return s >= 120 && s < 122 ? 40.0 : 0.3;
}

/// A load that rises for two minutes to 1.2 times what the fleet can run, and falls again.
double rush(double s) {
    return 0.2 + std::max(0.0, 1.0 - std::abs(s - 300) / 120);
}

double trickle(double /*s*/) {
    return 0.1;
}

constexpr arrival_pattern patterns[] = {{"burst", &burst}, {"rush", &rush}, {"trickle", &trickle}};

double quantile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

common::duration to_duration(double seconds) {
    return common::duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Time from submission to the first start. Workers fail at random times when failures is not 0;
/// their tasks start again, which is not counted as a wait.
///
/// Urgent tasks are a tenth of the tasks, small and short. Declared run times are wrong by a factor
/// of up to three either way.
class waiting final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "wait until the start in virtual time on 50 x 64 cores/128 GB; settings: "
               "patterns=burst+rush+trickle, failures=0+5, scorer";
    }

    void run(const bench_run& run) override {
        for (const std::string& name : run.settings.list("patterns", "burst+rush+trickle")) {
            for (const std::string& failures : run.settings.list("failures", "0+5")) {
                measure(run, find(name), std::stoul(failures));
            }
        }
    }

private:
    static const arrival_pattern& find(const std::string& name) {
        const auto* position =
            std::find_if(std::begin(patterns), std::end(patterns),
                         [&](const arrival_pattern& p) { return p.name == name; });
        if (position == std::end(patterns)) {
            throw bench_settings_error("no pattern is named '" + name + "'");
        }
        return *position;
    }

    static void measure(const bench_run& run, const arrival_pattern& pattern,
                        std::size_t failures) {
        const std::string scorer = run.settings.text("scorer", "best_fit");
        placement::placement_settings settings;
        settings.scorer = scorer;
        settings.seed = run.seed;
        placement::placement_engine engine(settings);
        const auto workers = make_workers(worker_count, worker_size, "w");
        for (const auto& worker : workers) {
            engine.upsert_worker(worker);
        }
        common::rng random(run.seed);
        cell_simulation cell(engine);
        std::vector<task_wait> waits;
        add_tasks(cell, random, pattern, waits);
        for (std::size_t i = 0; i < failures; ++i) {
            const auto at = to_duration(random.unit() * 600);
            cell.add_failure(common::time_point{at}, workers[i * 7 % worker_count],
                             std::chrono::seconds(60));
        }
        cell.on_start([&](const std::string& task, common::time_point now) {
            task_wait& wait = waits[std::stoul(task.substr(1))];
            if (wait.seconds < 0) {
                wait.seconds = std::chrono::duration<double>(now - wait.submitted).count();
            }
        });
        cell.run();
        for (const bool urgent : {true, false}) {
            write(run, pattern, scorer, failures, urgent, waits);
        }
    }

    struct task_wait {
        bool urgent = false;
        common::time_point submitted;
        /// Negative until the first start.
        double seconds = -1;
    };

    static void add_tasks(cell_simulation& cell, common::rng& random,
                          const arrival_pattern& pattern, std::vector<task_wait>& waits) {
        // The ranges of mixed_demand give a mean of 3.9 cores; an urgent task has 1 core for 3 s.
        constexpr double core_seconds =
            (1 - urgent_share) * 3.9 * mean_run_s + urgent_share * 1 * 3;
        constexpr double fleet_tasks_per_s = 64.0 * worker_count / core_seconds;
        constexpr double step_s = 0.1;
        for (double s = 0; s < std::chrono::duration<double>(length).count(); s += step_s) {
            double expected = pattern.load(s) * fleet_tasks_per_s * step_s;
            for (; expected > 0; expected -= 1) {
                if (random.chance(std::min(expected, 1.0))) {
                    add_task(cell, random, s + step_s * random.unit(), waits);
                }
            }
        }
    }

    static void add_task(cell_simulation& cell, common::rng& random, double at,
                         std::vector<task_wait>& waits) {
        const bool urgent = random.chance(urgent_share);
        const common::time_point submitted{to_duration(at)};
        placement::task_request request;
        request.task = "t" + std::to_string(waits.size());
        request.job = request.task;
        request.team = "team" + std::to_string(random.below(10));
        request.submitted = submitted;
        request.priority =
            urgent ? placement::priority_class::urgent : placement::priority_class::normal;
        request.demand = urgent ? resources{1 * cores, 2 * gigabytes, 0} : mixed_demand(random);
        const double run_s = urgent ? 1 + random.unit() * 4 : random.exponential(mean_run_s) + 0.1;
        const double error = std::pow(3.0, 2 * random.unit() - 1);
        request.expected_run = to_duration(run_s * error);
        waits.push_back({urgent, submitted});
        cell.add_task(request, to_duration(run_s));
    }

    static void write(const bench_run& run, const arrival_pattern& pattern,
                      const std::string& scorer, std::size_t failures, bool urgent,
                      const std::vector<task_wait>& waits) {
        std::vector<double> seconds;
        std::size_t never = 0;
        for (const task_wait& wait : waits) {
            if (wait.urgent == urgent) {
                never += wait.seconds < 0 ? 1 : 0;
                seconds.push_back(wait.seconds);
            }
        }
        std::sort(seconds.begin(), seconds.end());
        result_row row;
        row.setting("pattern", pattern.name).setting("scorer", scorer);
        row.setting("failures", failures).setting("class", urgent ? "urgent" : "other");
        row.result("p50_s", quantile(seconds, 0.5)).result("p99_s", quantile(seconds, 0.99));
        row.result("p99.9_s", quantile(seconds, 0.999)).result("max_s", quantile(seconds, 1.0));
        row.result("tasks", static_cast<double>(seconds.size()));
        row.result("never_started", static_cast<double>(never));
        run.write(row);
    }
};

const benchmark_registration registration("waiting", [] { return std::make_unique<waiting>(); });

} // namespace

} // namespace buckthornspar::bench
