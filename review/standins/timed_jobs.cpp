// Clients hand in eight timed jobs, each of which runs every minute for sixty days. The platform
// kills a process that exceeds memory_mb and restarts it, as everywhere. The processes must stay,
// and the other accepted jobs must run.

#include "deployment.h"

#include <map>

using namespace review;

namespace {

constexpr std::size_t memory_mb = 260;
constexpr std::int64_t restart_ms = 500;
constexpr std::int64_t watch_ms = 45'000;
constexpr unsigned timed_jobs = 8;
constexpr int every_minute_for_sixty_days = 86'400;
constexpr int every_minute_for_an_hour = 60;
constexpr std::int64_t minute_ms = 60'000;

// Kills processes over the limit and starts them again.
class memory_limit {
public:
    explicit memory_limit(deployment& d) : m_deployment(d) {}

    void check() {
        for (const auto& n : m_deployment.nodes) {
            auto& due = m_restarts[n.get()];
            if (due != 0) {
                if (now_ms() >= due) {
                    due = 0;
                    n->start();
                }
                continue;
            }
            if (!n->running()) {
                m_deployment.out.write("node " + n->id() + " has ended by itself");
            } else if (const auto used = n->resident_mb(); used > memory_mb) {
                m_deployment.out.write("node " + n->id() + " uses " + std::to_string(used) +
                                       " MB, limit " + std::to_string(memory_mb));
                n->kill();
            } else {
                continue;
            }
            ++m_ends[n.get()];
            due = now_ms() + restart_ms;
        }
    }

    /// Machines on which processes have ended three times.
    [[nodiscard]] std::size_t machines_with_three_ends() const {
        std::size_t machines = 0;
        for (const auto& entry : m_ends) {
            machines += entry.second >= 3 ? 1U : 0U;
        }
        return machines;
    }

private:
    deployment& m_deployment;
    std::map<node*, std::int64_t> m_restarts;
    std::map<node*, unsigned> m_ends;
};

} // namespace

int main() {
    deployment d(3, 8);
    const queue jobs{"r-rota", "jobs.example", "/rota/", 3};
    d.configure(7, {jobs});
    d.start();
    sleep_ms(1500);
    memory_limit limit(d);
    const std::string plain =
        R"({"spec":"work_ms=3000","steps":[{"count":2,"cpu":4000,"mem_mb":4000,"estimate_ms":3000},{"count":2,"cpu":4000,"mem_mb":4000,"estimate_ms":3000,"after":[0]}]})";
    std::vector<std::string> ids;
    for (unsigned i = 1; i <= 4; ++i) {
        ids.push_back(job_id(i));
        if (d.submit(jobs, ids.back(), plain) != 200) {
            cannot_run(d, "a job was not accepted");
        }
    }
    const auto repeats = with_trouble() ? every_minute_for_sixty_days : every_minute_for_an_hour;
    std::thread client([&] {
        for (unsigned i = 0; i < timed_jobs; ++i) {
            d.submit(
                jobs, job_id(90 + i),
                R"({"spec":"work_ms=200","repeats":)" + std::to_string(repeats) +
                    R"(,"first_ms":)" + std::to_string(unix_ms() + minute_ms) +
                    R"(,"interval_ms":60000,"steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":200}]})");
        }
    });
    const auto until = now_ms() + watch_ms;
    while (now_ms() < until) {
        limit.check();
        sleep_ms(10);
    }
    client.join();
    std::size_t completed = 0;
    for (const auto& id : ids) {
        completed += d.state_of(jobs, id) == "completed" ? 1U : 0U;
    }
    const auto machines = limit.machines_with_three_ends();
    return verdict(d, machines >= 2 || completed < ids.size(),
                   std::to_string(machines) + " of 3 machines whose processes ended three times; " +
                       std::to_string(completed) + " of " + std::to_string(ids.size()) +
                       " plain jobs completed");
}
