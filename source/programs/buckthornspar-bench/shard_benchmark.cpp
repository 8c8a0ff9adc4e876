#include "benchmark.h"
#include "cell_simulation.h"
#include "shard_world.h"

#include <algorithm>
#include <memory>

namespace buckthornspar::bench {

namespace {

using scheduling::job_spec;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr placement::resources worker_size{64 * cores, 128 * gigabytes, 0};
// 21 of them leave one core of a worker for the short tasks.
constexpr placement::resources long_demand{3 * cores, 5 * gigabytes, 0};
constexpr placement::resources short_demand{cores / 2, 512, 0};
constexpr std::int64_t short_run_ms = 200;
constexpr std::uint32_t short_tasks_per_job = 5;
constexpr common::duration setup_limit = std::chrono::minutes(10);
// Two renewal periods. The measured times should be whole periods, because the workers, which were
// adopted together, are renewed together.
constexpr common::duration settle_time = seconds(3);
constexpr common::duration takeover_limit = std::chrono::minutes(1);
// The design size: 20 schedulers and 300 writes a second.
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

shard_world_settings world_settings(std::uint64_t seed, std::size_t workers) {
    shard_world_settings settings;
    settings.workers = workers;
    settings.seed = seed;
    settings.worker_capacity = worker_size;
    settings.flush_interval = scheduling::flush_interval(schedulers, store_writes_per_second);
    return settings;
}

void require(bool reached, const std::string& what) {
    if (!reached) {
        throw bench_settings_error("the shard did not reach: " + what);
    }
}

/// Makes a scheduler the owner of all workers, with jobs of equal size that run without an end.
void prepare(shard_world& world, std::size_t jobs, std::uint32_t tasks_per_job) {
    world.start_scheduler("s1");
    require(world.run_until([&] { return world.all_adopted() && !world.engine().recovering(); },
                            setup_limit),
            "all workers adopted");
    for (std::size_t i = 0; i < jobs; ++i) {
        world.submit(make_job("long" + std::to_string(i), tasks_per_job, long_demand, 0));
    }
    const std::size_t tasks = jobs * tasks_per_job;
    require(world.run_until([&] { return world.running_tasks() == tasks; }, setup_limit),
            "all tasks running");
    world.run_for(settle_time);
}

double in_seconds(common::duration d) {
    return std::chrono::duration<double>(d).count();
}

/// The cost of one shard's scheduler against the number of its workers.
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
        shard_world world(world_settings(run.seed, workers));
        prepare(world, workers, tasks);
        result_row row;
        row.setting("workers", workers).setting("tasks", tasks);
        const idle_cost idle = measure_idle(run, world);
        // 10,000 us of processor time a second are 1 % of a core.
        row.result("idle_core_percent", idle.us_per_s / 1e4)
            .result("idle_us_per_worker_s", idle.us_per_s / static_cast<double>(workers))
            .result("idle_passes_per_s", idle.passes_per_s)
            .result("idle_worker_calls_per_s", idle.worker_calls_per_s);
        measure_starts(run, world, idle, row);
        measure_takeover(world, row);
        run.write(row);
    }

    static idle_cost measure_idle(const bench_run& run, shard_world& world) {
        const seconds length(run.settings.number("idle_s", 6));
        const shard_usage before = world.usage();
        world.run_for(length);
        const shard_usage used = world.usage() - before;
        const double s = in_seconds(length);
        return {used.processor_us / s, static_cast<double>(used.passes) / s,
                static_cast<double>(used.worker_calls()) / s};
    }

    /// The cost of a start is what the engine uses more than when idle, from the submission to the
    /// acknowledged end. With thousands of workers it is lost in the spread of the idle cost;
    /// starts_core_percent is the whole cost, over the starts and the time after them.
    static void measure_starts(const bench_run& run, shard_world& world, const idle_cost& idle,
                               result_row& row) {
        const std::uint64_t rate = run.settings.number("starts_per_s", 205);
        const std::uint64_t jobs = rate * run.settings.number("starts_s", 6) / short_tasks_per_job;
        const auto gap =
            common::duration(seconds(short_tasks_per_job)) / static_cast<std::int64_t>(rate);
        const shard_usage before = world.usage();
        const auto began = world.now();
        for (std::uint64_t i = 0; i < jobs; ++i) {
            world.submit(make_job("short" + std::to_string(i), short_tasks_per_job, short_demand,
                                  short_run_ms));
            world.run_for(gap);
        }
        world.run_for(settle_time);
        const shard_usage used = world.usage() - before;
        const auto starts = static_cast<double>(used.starts);
        const double idle_us = idle.us_per_s * in_seconds(world.now() - began);
        const double length_us = in_seconds(world.now() - began) * 1e6;
        row.result("starts", starts)
            .result("starts_core_percent", 100 * used.processor_us / length_us)
            .result("us_per_start", (used.processor_us - idle_us) / starts)
            .result("store_calls_per_1000_starts",
                    1000 * static_cast<double>(used.store_calls) / starts);
    }

    static void measure_takeover(shard_world& world, result_row& row) {
        const std::uint64_t former_epoch = world.engine().epoch();
        (void)world.stop_scheduler();
        const shard_usage before = world.usage();
        const auto began = world.now();
        world.start_scheduler("s2");
        world.hear_owner("s1", former_epoch);
        require(world.run_until([&] { return world.all_adopted() && !world.engine().recovering(); },
                                takeover_limit),
                "take-over");
        const shard_usage used = world.usage() - before;
        row.result("takeover_s", in_seconds(world.now() - began))
            .result("takeover_processor_ms", used.processor_us / 1e3)
            .result("takeover_store_calls", static_cast<double>(used.store_calls))
            .result("takeover_worker_calls", static_cast<double>(used.worker_calls()))
            .result("takeover_restarts", static_cast<double>(used.starts));
    }
};

/// The bytes that one shard's engine holds.
class shard_memory final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "memory of one shard engine for each worker, running task and accepted job";
    }

    /// Empty engines with different numbers of workers give the bytes of a worker; engines with the
    /// same number of tasks in few and in many jobs give those of a task and of a job.
    void run(const bench_run& run) override {
        constexpr std::uint32_t tasks_per_job = 50;
        constexpr std::size_t few_jobs = 20;
        constexpr std::size_t tasks = few_jobs * tasks_per_job;
        const double empty = bytes_with(run.seed, memory_workers, 0, 1);
        const double twice = bytes_with(run.seed, 2 * memory_workers, 0, 1);
        const double few = bytes_with(run.seed, memory_workers, few_jobs, tasks_per_job);
        const double many = bytes_with(run.seed, memory_workers, tasks, 1);
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
    static double bytes_with(std::uint64_t seed, std::size_t workers, std::size_t jobs,
                             std::uint32_t tasks_per_job) {
        shard_world world(world_settings(seed, workers));
        prepare(world, jobs, tasks_per_job);
        return static_cast<double>(world.stop_scheduler());
    }
};

const benchmark_registration cost_registration("shard",
                                               [] { return std::make_unique<shard_cost>(); });
const benchmark_registration memory_registration("shard-memory",
                                                 [] { return std::make_unique<shard_memory>(); });

} // namespace

} // namespace buckthornspar::bench
