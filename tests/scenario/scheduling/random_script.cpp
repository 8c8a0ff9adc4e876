#include "core/common/rng.h"
#include "scenario/scheduling/scheduling_world.h"

#include <array>
#include <string>
#include <vector>

namespace buckthornspar::scenario {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Job and fault steps begin within the first 10 s, and all faults end after 14 s. The remaining
// time is for take-over, lease expiry and repeated calls.
constexpr std::uint64_t fault_window_ms = 10'000;
constexpr common::duration end_at = seconds(55);

class generator {
public:
    explicit generator(std::uint64_t seed) : m_rng(seed) {
        m_script.name = "random";
        m_script.seed = seed;
        m_script.end = end_at;
        m_script.setup.set("workers", std::to_string(2 + m_rng.below(4)));
        m_script.setup.set("schedulers", std::to_string(2 + m_rng.below(2)));
        // A setup value and not steps, so that faults still end when a failing script is shortened.
        m_script.setup.set("heal_at", "14s");
        m_script.setup.set("gone_after", "12s");
        m_script.setup.set("quarantine", "5s");
        m_script.setup.set("slots", std::to_string(8 + m_rng.below(24)));
    }

    script make() {
        const std::uint64_t jobs = 1 + m_rng.below(6);
        for (std::uint64_t i = 0; i < jobs; ++i) {
            add_job("j" + std::to_string(i));
        }
        const std::uint64_t faults = 1 + m_rng.below(5);
        for (std::uint64_t i = 0; i < faults; ++i) {
            add_fault();
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
        return milliseconds(static_cast<std::int64_t>(m_rng.below(fault_window_ms)));
    }

    std::string flag(double probability) { return m_rng.chance(probability) ? "true" : "false"; }

    std::string worker() {
        return "w" + std::to_string(1 + m_rng.below(static_cast<std::uint64_t>(
                                            m_script.setup.number("workers"))));
    }

    std::string scheduler() {
        if (m_rng.chance(0.6)) {
            return "owner";
        }
        return "s" + std::to_string(1 + m_rng.below(static_cast<std::uint64_t>(
                                            m_script.setup.number("schedulers"))));
    }

    void add_job(const std::string& id) {
        static constexpr std::array<const char*, 4> kinds{"batch", "batch", "service",
                                                          "all_at_once"};
        static constexpr std::array<const char*, 3> classes{"urgent", "normal", "bulk"};
        const auto at = time();
        const std::string kind = kinds.at(m_rng.below(kinds.size()));
        // Services do not end; they leave resources for one task of every other job.
        const std::uint64_t tasks = kind == "service" ? 2 : 4;
        const std::uint64_t cpu = kind == "service" ? 250
                                  : kind == "batch" ? 500 * (1 + m_rng.below(4))
                                                    : 500 * (1 + m_rng.below(2));
        // A failing task is run five times, so its runs are shorter.
        const bool fails = kind != "service" && m_rng.chance(0.1);
        const std::uint64_t run_ms = kind == "service" ? 0 : 100 + m_rng.below(fails ? 1000 : 8000);
        add(at, "submit",
            {{"job", id},
             {"kind", kind},
             {"class", classes.at(m_rng.below(classes.size()))},
             {"idempotent", flag(kind == "service" ? 1 : 0.6)},
             {"tasks", std::to_string(1 + m_rng.below(tasks))},
             {"cpu", std::to_string(cpu)},
             {"run", std::to_string(run_ms) + "ms"},
             {"fail", fails ? "true" : "false"},
             {"copies", std::to_string(1 + m_rng.below(2))},
             {"patience", "40s"}});
        if (m_rng.chance(0.3)) {
            add(at + time() / 2, "cancel", {{"job", id}});
        }
    }

    void add_fault() {
        const auto at = time();
        switch (m_rng.below(12)) {
        case 0:
            add(at, "crash", {{"scheduler", scheduler()}});
            break;
        case 1:
        case 2:
            add(at, "pause", {{"scheduler", scheduler()}});
            if (m_rng.chance(0.7)) {
                add(at + time(), "resume", {});
            }
            break;
        case 3:
            add(at, "store",
                {{"down", flag(0.5)},
                 {"lose_answers", flag(0.5)},
                 {"delay", std::to_string(m_rng.below(900)) + "ms"}});
            if (m_rng.chance(0.5)) {
                add(at + time(), "store", {});
            }
            break;
        case 4:
            add(at, "network",
                {{"loss", std::to_string(m_rng.below(200))},
                 {"duplicate", std::to_string(m_rng.below(300))},
                 {"slow", std::to_string(m_rng.below(100))}});
            break;
        case 5:
            add(at, "worker", {{"worker", worker()}, {"silent", "true"}});
            break;
        case 6:
            add(at, "worker", {{"worker", worker()}, {"lose_answers", "true"}});
            break;
        case 7:
            add(at, "worker", {{"worker", worker()}, {"fail_every_task", "true"}});
            break;
        case 8:
            add(at, "restart_worker", {{"worker", worker()}});
            break;
        case 9:
            add(at, "cut", {{"from", scheduler()}, {"to", worker()}, {"both", flag(0.5)}});
            break;
        case 10:
            add(at, "cut", {{"from", scheduler()}, {"to", "s1,s2,s3"}, {"both", flag(0.5)}});
            break;
        default:
            add(at, "drain", {{"scheduler", scheduler()}});
            break;
        }
    }

    common::rng m_rng;
    script m_script;
};

/// Each partition lasts long enough for a claim (3 s) and often for the lapse of leases (6 s).
class partition_generator {
public:
    explicit partition_generator(std::uint64_t seed) : m_rng(seed) {
        m_script.name = "random partitions";
        m_script.seed = seed;
        m_script.end = seconds(100);
        m_workers = 3 + m_rng.below(4);
        m_schedulers = 2 + m_rng.below(2);
        m_script.setup.set("workers", std::to_string(m_workers));
        m_script.setup.set("schedulers", std::to_string(m_schedulers));
        m_script.setup.set("heal_at", "40s");
        m_script.setup.set("gone_after", "12s");
        m_script.setup.set("quarantine", "5s");
    }

