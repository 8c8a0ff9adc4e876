#include "benchmark.h"
#include "core/common/rng.h"
#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace buckthornspar::bench {

namespace {

using namespace dispatch;

constexpr std::int64_t cores = 1000;
constexpr std::array worker_speeds{0.6, 1.0, 1.6};

/// What the decisions know of the workers' speeds.
enum class knowledge { none, learnt, oracle };
constexpr common::name_table<knowledge, 3> knowledge_names{"knowledge",
                                                           {"none", "learnt", "oracle"}};

dispatcher_settings settings_for(knowledge known) {
    dispatcher_settings settings;
    settings.learning.speeds = known != knowledge::none;
    settings.learning.interference = false;
    return settings;
}

/// A fleet of workers of three speeds under gangs, wide steps and small urgent jobs. Estimates are
/// off by half, and 3 % of the jobs take seven times as long. Jobs and tasks are the same whatever
/// the decisions are.
class uneven_fleet {
public:
    struct job_kind {
        std::string queue;
        int priority;
        double per_worker_s; ///< arrivals per worker and second at load 1
        double width;
        std::int64_t cpu_milli;
        double work_ms;
        bool gang;
        double slack_factor;
        std::int64_t target_ms;
    };

    uneven_fleet(std::uint64_t seed, std::size_t workers, double load, knowledge known)
        : m_random(seed), m_engine(settings_for(known), m_counters) {
        std::vector<queue_settings> queues;
        for (const auto& kind : kinds()) {
            queue_settings queue;
            queue.name = kind.queue;
            queue.service = "service";
            queue.priority = kind.priority;
            queue.max_attempts = 3;
            queue.slack_factor = kind.slack_factor;
            queue.target_ms = kind.target_ms;
            queues.push_back(queue);
            m_arrivals.push_back(m_now + gap(kind, workers, load));
        }
        m_engine.on_queues(queues);
        for (std::size_t i = 0; i < workers; ++i) {
            worker_report report;
            report.id = "w" + std::to_string(i);
            report.service = "service";
            report.address = {"10.0.0.1", 1};
            report.capacity = {64 * cores, std::int64_t{256} * 1024, 0};
            report.start_time_ms = 1000;
            report.clock_ms = clock_ms();
            m_speeds[report.id] = worker_speeds[i % worker_speeds.size()];
            m_engine.on_worker(m_now, report);
            if (known == knowledge::oracle) {
                m_engine.observer().learnt().set_known_speed(
                    m_engine.workers().find(report.id)->slot, m_speeds[report.id]);
            }
        }
        m_engine.take_over(m_now, 10, "");
        m_workers = workers;
        m_load = load;
    }

    /// Submits jobs for this time and goes on until all have ended, for an hour at most. Those that
    /// arrive after the first quarter are counted.
    void play(common::duration time) {
        const auto begin = m_now;
        const auto end = m_now + time;
        while (m_now < end || (!m_jobs.empty() && m_now < end + std::chrono::hours(1))) {
            m_now += std::chrono::milliseconds(10);
            if (m_now < end) {
                submit_due(m_now > begin + time / 4);
            }
            end_due_runs();
            m_engine.on_changes_known(m_now, m_now);
            m_engine.on_key_seen(m_now);
            m_engine.on_time(m_now);
            respond();
            while (m_engine.next_save()) {
                m_engine.on_saved(m_now);
            }
            respond();
        }
    }

    std::vector<double> times_ms;
    std::size_t late = 0;

private:
    static const std::vector<job_kind>& kinds() {
        static const std::vector<job_kind> all{
            {"gang", 1, 0.0115, 20, 18 * cores, 5300, true, 2.2, 1200},
            {"wide", 2, 0.03, 25, 7 * cores, 2900, false, 4.0, 3000},
            {"urgent", 0, 0.275, 3, 10 * cores, 680, false, 1.5, 500}};
        return all;
    }

    static double normal(common::rng& random) {
        double sum = -6.0;
        for (int i = 0; i < 12; ++i) {
            sum += random.unit();
        }
        return sum;
    }

