// A runner crashes shortly after it has begun a task, and so does the next one that begins it. No
// run of the task ends `failed`, so the job must not be shown as `failed`.

#include "deployment.h"

using namespace review;

namespace {

constexpr std::int64_t crash_after_ms = 700;
constexpr std::int64_t down_ms = 4500;
constexpr std::size_t crashes = 2;

} // namespace

int main() {
    deployment d(3, 8);
    const queue jobs{"r-charge", "jobs.example", "/charge/", 3};
    d.configure(7, {jobs});
    d.start();
    sleep_ms(1500);
    const auto id = job_id(1);
    const auto status = d.submit(
        jobs, id,
        R"({"spec":"work_ms=6200","steps":[{"count":1,"cpu":8000,"mem_mb":8000,"estimate_ms":6200}]})");
    if (status != 200) {
        cannot_run(d, "the job was not accepted");
    }
    std::size_t crashed = 0;
    runner* down = nullptr;
    std::int64_t down_until = 0;
    std::string state;
    const auto until = now_ms() + 90'000;
    while (now_ms() < until) {
        if (down != nullptr && now_ms() >= down_until) {
            down->restart();
            down = nullptr;
        }
        const auto starts = d.log.starts();
        if (with_trouble() && crashed < crashes && down == nullptr && starts.size() > crashed &&
            now_ms() >= starts.back().at + crash_after_ms) {
            for (const auto& r : d.runners) {
                if (r->id() == starts.back().runner) {
                    r->crash();
                    down = r.get();
                    down_until = now_ms() + down_ms;
                    ++crashed;
                }
            }
        }
        state = d.state_of(jobs, id);
        if (state == "completed" || state == "failed" || state == "cancelled") {
            break;
        }
        sleep_ms(250);
    }
    const auto failed_ends = d.log.ends(id, "failed");
    if (with_trouble() && crashed < crashes && state != "failed") {
        cannot_run(d, "the task was not begun again");
    }
    return verdict(d, state != "completed",
                   "the job is shown as '" + state +
                       "'; runs that ended failed: " + std::to_string(failed_ends) +
                       ", runner crashes: " + std::to_string(crashed));
}
