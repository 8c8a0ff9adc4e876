#include "benchmark.h"
#include "core/dispatch/dispatcher.h"

#include <malloc.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::bench {

namespace {

using namespace dispatch;

constexpr std::int64_t cores = 1000;
constexpr std::uint32_t worker_cores = 32;
constexpr std::int64_t unix_now_ms = 1'800'000'000'000;
constexpr std::int64_t minute_ms = 60'000;

// Bytes that the process has allocated and not released.
double allocated_bytes() {
    const auto memory = ::mallinfo2();
    return static_cast<double>(memory.uordblks) + static_cast<double>(memory.hblkhd);
}

/// What the jobs of a measurement look like.
struct job_shape {
    std::uint32_t tasks = 1;
    std::uint32_t occurrences = 0;
    bool due = false;
    /// Number of tasks that the workers hold together.
    std::uint32_t room = 0;
    std::size_t payload_bytes = 200;
};

/// An owner whose workers accept every start and end no run.
class loaded_owner {
public:
    explicit loaded_owner(std::uint32_t room) : m_engine({}, m_counters) {
        queue_settings queue;
        queue.name = "queue";
        queue.service = "service";
        queue.max_attempts = 3;
        m_engine.on_queues({queue});
        m_engine.on_wall_clock(m_now, unix_now_ms);
        const auto workers = (room + worker_cores - 1) / worker_cores;
        for (std::uint32_t i = 0; i < workers; ++i) {
            worker_report report;
            report.id = "w" + std::to_string(i);
            report.service = "service";
            report.address = {"10.0.0.1", 1};
            report.capacity = {worker_cores * cores, std::int64_t{128} * 1024, 0};
            report.start_time_ms = 1000;
            report.clock_ms = 5000;
            m_engine.on_worker(m_now, report);
        }
        m_engine.take_over(m_now, 10, "");
        settle();
    }

    void submit(std::uint64_t number, const job_shape& shape) {
        job_spec spec;
        spec.id = std::to_string(1'000'000'000'000'000ULL + number);
        spec.queue = "queue";
        spec.payload.assign(shape.payload_bytes, 'p');
        step_spec step;
        step.count = shape.tasks;
        step.demand = {cores, 1000, 0};
        step.estimate_ms = 1000;
        spec.steps.push_back(step);
        if (shape.occurrences > 0) {
            const auto first =
                shape.due ? unix_now_ms - shape.occurrences * minute_ms : unix_now_ms + minute_ms;
            spec.schedule = {shape.occurrences, first, minute_ms};
        }
        m_engine.on_job(m_now, spec, {}, 11);
    }

    void settle() {
        constexpr int rounds = 40;
        for (int i = 0; i < rounds; ++i) {
            m_now += std::chrono::milliseconds(50);
            m_engine.on_changes_known(m_now, m_now);
            m_engine.on_time(m_now);
            respond();
            while (m_engine.next_save()) {
                m_engine.on_saved(m_now);
            }
        }
    }

    [[nodiscard]] const dispatcher& engine() const { return m_engine; }
    [[nodiscard]] std::int64_t running() { return m_counters.get("starts_total").value(); }

private:
    void respond() {
        for (const auto& action : m_engine.take_actions()) {
            if (const auto* const start = std::get_if<start_order>(&action)) {
                m_engine.on_start_result(m_now, *start, {order_status::accepted, clock_ms()});
            } else if (const auto* const poll = std::get_if<poll_call>(&action)) {
                poll_result result;
                result.status = order_status::accepted;
                // A list of the time before the starts says nothing of their runs.
                result.clock_ms = 5000;
                result.start_time_ms = 1000;
                m_engine.on_poll_result(m_now, *poll, m_now, result);
            }
        }
    }

    [[nodiscard]] std::int64_t clock_ms() const { return 5000 + common::to_milliseconds(m_now); }

    common::counters m_counters;
    dispatcher m_engine;
    common::time_point m_now{std::chrono::seconds(100)};
};

/// Memory of the owner's decision logic against accepted jobs, their occurrences and tasks.
class owner_memory : public benchmark {
public:
    [[nodiscard]] std::string summary() const override {
        return "memory of an owner against jobs, occurrences and tasks (jobs=100+10000, "
               "tasks=1+19000, occurrences=0+86400, room=32+3200, payload=200)";
    }

    void run(const bench_run& run) override {
        const auto& settings = run.settings;
        for (const auto& room : settings.list("room", "32+3200")) {
            for (const auto& jobs : settings.list("jobs", "100+10000")) {
                for (const auto& tasks : settings.list("tasks", "1+19000")) {
                    for (const auto& occurrences : settings.list("occurrences", "0+86400")) {
                        for (const bool due : {false, true}) {
                            job_shape shape;
                            shape.room = to_number(room);
                            shape.tasks = to_number(tasks);
                            shape.occurrences = to_number(occurrences);
                            shape.due = due;
                            shape.payload_bytes = settings.number("payload", 200);
                            if (shape.occurrences > 0 || due) {
                                measure(run, to_number(jobs), shape);
                            }
                        }
                    }
                }
            }
        }
    }

private:
    static std::uint32_t to_number(const std::string& text) {
        return static_cast<std::uint32_t>(std::stoul(text));
    }

    static void measure(const bench_run& run, std::uint32_t jobs, const job_shape& shape) {
        loaded_owner owner(shape.room);
        const auto before = allocated_bytes();
        for (std::uint32_t i = 0; i < jobs; ++i) {
            owner.submit(i, shape);
        }
        owner.settle();
        constexpr double mb = 1024.0 * 1024.0;
        const auto used = allocated_bytes() - before;
        result_row row;
        row.setting("jobs", jobs).setting("tasks", shape.tasks);
        row.setting("occurrences", shape.occurrences).setting("due", shape.due ? "yes" : "no");
        row.setting("room", shape.room);
        row.result("memory_mb", used / mb);
        row.result("bytes_per_job", used / jobs);
        row.result("counted_mb", static_cast<double>(owner.engine().job_memory()) / mb);
        row.result("runs", static_cast<double>(owner.running()));
        run.write(row);
    }
};

const benchmark_registration registration("owner-memory",
                                          [] { return std::make_unique<owner_memory>(); });

} // namespace

} // namespace buckthornspar::bench