    common::duration gap(const job_kind& kind, std::size_t workers, double load) {
        const auto per_s = kind.per_worker_s * static_cast<double>(workers) * load;
        return std::chrono::duration_cast<common::duration>(
            std::chrono::duration<double>(m_random.exponential(1.0 / per_s)));
    }

    void submit_due(bool counted) {
        for (std::size_t k = 0; k < kinds().size(); ++k) {
            while (m_arrivals[k] <= m_now) {
                m_arrivals[k] += gap(kinds()[k], m_workers, m_load);
                submit(kinds()[k], counted);
            }
        }
    }

    void submit(const job_kind& kind, bool counted) {
        job_spec spec;
        spec.id = "job" + std::to_string(m_next_job++);
        spec.queue = kind.queue;
        step_spec step;
        step.count = static_cast<std::uint32_t>(
            std::clamp(kind.width * std::exp(0.6 * normal(m_random)), 1.0, 3.0 * kind.width));
        step.demand = {kind.cpu_milli, 1000, 0};
        auto work = kind.work_ms * std::exp(0.4 * normal(m_random));
        step.estimate_ms = static_cast<std::int64_t>(work * std::exp(0.5 * normal(m_random)));
        step.gang = kind.gang;
        spec.steps.push_back(step);
        work *= m_random.chance(0.03) ? 7.0 : 1.0;
        const auto objective = kind.slack_factor * work + static_cast<double>(kind.target_ms);
        m_jobs[spec.id] = {m_now, m_random.next(), work, objective, step.count, kind.gang, counted};
        m_engine.on_job(m_now, spec, {}, 11);
    }

    // A gang begins once all members are there and runs at the speed of the slowest.
    void begin_run(const start_order& start) {
        const auto& job = m_jobs.at(start.run.task.job);
        m_running[start.worker].push_back({start.run, "", 0});
        common::rng random(job.seed + start.run.task.index);
        const auto work = job.gang ? job.work_ms : job.work_ms * std::exp(0.2 * normal(random));
        const auto ms = work / m_speeds.at(start.worker);
        auto& members = m_gangs[{start.run.task.job, start.run.run}];
        if (!job.gang) {
            add_end(ms, {{start.worker, start.run}});
            return;
        }
        members.emplace_back(start.worker, start.run);
        if (members.size() == job.tasks) {
            double slowest = ms;
            for (const auto& placed : members) {
                slowest = std::max(slowest, job.work_ms / m_speeds.at(placed.first));
            }
            add_end(slowest, members);
        }
    }

    using member = std::pair<std::string, run_key>;
    void add_end(double after_ms, std::vector<member> runs) {
        m_ends.emplace(m_now + std::chrono::milliseconds(std::llround(after_ms)), std::move(runs));
    }

    void end_due_runs() {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            for (const auto& placed : m_ends.begin()->second) {
                const auto& worker = placed.first;
                const auto& run = placed.second;
                const auto erased = std::erase_if(
                    m_running[worker], [&run](const running_run& r) { return r.run == run; });
                if (erased > 0) {
                    m_ended[worker].push_back(
                        {++m_end_numbers[worker], run, run_end::succeeded, ""});
                }
            }
            m_ends.erase(m_ends.begin());
        }
    }

    void respond() {
        for (const auto& action : m_engine.take_actions()) {
            if (const auto* const start = std::get_if<start_order>(&action)) {
                begin_run(*start);
                m_engine.on_start_result(m_now, *start, {order_status::accepted, clock_ms()});
            } else if (const auto* const stop = std::get_if<stop_order>(&action)) {
                m_engine.on_stop_result(m_now, *stop, {order_status::accepted, clock_ms()});
                std::erase_if(m_running[stop->worker],
                              [stop](const running_run& r) { return r.run == stop->run; });
                m_ended[stop->worker].push_back(
                    {++m_end_numbers[stop->worker], stop->run, run_end::stopped, ""});
            } else if (const auto* const poll = std::get_if<poll_call>(&action)) {
                answer(*poll);
            } else if (const auto* const change = std::get_if<state_change>(&action)) {
                note_state(*change);
            }
        }
    }

