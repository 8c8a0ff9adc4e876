#include "benchmark.h"
#include "cell_simulation.h"

#include <cmath>
#include <memory>

namespace buckthornspar::bench {

namespace {

using placement::resources;

struct batch_task {
    resources demand;
    common::duration run_time{0};
};

/// The two customers' fleet: 50 workers of each size.
std::vector<placement::worker_info> fleet() {
    auto workers = make_workers(50, {64 * cores, 128 * gigabytes, 0}, "large");
    const auto small = make_workers(50, {32 * cores, 64 * gigabytes, 0}, "small");
    workers.insert(workers.end(), small.begin(), small.end());
    return workers;
}

resources capacity_of(const std::vector<placement::worker_info>& workers) {
    resources total;
    for (const auto& worker : workers) {
        total += worker.capacity;
    }
    return total;
}

// Run times between 10 s and 10 min; most are short, and a few are ten times longer.
common::duration random_run(common::rng& random) {
    const double seconds = 10.0 * std::pow(60.0, random.unit() * random.unit());
    return common::duration(static_cast<std::int64_t>(seconds * 1e6));
}

/// Generates tasks whose total demand is `load` times the capacity of the scarcest resource.
std::vector<batch_task> make_batch(std::uint64_t seed, const resources& capacity, double load) {
    common::rng random(seed);
    std::vector<batch_task> batch;
    resources total;
    while (true) {
        const batch_task task{mixed_demand(random), random_run(random)};
        if (dominant_share(total + task.demand, capacity) > load) {
            return batch;
        }
        total += task.demand;
        batch.push_back(task);
    }
}

placement::task_request make_request(std::size_t number, const batch_task& task) {
    placement::task_request request;
    request.task = "t" + std::to_string(number);
    request.job = request.task;
    request.team = "team";
    request.demand = task.demand;
    request.expected_run = task.run_time;
    return request;
}

placement::placement_engine make_engine(const std::string& scorer, std::uint64_t seed) {
    placement::placement_settings settings;
    settings.scorer = scorer;
    settings.seed = seed;
    placement::placement_engine engine(settings);
    for (const auto& worker : fleet()) {
        engine.upsert_worker(worker);
    }
    return engine;
}

double seconds(common::duration d) {
    return std::chrono::duration<double>(d).count();
}

/// Accumulates the resource use of tasks between two times, weighted by duration.
class utilisation_meter {
public:
    utilisation_meter(common::time_point from, common::time_point to) : m_from(from), m_to(to) {}

    void add(const resources& demand, common::time_point start, common::duration run) {
        const auto begin = std::max(start, m_from);
        const auto end = std::min(start + run, m_to);
        if (begin < end) {
            const double share = seconds(end - begin) / seconds(m_to - m_from);
            m_cpu += share * static_cast<double>(demand.cpu_milli);
            m_memory += share * static_cast<double>(demand.memory_mb);
        }
    }

    /// Returns the mean utilisation of the most heavily used resource.
    [[nodiscard]] double utilisation(const resources& capacity) const {
        return std::max(m_cpu / static_cast<double>(capacity.cpu_milli),
                        m_memory / static_cast<double>(capacity.memory_mb));
    }

private:
    common::time_point m_from;
    common::time_point m_to;
    double m_cpu = 0;
    double m_memory = 0;
};

/// Packing of a mixed batch.
///
/// batch: tasks with a total demand equal to the capacity are submitted together; the result is the
/// fraction of this demand that was placed.
/// online: the same tasks arrive one at a time, and each is placed before the next one arrives.
/// half: like online, with tasks for half the capacity; the result is the placed demand over the
/// capacity of the workers that got a task. It shows how many workers stay empty at low load.
/// backlog: tasks arrive for 30 min at 1.3 times the rate that the fleet can sustain, and end after
/// their run time; the result is the mean utilisation of the scarcest resource from the 5th minute
/// on, with an upper bound of 1.
class packing final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "mixed batch on 50 x 64 cores/128 GB and 50 x 32 cores/64 GB against the bound sum "
               "of demand; settings: scorers=A+B, modes=batch+online+half+backlog";
    }

    void run(const bench_run& run) override {
        for (const std::string& mode : run.settings.list("modes", "batch+online+half+backlog")) {
            for (const std::string& scorer :
                 run.settings.list("scorers", "first_fit+two_choices+best_fit")) {
                result_row row;
                row.setting("mode", mode).setting("scorer", scorer);
                row.result("packing", measure(run, scorer, mode));
                run.write(row);
            }
        }
    }

private:
    static double measure(const bench_run& run, const std::string& scorer,
                          const std::string& mode) {
        if (mode == "batch" || mode == "online") {
            return fill(run, scorer, mode == "online", 1.0);
        }
        if (mode == "half") {
            return fill(run, scorer, true, 0.5);
        }
        if (mode == "backlog") {
            return backlog(run, scorer);
        }
        throw bench_settings_error("unknown mode '" + mode + "'");
    }

    static double fill(const bench_run& run, const std::string& scorer, bool online, double load) {
        const resources capacity = capacity_of(fleet());
        const auto batch = make_batch(run.seed, capacity, load);
        auto engine = make_engine(scorer, run.seed);
        resources offered;
        for (std::size_t i = 0; i < batch.size(); ++i) {
            offered += batch[i].demand;
            engine.submit(make_request(i, batch[i]));
            if (online) {
                (void)engine.decide(common::time_point{}, 1);
            }
        }
        (void)engine.decide(common::time_point{}, batch.size());
        resources placed;
        resources used;
        for (const auto& worker : fleet()) {
            const resources allocated = engine.allocated(worker.id);
            placed += allocated;
            used += allocated == resources{} ? resources{} : worker.capacity;
        }
        return load < 1.0 ? dominant_share(placed, used)
                          : dominant_share(placed, capacity) / dominant_share(offered, capacity);
    }

    static double backlog(const bench_run& run, const std::string& scorer) {
        constexpr auto length = std::chrono::minutes(30);
        constexpr auto warm_up = std::chrono::minutes(5);
        constexpr double offered_load = 1.3;
        const resources capacity = capacity_of(fleet());
        // Tasks are added until their CPU time reaches offered_load times that of the fleet.
        common::rng random(run.seed);
        auto engine = make_engine(scorer, run.seed);
        cell_simulation cell(engine);
        std::vector<batch_task> tasks;
        double cpu_seconds = 0;
        while (cpu_seconds <
               offered_load * seconds(length) * static_cast<double>(capacity.cpu_milli)) {
            const batch_task task{mixed_demand(random), random_run(random)};
            cpu_seconds += seconds(task.run_time) * static_cast<double>(task.demand.cpu_milli);
            tasks.push_back(task);
        }
        for (std::size_t i = 0; i < tasks.size(); ++i) {
            auto request = make_request(i, tasks[i]);
            request.submitted = common::time_point{common::duration(static_cast<std::int64_t>(
                random.unit() * static_cast<double>(common::duration(length).count())))};
            cell.add_task(request, {tasks[i].run_time});
        }
        utilisation_meter meter{common::time_point{warm_up}, common::time_point{length}};
        cell.on_start([&](const std::string& task, common::time_point now) {
            const batch_task& started = tasks[std::stoul(task.substr(1))];
            meter.add(started.demand, now, started.run_time);
        });
        cell.run();
        return meter.utilisation(capacity);
    }
};

const benchmark_registration registration("packing", [] { return std::make_unique<packing>(); });

} // namespace

} // namespace buckthornspar::bench
