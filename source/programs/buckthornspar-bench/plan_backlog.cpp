#include "benchmark.h"
#include "core/common/rng.h"
#include "core/dispatch/dispatcher.h"
#include "processor_time.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::bench {

namespace {

using namespace dispatch;

constexpr std::int64_t cores = 1000;
constexpr std::int64_t worker_cores = 32;

/// An owner with full workers and a backlog. Each round, one run ends and as many jobs arrive as
/// start.
class overloaded_owner {
public:
    /// With uneven workers the speeds are known from the start.
    overloaded_owner(std::uint64_t seed, std::size_t workers, std::size_t jobs,
                     std::size_t customer_count, std::int64_t cap_cores, bool uneven)
        : m_random(seed),
          m_engine({}, m_counters),
          m_customer_count(customer_count),
          m_cap_cores(cap_cores) {
        m_engine.on_customers(make_customers());
        m_engine.on_queues({make_queue("fill", 1, false), make_queue("urgent", 0, true),
                            make_queue("gang", 1, true), make_queue("bulk", 2, true)});
        m_engine.set_requesting_nodes(32);
        for (std::size_t i = 0; i < workers; ++i) {
            m_engine.on_worker(m_now, describe("w" + std::to_string(i)));
            if (uneven) {
                constexpr std::array speeds{0.6, 1.0, 1.6};
                m_engine.observer().learnt().set_known_speed(static_cast<worker_slot>(i),
                                                             speeds[i % speeds.size()]);
            }
        }
        m_engine.take_over(m_now, 10, "");
        save();
        submit_filler(workers);
        settle();
        for (std::size_t i = 0; i < jobs; ++i) {
            submit_waiting();
        }
        settle();
    }

    /// Records the processor time of each plan in microseconds.
    void measure(std::size_t rounds, std::vector<double>& plans) {
        for (std::size_t i = 0; i < rounds; ++i) {
            end_one_run();
            respond();
            save();
            m_now += std::chrono::milliseconds(10);
            m_engine.on_changes_known(m_now, m_now);
            const auto begin = processor_time_us();
            m_engine.on_time(m_now);
            plans.push_back(processor_time_us() - begin);
            const auto started = respond();
            for (std::size_t s = 0; s < started; ++s) {
                submit_waiting();
            }
        }
    }

    [[nodiscard]] std::int64_t count(std::string_view name) { return m_counters.get(name).value(); }

private:
    static queue_settings make_queue(const std::string& name, int priority, bool needs_tickets) {
        queue_settings queue;
        queue.name = name;
        queue.service = "service";
        queue.priority = priority;
        queue.max_attempts = 3;
        queue.slack_factor = 2.0;
        queue.target_ms = 1000;
        queue.needs_tickets = needs_tickets;
        queue.ticket_base_ms = 10;
        queue.ticket_per_worker_ms = 0.1;
        queue.ticket_valid_ms = 2500;
        return queue;
    }

    [[nodiscard]] std::vector<customers::customer_settings> make_customers() const {
        std::vector<customers::customer_settings> result(m_customer_count);
        for (std::size_t i = 0; i < result.size(); ++i) {
            result[i].name = customer_name(i);
            result[i].cap = {m_cap_cores * cores, 0, 0};
        }
        return result;
    }

    static worker_report describe(const std::string& id) {
        worker_report report;
        report.id = id;
        report.service = "service";
        report.address = {"10.0.0.1", 1};
        report.capacity = {worker_cores * cores, std::int64_t{128} * 1024, 0};
        report.start_time_ms = 1000;
        report.clock_ms = 5000;
        return report;
    }

    static std::string customer_name(std::size_t number) {
        return "customer" + std::to_string(number);
    }

    void submit(const std::string& queue, std::uint32_t tasks, std::int64_t cpu_milli, bool gang) {
        job_spec spec;
        spec.id = "job" + std::to_string(m_next_job++);
        spec.queue = queue;
        if (m_customer_count > 0) {
            // A tenth of the customers sends half of the jobs.
            const auto some = m_next_job % 2 == 0 ? std::max<std::size_t>(1, m_customer_count / 10)
                                                  : m_customer_count;
            spec.customer = customer_name(m_next_job % some);
        }
        step_spec step;
        step.count = tasks;
        step.demand = {cpu_milli, 1000, 0};
        step.estimate_ms = 800;
        step.gang = gang;
        step.checkpointing = !gang;
        spec.steps.push_back(step);
        m_engine.on_job(m_now, spec, {}, 11);
    }

    void submit_filler(std::size_t workers) {
        constexpr std::uint32_t runs_per_worker = 6;
        submit("fill", static_cast<std::uint32_t>(workers) * runs_per_worker, 5 * cores, false);
    }

    void submit_waiting() {
        const auto draw = m_random.unit();
        if (draw < 0.9) {
            submit("urgent", 3, static_cast<std::int64_t>(3 + m_random.below(5)) * cores,
                   m_random.chance(0.3));
        } else if (draw < 0.95) {
            submit("gang", 20, 9 * cores, true);
        } else {
            submit("bulk", 25, 4 * cores, false);
        }
    }

