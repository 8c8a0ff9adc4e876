#include "benchmark.h"
#include "cell_simulation.h"
#include "processor_time.h"

#include <algorithm>
#include <memory>
#include <numeric>

namespace buckthornspar::bench {

namespace {

using placement::resources;

/// Returns workers of which half have 64 cores and half 32, every seventh has 8 accelerators, and
/// 1,050 share a place.
std::vector<placement::worker_info> make_fleet(std::size_t count) {
    constexpr std::size_t workers_per_place = 1050;
    auto workers = make_workers(count, {64 * cores, 128 * gigabytes, 0}, "w");
    for (std::size_t i = 0; i < count; ++i) {
        workers[i].place = "place" + std::to_string(i / workers_per_place);
        if (i % 2 == 1) {
            workers[i].capacity = {32 * cores, 64 * gigabytes, 0};
        }
        if (i % 7 == 0) {
            workers[i].capacity.accelerators = 8;
        }
    }
    return workers;
}

double quantile(std::vector<double> samples, double share) {
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(samples.size()));
    const auto nth = samples.begin() + std::min(position, std::ssize(samples) - 1);
    std::nth_element(samples.begin(), nth, samples.end());
    return *nth;
}

double mean(const std::vector<double>& samples) {
    return std::accumulate(samples.begin(), samples.end(), 0.0) /
           static_cast<double>(samples.size());
}

/// A placement engine under load: in each round, one task ends and one is submitted.
class simulated_shard {
public:
    simulated_shard(std::uint64_t seed, const std::string& scorer, std::size_t workers)
        : m_random(seed),
          m_teams(std::max<std::size_t>(8, workers / 25)),
          m_engine(make_settings(seed, scorer)) {
        for (const auto& worker : make_fleet(workers)) {
            m_engine.upsert_worker(worker);
            m_capacity += worker.capacity;
        }
    }

    /// Submits and places tasks until their demand reaches the given fraction of the capacity.
    void fill(double share) {
        resources total;
        while (dominant_share(total, m_capacity) < share) {
            total += submit();
            decide();
        }
    }

    void add_backlog(std::size_t tasks) {
        // A single decision for all tasks keeps the set-up time short.
        for (std::size_t i = 0; i < tasks; ++i) {
            submit();
        }
        decide();
    }

    void add_gang(std::size_t tasks) {
        std::vector<placement::task_request> requests;
        for (std::size_t i = 0; i < tasks; ++i) {
            auto request = make_request({32 * cores, 64 * gigabytes, 0});
            request.kind = placement::workload_kind::all_at_once;
            request.job = "gang";
            requests.push_back(request);
        }
        m_engine.submit_gang(requests);
    }

    /// Records the processor time of the events and of the decision in each round.
    void measure(std::size_t rounds, std::vector<double>& events, std::vector<double>& decisions) {
        for (std::size_t i = 0; i < rounds; ++i) {
            m_now += std::chrono::milliseconds(1);
            const auto ended = m_random.below(m_running.size());
            std::swap(m_running[ended], m_running.back());
            auto request = make_request(random_demand(m_random));
            const double start = processor_time_us();
            m_engine.release(m_running.back(), m_now);
            m_engine.submit(std::move(request));
            const double middle = processor_time_us();
            const auto decision = m_engine.decide(m_now, 16);
            const double end = processor_time_us();
            m_running.pop_back();
            record_running(decision);
            events.push_back(middle - start);
            decisions.push_back(end - middle);
            m_placed += decision.tasks.size();
        }
    }

    [[nodiscard]] std::size_t placed() const { return m_placed; }
    [[nodiscard]] std::size_t waiting() const { return m_engine.waiting(); }

private:
    static placement::placement_settings make_settings(std::uint64_t seed,
                                                       const std::string& scorer) {
        placement::placement_settings settings;
        settings.seed = seed;
        settings.scorer = scorer;
        return settings;
    }