    void answer(const poll_call& call) {
        poll_result result;
        result.status = order_status::accepted;
        result.clock_ms = clock_ms();
        result.start_time_ms = 1000;
        auto& ended = m_ended[call.order.worker];
        std::erase_if(ended,
                      [&call](const ended_run& r) { return r.number <= call.order.ends_saved; });
        result.running = m_running[call.order.worker];
        result.ended = ended;
        m_engine.on_poll_result(m_now, call, m_now, result);
    }

    void note_state(const state_change& change) {
        const auto found = m_jobs.find(change.job);
        if (!is_final(change.state) || found == m_jobs.end()) {
            return;
        }
        const auto job = found->second;
        m_jobs.erase(found);
        if (!job.counted) {
            return;
        }
        const auto ms = static_cast<double>(common::to_milliseconds(m_now - job.submitted_at));
        times_ms.push_back(ms);
        late += ms > job.objective_ms ? 1U : 0U;
    }

    [[nodiscard]] std::int64_t clock_ms() const { return 5000 + common::to_milliseconds(m_now); }

    struct job_info {
        common::time_point submitted_at;
        std::uint64_t seed = 0;
        double work_ms = 0;
        double objective_ms = 0;
        std::uint32_t tasks = 1;
        bool gang = false;
        bool counted = false;
    };

    common::rng m_random;
    common::counters m_counters;
    dispatcher m_engine;
    common::time_point m_now{std::chrono::seconds(100)};
    std::size_t m_workers = 0;
    double m_load = 1.0;
    std::uint64_t m_next_job = 0;
    std::vector<common::time_point> m_arrivals;
    std::map<std::string, double> m_speeds;
    std::map<std::string, job_info> m_jobs;
    std::map<std::pair<std::string, std::uint32_t>, std::vector<member>> m_gangs;
    std::multimap<common::time_point, std::vector<member>> m_ends;
    std::map<std::string, std::vector<running_run>> m_running;
    std::map<std::string, std::vector<ended_run>> m_ended;
    std::map<std::string, std::uint64_t> m_end_numbers;
};

/// Job times on workers of uneven speed, with and without knowledge of the speeds.
class uneven_workers : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "job times on workers of uneven speed with none, learnt and known speeds "
               "(workers=60, load_percent=80, seconds=60, seeds=10)";
    }

    void run(const bench_run& run) override {
        const auto workers = run.settings.number("workers", 60);
        const auto load = run.settings.number("load_percent", 80);
        const auto seconds = run.settings.number("seconds", 60);
        const auto seeds = run.settings.number("seeds", 10);
        for (const auto known : {knowledge::none, knowledge::learnt, knowledge::oracle}) {
            std::vector<double> times;
            std::size_t late = 0;
            for (std::uint64_t seed = run.seed; seed < run.seed + seeds; ++seed) {
                uneven_fleet fleet(seed, workers, static_cast<double>(load) / 100.0, known);
                fleet.play(std::chrono::seconds(seconds));
                times.insert(times.end(), fleet.times_ms.begin(), fleet.times_ms.end());
                late += fleet.late;
            }
            std::sort(times.begin(), times.end());
            double sum = 0;
            for (const auto ms : times) {
                sum += ms;
            }
            const auto jobs = static_cast<double>(times.size());
            result_row row;
            row.setting("speeds", knowledge_names.name(known));
            row.setting("workers", workers).setting("load_percent", load).setting("seeds", seeds);
            row.result("jobs", jobs);
            row.result("mean_ms", sum / jobs);
            row.result("p99_ms", times[times.size() * 99 / 100]);
            row.result("late_percent", 100.0 * static_cast<double>(late) / jobs);
            run.write(row);
        }
    }
};

const benchmark_registration registration("uneven-workers",
                                          [] { return std::make_unique<uneven_workers>(); });

} // namespace

} // namespace buckthornspar::bench