    void settle() {
        constexpr int rounds = 60;
        for (int i = 0; i < rounds; ++i) {
            m_now += std::chrono::milliseconds(10);
            m_engine.on_changes_known(m_now, m_now);
            m_engine.on_time(m_now);
            respond();
            save();
        }
    }

    void end_one_run() {
        const auto position = std::next(
            m_running.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_running.size())));
        if (position->second.empty()) {
            return;
        }
        auto& ended = m_ended[position->first];
        ended.push_back({++m_end_numbers[position->first], position->second.back().run,
                         run_end::succeeded, ""});
        position->second.pop_back();
    }

    std::size_t respond() {
        std::size_t started = 0;
        for (const auto& action : m_engine.take_actions()) {
            if (const auto* const start = std::get_if<start_order>(&action)) {
                m_running[start->worker].push_back({start->run, "", 0});
                m_engine.on_start_result(m_now, *start, {order_status::accepted, clock_ms()});
                ++started;
            } else if (const auto* const stop = std::get_if<stop_order>(&action)) {
                m_engine.on_stop_result(m_now, *stop, {order_status::accepted, clock_ms()});
                std::erase_if(m_running[stop->worker],
                              [stop](const running_run& item) { return item.run == stop->run; });
                m_ended[stop->worker].push_back(
                    {++m_end_numbers[stop->worker], stop->run, run_end::stopped, ""});
            } else if (const auto* const call = std::get_if<advice_call>(&action)) {
                m_engine.on_advice_result(m_now, call->id, grant(*call));
            } else if (const auto* const poll = std::get_if<poll_call>(&action)) {
                m_engine.on_poll_result(m_now, *poll, m_now, list(*poll));
            }
        }
        return started;
    }

    advice_result grant(const advice_call& call) {
        advice_result result;
        result.answered = true;
        for (const auto& worker : call.request.workers) {
            if (m_random.chance(0.6)) {
                result.granted.push_back({worker, "ticket"});
            }
        }
        return result;
    }

    poll_result list(const poll_call& call) {
        poll_result result;
        result.status = order_status::accepted;
        result.clock_ms = clock_ms();
        result.start_time_ms = 1000;
        auto& ended = m_ended[call.order.worker];
        std::erase_if(
            ended, [&call](const ended_run& item) { return item.number <= call.order.ends_saved; });
        result.running = m_running[call.order.worker];
        result.ended = ended;
        return result;
    }

    void save() {
        while (m_engine.next_save()) {
            m_engine.on_saved(m_now);
        }
    }

    [[nodiscard]] std::int64_t clock_ms() const { return 5000 + common::to_milliseconds(m_now); }

    common::rng m_random;
    common::counters m_counters;
    dispatcher m_engine;
    std::size_t m_customer_count;
    std::int64_t m_cap_cores;
    common::time_point m_now{std::chrono::seconds(100)};
    std::uint64_t m_next_job = 0;
    std::map<std::string, std::vector<running_run>> m_running;
    std::map<std::string, std::vector<ended_run>> m_ended;
    std::map<std::string, std::uint64_t> m_end_numbers;
};

/// Processor time of the owner's plans while jobs wait and the workers are full.
class plan_backlog : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "processor time of the owner's plans with a backlog (workers=540, "
               "jobs=100+1000+5000, customers=0, cap=1000000, rounds=200, uneven=0)";
    }

    void run(const bench_run& run) override {
        const auto workers = run.settings.number("workers", 540);
        const auto rounds = run.settings.number("rounds", 200);
        const auto customer_count = run.settings.number("customers", 0);
        // Cores of each customer. The default leaves the decisions as they are without customers.
        const auto cap = run.settings.number("cap", 1'000'000);
        const auto uneven = run.settings.number("uneven", 0) != 0;
        for (const auto& jobs : run.settings.list("jobs", "100+1000+5000")) {
            overloaded_owner owner(run.seed, workers, std::stoul(jobs), customer_count,
                                   static_cast<std::int64_t>(cap), uneven);
            const auto plans = owner.count("plans_total");
            const auto steps = owner.count("plan_steps_examined_total");
            const auto candidates = owner.count("plan_candidates_examined_total");
            const auto starts = owner.count("starts_total");
            std::vector<double> times;
            owner.measure(rounds, times);
            const auto planned = static_cast<double>(owner.count("plans_total") - plans);
            const auto per_plan = [planned](std::int64_t amount) {
                return static_cast<double>(amount) / planned;
            };
            double sum = 0;
            for (const auto time : times) {
                sum += time;
            }
            result_row row;
            row.setting("workers", workers).setting("jobs", jobs);
            row.setting("customers", customer_count).setting("cap", cap);
            row.result("plan_mean_us", sum / static_cast<double>(times.size()));
            row.result("plan_max_us", *std::max_element(times.begin(), times.end()));
            row.result("steps", per_plan(owner.count("plan_steps_examined_total") - steps));
            row.result("candidates",
                       per_plan(owner.count("plan_candidates_examined_total") - candidates));
            row.result("starts", per_plan(owner.count("starts_total") - starts));
            run.write(row);
        }
    }
};

const benchmark_registration registration("plan-backlog",
                                          [] { return std::make_unique<plan_backlog>(); });

} // namespace

} // namespace buckthornspar::bench