    static resources random_demand(common::rng& random) {
        resources demand = mixed_demand(random);
        demand.accelerators = random.chance(0.05) ? 1 : 0;
        return demand;
    }

    placement::task_request make_request(const resources& demand) {
        placement::task_request request;
        request.task = "task" + std::to_string(m_next++);
        request.team = "team" + std::to_string(m_random.below(m_teams));
        request.job = "job" + std::to_string(m_random.below(m_teams * 4));
        request.demand = demand;
        request.submitted = m_now;
        request.expected_run = std::chrono::seconds(10 + m_random.below(590));
        const double draw = m_random.unit();
        request.priority = draw < 0.1   ? placement::priority_class::urgent
                           : draw < 0.8 ? placement::priority_class::normal
                                        : placement::priority_class::bulk;
        request.kind = m_random.chance(0.2) ? placement::workload_kind::service
                                            : placement::workload_kind::batch;
        return request;
    }

    resources submit() {
        const resources demand = random_demand(m_random);
        m_engine.submit(make_request(demand));
        return demand;
    }

    void decide() { record_running(m_engine.decide(m_now, 1000000)); }

    void record_running(const placement::decisions& decision) {
        for (const auto& a : decision.tasks) {
            m_running.push_back(a.task);
        }
        for (const auto& gang : decision.gangs) {
            for (const auto& a : gang.tasks) {
                m_running.push_back(a.task);
            }
        }
    }

    common::rng m_random;
    std::size_t m_teams;
    placement::placement_engine m_engine;
    resources m_capacity;
    std::vector<std::string> m_running;
    common::time_point m_now{};
    std::uint64_t m_next = 0;
    std::size_t m_placed = 0;
};

/// Processor time of one placement decision.
///
/// steady: the shard is filled to 85 %; in each round one task ends, one is submitted and one is
/// placed. backlog: the shard is full and 5,000 tasks are waiting. gang: like steady, with a
/// waiting all-at-once job that has a planned start and one task for every four workers.
class placement_cost final : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "processor time per decision; settings: workers=50+1050+21000, "
               "states=steady+backlog+gang, scorers=A+B, rounds";
    }

    void run(const bench_run& run) override {
        for (const std::string& state : run.settings.list("states", "steady+backlog+gang")) {
            for (const std::string& scorer :
                 run.settings.list("scorers", "first_fit+two_choices+best_fit")) {
                for (const std::string& workers : run.settings.list("workers", "50+1050+21000")) {
                    measure(run, state, scorer, std::stoul(workers));
                }
            }
        }
    }

private:
    static void measure(const bench_run& run, const std::string& state, const std::string& scorer,
                        std::size_t workers) {
        constexpr double steady_load = 0.85;
        simulated_shard s(run.seed, scorer, workers);
        s.fill(state == "backlog" ? 1.0 : steady_load);
        if (state == "backlog") {
            s.add_backlog(5000);
        } else if (state == "gang") {
            s.add_gang(std::max<std::size_t>(2, workers / 4));
        }
        const std::size_t rounds = run.settings.number("rounds", 20000);
        std::vector<double> events;
        std::vector<double> decisions;
        s.measure(rounds / 10, events, decisions);
        events.clear();
        decisions.clear();
        const std::size_t placed_before = s.placed();
        s.measure(rounds, events, decisions);
        result_row row;
        row.setting("state", state).setting("scorer", scorer).setting("workers", workers);
        row.result("decide_mean_us", mean(decisions));
        row.result("decide_p99_us", quantile(decisions, 0.99));
        row.result("decide_max_us", quantile(decisions, 1.0));
        row.result("events_mean_us", mean(events));
        row.result("placed_per_round",
                   static_cast<double>(s.placed() - placed_before) / static_cast<double>(rounds));
        run.write(row);
    }
};

const benchmark_registration registration("placement-cost",
                                          [] { return std::make_unique<placement_cost>(); });

} // namespace

} // namespace buckthornspar::bench
