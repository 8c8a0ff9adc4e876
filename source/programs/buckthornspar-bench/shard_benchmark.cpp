#include "benchmark.h"
#include "cell_simulation.h"
#include "shard_simulation.h"

#include <algorithm>
#include <memory>

namespace buckthornspar::bench {

namespace {

using scheduling::job_spec;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr placement::resources worker_size{64 * cores, 128 * gigabytes, 0};
// 21 of these leave one core of a worker for the short tasks.
constexpr placement::resources long_demand{3 * cores, 5 * gigabytes, 0};
constexpr placement::resources short_demand{cores / 2, 512, 0};
constexpr std::int64_t short_run_ms = 200;
constexpr std::uint32_t short_tasks_per_job = 5;
constexpr common::duration setup_limit = std::chrono::minutes(10);
// Two renewal periods. Measured intervals should be multiples of the period, because workers that
// were adopted together are renewed together.
constexpr common::duration settle_time = seconds(3);
constexpr common::duration takeover_limit = std::chrono::minutes(1);
// Design size: 20 schedulers and 300 store writes per second.
constexpr std::size_t schedulers = 20;
constexpr std::size_t store_writes_per_second = 300;
constexpr std::size_t memory_workers = 50;

job_spec make_job(std::string id, std::uint32_t tasks, const placement::resources& demand,
                  std::int64_t run_ms) {
    job_spec job;
    job.id = std::move(id);
    job.team = "team";
    job.family = "family";
    job.tasks = tasks;
    job.demand = demand;
    job.run_ms = run_ms;
    return job;
}

shard_simulation_settings simulation_settings(std::uint64_t seed, std::size_t workers) {
    shard_simulation_settings settings;
    settings.workers = workers;
    settings.seed = seed;
    settings.worker_capacity = worker_size;
    settings.flush_interval = scheduling::flush_interval(schedulers, store_writes_per_second);
    return settings;
}

void require(bool reached, const std::string& what) {
    if (!reached) {
        throw bench_settings_error("the shard did not reach the state in time: " + what);
    }
}

/// Starts a scheduler, waits until it has adopted all workers, and starts jobs of equal size that
/// run indefinitely.
void prepare(shard_simulation& simulation, std::size_t jobs, std::uint32_t tasks_per_job) {
    simulation.start_scheduler("s1");
    require(simulation.run_until(
                [&] { return simulation.all_adopted() && !simulation.engine().recovering(); },
                setup_limit),
            "all workers adopted");
    for (std::size_t i = 0; i < jobs; ++i) {
        simulation.submit(make_job("long" + std::to_string(i), tasks_per_job, long_demand, 0));
    }
    const std::size_t tasks = jobs * tasks_per_job;
    require(simulation.run_until([&] { return simulation.running_tasks() == tasks; }, setup_limit),
            "all tasks running");
    simulation.run_for(settle_time);
}

double in_seconds(common::duration d) {
    return std::chrono::duration<double>(d).count();
}

/// Processor time and calls of one shard engine by number of workers.
class shard_cost final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "processor time and calls of one shard engine in virtual time; settings: "
               "workers=50+350+1050, tasks=21 (a worker), idle_s=6, starts_s=6, starts_per_s=205";
    }

    void run(const bench_run& run) override {
        for (const std::string& workers : run.settings.list("workers", "50+350+1050")) {
            measure_load(run, bench_settings("workers=" + workers).number("workers", 0));
        }
    }

private:
    struct idle_cost {
        double us_per_s = 0;
        double passes_per_s = 0;
        double worker_calls_per_s = 0;
    };

    static void measure_load(const bench_run& run, std::size_t workers) {
        const auto tasks = static_cast<std::uint32_t>(run.settings.number("tasks", 21));
        shard_simulation simulation(simulation_settings(run.seed, workers));
        prepare(simulation, workers, tasks);
        result_row row;
        row.setting("workers", workers).setting("tasks", tasks);
        const idle_cost idle = measure_idle(run, simulation);
        // 10,000 us of processor time per second are 1 % of a core.
        row.result("idle_core_percent", idle.us_per_s / 1e4)
            .result("idle_us_per_worker_s", idle.us_per_s / static_cast<double>(workers))
            .result("idle_passes_per_s", idle.passes_per_s)
            .result("idle_worker_calls_per_s", idle.worker_calls_per_s);
        measure_starts(run, simulation, idle, row);
        measure_takeover(simulation, row);
        run.write(row);
    }

