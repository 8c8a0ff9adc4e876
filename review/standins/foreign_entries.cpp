// Another writer puts entries under servers/ that name no runner to use: their service is in no
// configuration, and nothing listens at their addresses. The runners hold, so accepted jobs must
// run.

#include "deployment.h"

using namespace review;

namespace {

constexpr std::size_t runners = 4;
constexpr unsigned foreign_entries = 4;
constexpr std::int64_t wait_ms = 40'000;

void put_foreign_entry(deployment& d, unsigned number) {
    const auto id = "i-9" + std::to_string(100 + number);
    d.platform.put("servers/" + id,
                   R"({"service":"telemetry","address":"127.0.0.1:)" + std::to_string(free_port()) +
                       R"(","zone":"z1","version":"v1","slots":8,"state":"ready",)"
                       R"("cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
                       R"("labels":["a","r1-1"],"clock_ms":1000,"born":)" +
                       std::to_string(unix_ms()) + R"(,"seq":1})");
    d.out.write("another writer puts servers/" + id + " of the service 'telemetry'");
}

} // namespace

int main() {
    deployment d(3, runners);
    const queue jobs{"r-plans", "jobs.example", "/plans/", 3};
    d.configure(7, {jobs});
    d.start();
    sleep_ms(3000);
    if (with_trouble()) {
        for (unsigned i = 0; i < foreign_entries; ++i) {
            put_foreign_entry(d, i);
        }
    }
    sleep_ms(4000);
    std::vector<std::string> ids;
    for (unsigned i = 1; i <= 4; ++i) {
        ids.push_back(job_id(i));
        const auto status = d.submit(
            jobs, ids.back(),
            R"({"spec":"work_ms=1000","steps":[{"count":2,"cpu":2000,"mem_mb":2000,"estimate_ms":1000}]})");
        if (status != 200) {
            cannot_run(d, "a job was not accepted");
        }
    }
    std::size_t completed = 0;
    const auto until = now_ms() + wait_ms;
    while (now_ms() < until && completed < ids.size()) {
        sleep_ms(1000);
        completed = 0;
        for (const auto& id : ids) {
            completed += d.state_of(jobs, id) == "completed" ? 1U : 0U;
        }
    }
    return verdict(d, completed < ids.size(),
                   std::to_string(completed) + " of " + std::to_string(ids.size()) +
                       " jobs completed, " + std::to_string(d.log.starts().size()) +
                       " tasks begun on " + std::to_string(runners) + " idle runners");
}
