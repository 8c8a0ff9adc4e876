// A start order is held up on its way; its runner crashes, and is up again under its id. The task
// is started elsewhere meanwhile. Then the order arrives: the task must not run twice.

#include "deployment.h"

#include <map>

using namespace review;

namespace {

constexpr std::int64_t crash_after_ms = 600;
constexpr std::int64_t down_ms = 5000;
constexpr std::int64_t late_ms = 8000;
constexpr std::int64_t life_before_ms = 8000;
constexpr std::int64_t limit_ms = 45'000;

} // namespace

int main() {
    deployment d(3, 8);
    const queue jobs{"r-valves", "jobs.example", "/valves/", 3};
    d.configure(7, {jobs});
    d.start();
    while (now_ms() < life_before_ms) {
        sleep_ms(50);
    }
    if (with_trouble()) {
        for (const auto& r : d.runners) {
            r->hold_up_next_start();
        }
    }
    const auto id = job_id(1);
    if (d.submit(
            jobs, id,
            R"({"spec":"work_ms=6200","steps":[{"count":1,"cpu":8000,"mem_mb":8000,"estimate_ms":6200}]})") !=
        200) {
        cannot_run(d, "the job was not accepted");
    }
    const auto submitted_at = now_ms();
    runner* target = nullptr;
    bool delivered = false;
    bool down = false;
    std::int64_t held_at = 0;
    std::int64_t crashed_at = 0;
    std::size_t most_at_once = 0;
    std::string state;
    std::int64_t next_look = 0;
    const auto until = now_ms() + limit_ms;
    while (now_ms() < until) {
        const auto now = now_ms();
        if (target == nullptr && with_trouble()) {
            for (const auto& r : d.runners) {
                if (r->has_held_up_order()) {
                    target = r.get();
                    held_at = now;
                    // Only this order is late.
                    for (const auto& other : d.runners) {
                        other->let_starts_pass();
                    }
                }
            }
            if (target == nullptr && now > submitted_at + 5000) {
                cannot_run(d, "no start was sent");
            }
        } else if (target != nullptr && crashed_at == 0 && now >= held_at + crash_after_ms) {
            target->crash();
            crashed_at = now;
            down = true;
        } else if (down && now >= crashed_at + down_ms) {
            target->restart();
            down = false;
        } else if (target != nullptr && crashed_at != 0 && !down && !delivered &&
                   now >= held_at + late_ms) {
            target->deliver_held_up_order();
            delivered = true;
        }
        std::size_t at_once = 0;
        for (const auto& r : d.runners) {
            at_once += r->up() && r->runs_job(id) ? 1U : 0U;
        }
        if (at_once > 1 && at_once > most_at_once) {
            d.out.write("the task runs on " + std::to_string(at_once) + " runners that are up");
        }
        most_at_once = std::max(most_at_once, at_once);
        if (now >= next_look) {
            next_look = now + 500;
            state = d.state_of(jobs, id);
            if ((delivered || !with_trouble()) && state == "completed") {
                break;
            }
        }
        sleep_ms(5);
    }
    return verdict(d, most_at_once > 1,
                   "at most " + std::to_string(most_at_once) +
                       " runs of the task at the same time; the job is " + state);
}