    script make() {
        const std::uint64_t jobs = 1 + m_rng.below(4);
        for (std::uint64_t i = 0; i < jobs; ++i) {
            add_job("j" + std::to_string(i));
        }
        const std::uint64_t partitions = 1 + m_rng.below(3);
        auto at = time(4'000, 4'000);
        for (std::uint64_t i = 0; i < partitions; ++i) {
            add_partition(at);
            at += time(3'000, 9'000);
        }
        if (m_rng.chance(0.5)) {
            add(at, "heal", {});
        }
        const std::uint64_t faults = m_rng.below(4);
        for (std::uint64_t i = 0; i < faults; ++i) {
            add_fault();
        }
        sort_steps(m_script);
        return m_script;
    }

private:
    using fields = std::map<std::string, std::string, std::less<>>;

    void add(common::duration at, const std::string& verb, fields values) {
        add_action(m_script, at, verb, std::move(values));
    }

    common::duration time(std::uint64_t from_ms, std::uint64_t length_ms) {
        return milliseconds(static_cast<std::int64_t>(from_ms + m_rng.below(length_ms)));
    }

    std::string worker() { return "w" + std::to_string(1 + m_rng.below(m_workers)); }
    std::string scheduler() { return "s" + std::to_string(1 + m_rng.below(m_schedulers)); }

    void add_job(const std::string& id) {
        const bool gang = m_rng.chance(0.3);
        add(time(3'500, 9'000), "submit",
            {{"job", id},
             {"kind", gang ? "all_at_once" : "batch"},
             {"idempotent", m_rng.chance(0.8) ? "true" : "false"},
             {"tasks", std::to_string(1 + m_rng.below(4))},
             {"cpu", std::to_string(500 * (1 + m_rng.below(gang ? 2 : 4)))},
             {"run", std::to_string(1'000 + m_rng.below(20'000)) + "ms"},
             {"patience", "60s"}});
    }

    /// Replaces the previous partition.
    void add_partition(common::duration at) {
        std::vector<std::string> first;
        std::string second;
        const auto assign = [&](const std::string& name, double probability) {
            if (m_rng.chance(probability)) {
                first.push_back(name);
            } else {
                second += (second.empty() ? "" : ",") + name;
            }
        };
        const double share = 0.3 + 0.1 * static_cast<double>(m_rng.below(5));
        for (std::uint64_t i = 1; i <= m_schedulers; ++i) {
            assign("s" + std::to_string(i), 0.5);
        }
        for (std::uint64_t i = 1; i <= m_workers; ++i) {
            assign("w" + std::to_string(i), share);
        }
        add(at, "heal", {});
        if (second.empty()) {
            return;
        }
        for (const auto& name : first) {
            add(at, "cut", {{"from", name}, {"to", second}, {"both", "true"}});
            if (name.front() == 's') {
                add(at, "store",
                    {{"scheduler", name}, {"down", m_rng.chance(0.3) ? "true" : "false"}});
            }
        }
    }

    void add_fault() {
        const auto at = time(5'000, 25'000);
        switch (m_rng.below(5)) {
        case 0:
            add(at, "crash", {{"scheduler", scheduler()}});
            add(at + time(500, 4'000), "start", {{"scheduler", scheduler()}});
            break;
        case 1:
            add(at, "worker", {{"worker", worker()}, {"silent", "true"}});
            break;
        case 2:
            add(at, "worker", {{"worker", worker()}, {"lose_answers", "true"}});
            break;
        case 3:
            add(at, "worker", {{"worker", worker()}, {"fail_every_task", "true"}});
            break;
        default:
            add(at, "pause", {{"scheduler", scheduler()}});
            add(at + time(1'000, 8'000), "resume", {});
            break;
        }
    }

    common::rng m_rng;
    script m_script;
    std::uint64_t m_workers = 0;
    std::uint64_t m_schedulers = 0;
};

} // namespace

script random_partition_script(std::uint64_t seed) {
    return partition_generator(seed).make();
}

script random_scheduling_script(std::uint64_t seed) {
    return generator(seed).make();
}

} // namespace buckthornspar::scenario
