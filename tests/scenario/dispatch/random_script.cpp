#include "core/common/rng.h"
#include "scenario/dispatch/dispatch_world.h"

#include <array>

namespace buckthornspar::scenario {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Jobs and faults begin within this time; the remaining time is for leases, take-overs and retries.
constexpr std::uint64_t busy_ms = 8'000;
constexpr common::duration end_at = seconds(120);
constexpr std::uint64_t max_fault_ms = 9'000;

class generator {
public:
    explicit generator(std::uint64_t seed) : m_rng(seed) {
        m_script.name = "random";
        m_script.seed = seed;
        m_script.end = end_at;
        m_workers = 3 + m_rng.below(4);
        m_script.setup.set("workers", std::to_string(m_workers));
    }

    script make() {
        const auto jobs = 3 + m_rng.below(8);
        for (std::uint64_t i = 0; i < jobs; ++i) {
            add_job("j" + std::to_string(i));
        }
        const auto faults = m_rng.below(6);
        for (std::uint64_t i = 0; i < faults; ++i) {
            add_fault();
        }
        if (m_rng.chance(0.3)) {
            add(time(), "shrink_worker",
                {{"worker", worker()},
                 {"for", random_duration(max_fault_ms)},
                 {"percent", std::to_string(10 + m_rng.below(80))}});
        }
        sort_steps(m_script);
        return m_script;
    }

private:
    using fields = std::map<std::string, std::string, std::less<>>;

    void add(common::duration at, const std::string& verb, fields values) {
        add_action(m_script, at, verb, std::move(values));
    }

    common::duration time() {
        return milliseconds(500 + static_cast<std::int64_t>(m_rng.below(busy_ms)));
    }

    std::string random_duration(std::uint64_t most) {
        return std::to_string(100 + m_rng.below(most)) + "ms";
    }

    std::string worker() { return "w" + std::to_string(m_rng.below(m_workers)); }

    void add_job(const std::string& id) {
        const auto at = time();
        const bool gang = m_rng.chance(0.3);
        const auto ms = 200 + m_rng.below(3000);
        add(at, "submit",
            {{"job", id},
             {"queue", m_rng.chance(0.3) ? "tickets" : "plain"},
             {"tasks", std::to_string(1 + m_rng.below(gang ? 4 : 10))},
             {"steps", std::to_string(1 + m_rng.below(3))},
             // A gang fits on one worker, because only one may be granted.
             {"cores", std::to_string(1 + m_rng.below(8))},
             {"ms", std::to_string(ms)},
             {"true_ms", std::to_string(ms / 2 + m_rng.below(ms))},
             {"gang", gang ? "true" : "false"},
             // The first task crashes every worker that starts it.
             {"deadly", m_rng.chance(0.1) ? "true" : "false"},
             {"checkpointing", m_rng.chance(0.5) ? "true" : "false"}});
        if (m_rng.chance(0.2)) {
            add(at + milliseconds(static_cast<std::int64_t>(m_rng.below(5000))), "cancel",
                {{"job", id}});
        }
    }

    void add_fault() {
        static constexpr std::array owner_faults{"kill_owner", "stop_owner", "freeze_owner",
                                                 "stop_store"};
        static constexpr std::array worker_faults{"crash_worker", "cut_worker", "delay_orders",
                                                  "lose_answers", "lose_entry", "fail_runs",
                                                  "hang_runs",    "cut_worker"};
        if (m_rng.chance(0.4)) {
            add(time(), owner_faults.at(m_rng.below(owner_faults.size())),
                {{"for", random_duration(max_fault_ms)}});
            return;
        }
        add(time(), worker_faults.at(m_rng.below(worker_faults.size())),
            {{"worker", worker()},
             {"for", random_duration(max_fault_ms)},
             {"by", random_duration(max_fault_ms)},
             {"store", m_rng.chance(0.5) ? "true" : "false"}});
    }

    common::rng m_rng;
    script m_script;
    std::uint64_t m_workers = 0;
};

} // namespace

script random_dispatch_script(std::uint64_t seed) {
    return generator(seed).make();
}

} // namespace buckthornspar::scenario
