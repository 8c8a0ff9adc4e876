#include "benchmark.h"
#include "cell_simulation.h"
#include "waiting_faults.h"
#include "waiting_workload.h"

#include <algorithm>
#include <memory>

namespace buckthornspar::bench {

namespace {

/// Delays within one place. Failure detection and lease use the scheduler's default
/// worker_timeout_ms and lease_ms, the latter with the allowance for clock drift.
constexpr cell_delays delays{std::chrono::milliseconds(2), std::chrono::milliseconds(1),
                             std::chrono::milliseconds(1000), std::chrono::milliseconds(6060),
                             std::chrono::milliseconds(1000)};

double quantile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(position, sorted.size() - 1)];
}

/// Measures the time from the first submission of a task to the first start that a worker accepts
/// and does not fail.
class waiting_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "wait until the start in virtual time on 50 x 64 cores/128 GB; settings: "
               "patterns=burst+rush+trickle, faults=none+returning+rack+bad_worker+"
               "wrong_declarations+cancellations+slow_store+store_down+owner_dies, failures "
               "(workers that return), adoption_ms, scorer";
    }

    void run(const bench_run& run) override {
        for (const std::string& pattern : run.settings.list("patterns", "burst+rush+trickle")) {
            for (const std::string& fault :
                 run.settings.list("faults", "none+returning+rack+bad_worker+wrong_declarations+"
                                             "cancellations+slow_store+store_down+owner_dies")) {
                measure(run, find_pattern(pattern), find_fault(fault));
            }
        }
    }

private:
    struct task_wait {
        bool urgent = false;
        bool cancelled = false;
        std::size_t refusals = 0;
        common::time_point submitted;
        /// Wait until the first start; negative until then.
        double seconds = -1;
    };

    static void measure(const bench_run& run, const arrival_pattern& pattern,
                        const waiting_fault& fault) {
        placement::placement_settings settings;
        settings.scorer = run.settings.text("scorer", "best_fit");
        settings.seed = run.seed;
        placement::placement_engine engine(settings);
        common::rng random(run.seed);
        auto tasks = make_waiting_tasks(random, pattern);
        cell_simulation cell(engine);
        cell.add_workers(make_workers(waiting_workers, waiting_worker_size(), "w"));
        cell.set_delays(delays);
        fault_context context{cell, tasks, common::rng(random.next())};
        context.peak_s = pattern.peak_s;
        context.failures = run.settings.number("failures", 10);
        context.adoption = std::chrono::milliseconds(run.settings.number("adoption_ms", 500));
        fault.apply(context);
        cell.set_store(context.store);
        const auto waits = simulate(cell, tasks);
        for (const bool urgent : {true, false}) {
            result_row row;
            row.setting("pattern", pattern.name).setting("fault", fault.name);
            row.setting("scorer", settings.scorer).setting("class", urgent ? "urgent" : "other");
            write(run, row, urgent, waits);
        }
    }

    static std::vector<task_wait> simulate(cell_simulation& cell,
                                           const std::vector<waiting_task>& tasks) {
        std::vector<task_wait> waits;
        for (const waiting_task& task : tasks) {
            const bool urgent = task.request.priority == placement::priority_class::urgent;
            waits.push_back({urgent, false, 0, task.request.submitted});
            cell.add_task(task.request, {task.run_time, task.actual_demand.cpu_milli});
        }
        const auto wait_of = [&waits](const std::string& task) -> task_wait& {
            return waits[std::stoul(task.substr(1))];
        };
        cell.on_start([&](const std::string& task, common::time_point now) {
            task_wait& wait = wait_of(task);
            if (wait.seconds < 0) {
                wait.seconds = std::chrono::duration<double>(now - wait.submitted).count();
            }
        });
        cell.on_refusal(
            [&](const std::string& task, common::time_point /*now*/) { ++wait_of(task).refusals; });
        cell.on_cancellation([&](const std::string& task, common::time_point /*now*/) {
            wait_of(task).cancelled = true;
        });
        cell.run();
        return waits;
    }

    static void write(const bench_run& run, result_row& row, bool urgent,
                      const std::vector<task_wait>& waits) {
        std::vector<double> seconds;
        std::size_t never = 0;
        std::size_t cancelled = 0;
        std::size_t refusals = 0;
        for (const task_wait& wait : waits) {
            if (wait.urgent != urgent) {
                continue;
            }
            refusals += wait.refusals;
            if (wait.seconds >= 0) {
                seconds.push_back(wait.seconds);
            } else if (wait.cancelled) {
                ++cancelled;
            } else {
                ++never;
            }
        }
        std::sort(seconds.begin(), seconds.end());
        row.result("p50_s", quantile(seconds, 0.5)).result("p99_s", quantile(seconds, 0.99));
        row.result("p99.9_s", quantile(seconds, 0.999)).result("max_s", quantile(seconds, 1.0));
        row.result("started", static_cast<double>(seconds.size()));
        row.result("never_started", static_cast<double>(never));
        row.result("cancelled", static_cast<double>(cancelled));
        row.result("refusals", static_cast<double>(refusals));
        run.write(row);
    }
};

const benchmark_registration registration("waiting",
                                          [] { return std::make_unique<waiting_benchmark>(); });

} // namespace

} // namespace buckthornspar::bench
