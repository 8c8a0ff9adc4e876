// An accepted job is at work when a configuration drops its route, and then the process that leads
// is killed. The tasks of the job's second step must still begin.

#include "deployment.h"

using namespace review;

namespace {

constexpr std::int64_t down_ms = 1000;
constexpr std::int64_t wait_ms = 40'000;
constexpr std::int64_t idle_limit_ms = 3000;

} // namespace

int main() {
    deployment d(3, 8);
    const queue kept{"r-kept", "jobs.example", "/kept/", 3};
    const queue dropped{"r-dropped", "jobs.example", "/dropped/", 3};
    d.configure(7, {kept, dropped});
    d.start();
    sleep_ms(1500);
    const auto id = job_id(1);
    const std::string body =
        R"({"spec":"work_ms=5000","steps":[{"count":2,"cpu":4000,"mem_mb":4000,"estimate_ms":5000},{"count":2,"cpu":4000,"mem_mb":4000,"estimate_ms":5000,"after":[0]}]})";
    if (d.submit(dropped, id, body) != 200) {
        cannot_run(d, "the job was not accepted");
    }
    sleep_ms(500);
    d.configure(9, {kept});
    sleep_ms(1500);
    if (with_trouble()) {
        node* const leader = d.owner();
        if (leader == nullptr) {
            cannot_run(d, "no process leads");
        }
        leader->kill();
        sleep_ms(down_ms);
        leader->start();
    }
    // The service still works for other jobs.
    const auto other = job_id(2);
    if (d.submit(kept, other, body) != 200) {
        cannot_run(d, "the other job was not accepted");
    }
    const auto first_step = id + ".0.0.";
    const auto second_step = id + ".0.1.";
    const auto until = now_ms() + wait_ms;
    std::int64_t turn_at = 0;
    std::size_t begun = 0;
    while (now_ms() < until && begun < 2) {
        sleep_ms(50);
        begun = 0;
        for (const auto& start : d.log.starts()) {
            begun += start.task.starts_with(second_step) ? 1U : 0U;
        }
        if (turn_at == 0 && d.log.ends(id, "done") >= 2) {
            turn_at = now_ms();
            d.out.write("the first step is done: the turn of " + second_step + "* has come");
        }
    }
    const auto waited = turn_at == 0 ? 0 : now_ms() - turn_at;
    const auto other_state = d.state_of(kept, other);
    if (turn_at == 0) {
        return verdict(d, true, "the tasks of " + first_step + "* did not end");
    }
    return verdict(d, begun < 2 && waited > idle_limit_ms,
                   std::to_string(begun) + " of 2 tasks of the second step have begun " +
                       std::to_string(waited) + " ms after their turn; the other job is " +
                       other_state);
}