    static idle_cost measure_idle(const bench_run& run, shard_simulation& simulation) {
        const seconds length(run.settings.number("idle_s", 6));
        const shard_usage before = simulation.usage();
        simulation.run_for(length);
        const shard_usage used = simulation.usage() - before;
        const double s = in_seconds(length);
        return {used.processor_us / s, static_cast<double>(used.passes) / s,
                static_cast<double>(used.worker_calls()) / s};
    }

    /// The cost of a start is the processor time above the idle cost, from the submission to the
    /// acknowledged end of the task. With thousands of workers it is smaller than the variation of
    /// the idle cost; starts_core_percent is the total cost, including the time after the starts.
    static void measure_starts(const bench_run& run, shard_simulation& simulation,
                               const idle_cost& idle, result_row& row) {
        const std::uint64_t rate = run.settings.number("starts_per_s", 205);
        const std::uint64_t jobs = rate * run.settings.number("starts_s", 6) / short_tasks_per_job;
        const auto gap =
            common::duration(seconds(short_tasks_per_job)) / static_cast<std::int64_t>(rate);
        const shard_usage before = simulation.usage();
        const auto start = simulation.now();
        for (std::uint64_t i = 0; i < jobs; ++i) {
            simulation.submit(make_job("short" + std::to_string(i), short_tasks_per_job,
                                       short_demand, short_run_ms));
            simulation.run_for(gap);
        }
        simulation.run_for(settle_time);
        const shard_usage used = simulation.usage() - before;
        const auto starts = static_cast<double>(used.starts);
        const double idle_us = idle.us_per_s * in_seconds(simulation.now() - start);
        const double length_us = in_seconds(simulation.now() - start) * 1e6;
        row.result("starts", starts)
            .result("starts_core_percent", 100 * used.processor_us / length_us)
            .result("us_per_start", (used.processor_us - idle_us) / starts)
            .result("store_calls_per_1000_starts",
                    1000 * static_cast<double>(used.store_calls) / starts);
    }

    static void measure_takeover(shard_simulation& simulation, result_row& row) {
        const std::uint64_t previous_epoch = simulation.engine().epoch();
        (void)simulation.stop_scheduler();
        const shard_usage before = simulation.usage();
        const auto start = simulation.now();
        simulation.start_scheduler("s2");
        simulation.receive_owner_heartbeat("s1", previous_epoch);
        require(simulation.run_until(
                    [&] { return simulation.all_adopted() && !simulation.engine().recovering(); },
                    takeover_limit),
                "take-over");
        const shard_usage used = simulation.usage() - before;
        row.result("takeover_s", in_seconds(simulation.now() - start))
            .result("takeover_processor_ms", used.processor_us / 1e3)
            .result("takeover_store_calls", static_cast<double>(used.store_calls))
            .result("takeover_worker_calls", static_cast<double>(used.worker_calls()))
            .result("takeover_restarts", static_cast<double>(used.starts));
    }
};

/// Memory use of one shard engine.
class shard_memory final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "memory of one shard engine for each worker, running task and accepted job";
    }

    /// The difference between engines without jobs gives the memory per worker. The same number of
    /// tasks in few and in many jobs gives the memory per task and per job.
    void run(const bench_run& run) override {
        constexpr std::uint32_t tasks_per_job = 50;
        constexpr std::size_t few_jobs = 20;
        constexpr std::size_t tasks = few_jobs * tasks_per_job;
        const double empty = measure_bytes(run.seed, memory_workers, 0, 1);
        const double twice = measure_bytes(run.seed, 2 * memory_workers, 0, 1);
        const double few = measure_bytes(run.seed, memory_workers, few_jobs, tasks_per_job);
        const double many = measure_bytes(run.seed, memory_workers, tasks, 1);
        const double per_job = (many - few) / static_cast<double>(tasks - few_jobs);
        const double per_task =
            (few - empty - per_job * static_cast<double>(few_jobs)) / static_cast<double>(tasks);
        result_row row;
        row.setting("workers", memory_workers).setting("tasks", tasks);
        row.result("bytes_per_worker", (twice - empty) / static_cast<double>(memory_workers))
            .result("bytes_per_running_task", per_task)
            .result("bytes_per_accepted_job", per_job);
        run.write(row);
    }

private:
    static double measure_bytes(std::uint64_t seed, std::size_t workers, std::size_t jobs,
                                std::uint32_t tasks_per_job) {
        shard_simulation simulation(simulation_settings(seed, workers));
        prepare(simulation, jobs, tasks_per_job);
        return static_cast<double>(simulation.stop_scheduler());
    }
};

const benchmark_registration cost_registration("shard",
                                               [] { return std::make_unique<shard_cost>(); });
const benchmark_registration memory_registration("shard-memory",
                                                 [] { return std::make_unique<shard_memory>(); });

} // namespace

} // namespace buckthornspar::bench
