// A job is given up after crashes of the runners that its task ran on, although no run of it has
// ended as failed. First an ordinary job, then one whose tasks last.

#include "deployment.h"

#include <algorithm>

namespace review {
namespace {

// Disruption: one of eight runners is down for this time; the next one crashes after it is back.
constexpr std::size_t crashes = 3;
constexpr std::int64_t down_ms = 4500;
// A runner crashes this long after it has started the task.
constexpr std::int64_t run_ms = 1000;
constexpr std::int64_t start_limit_ms = 15'000;
// The time after the last crash for which the job is asked for its state.
constexpr std::int64_t watch_ms = 20'000;

struct submission {
    std::string path;
    std::string task;
    std::string body;
    /// The state that the job must reach, or keep.
    std::string expected;
};

const submission ordinary{
    "/lohu930/5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.0",
    R"({"spec":"work_ms=6000","steps":[{"count":1,"cpu":18000,"mem_mb":26000,"estimate_ms":6000}]})",
    "completed"};
const submission lasting{
    "/lohu930/61f2c09ab3d47e15", "61f2c09ab3d47e15.0.0.0",
    R"({"spec":"lasting","steps":[{"count":4,"cpu":5000,"mem_mb":4000,"estimate_ms":60000,"long_running":true}]})",
    "running"};

awaitable<runner*> wait_for_run(deployment& cluster, const std::string& task) {
    const auto until = now_ms() + start_limit_ms;
    while (now_ms() < until) {
        if (auto* const found = cluster.runner_of(task)) {
            co_return found;
        }
        co_await pause_ms(10);
    }
    co_return nullptr;
}

awaitable<std::string> ask_state(deployment& cluster, const submission& job) {
    const auto result =
        co_await cluster.send(cluster.nodes()[1], http::verb::get, job.path, "", 2000);
    co_return text_of(result.object(), "state");
}

/// Crashes the runners of the job's first task one after the other.
awaitable<void> crash_runners(deployment& cluster, const submission& job) {
    for (std::size_t i = 0; i < crashes; ++i) {
        auto* const found = co_await wait_for_run(cluster, job.task);
        if (found == nullptr) {
            co_return;
        }
        co_await pause_ms(run_ms);
        found->crash();
        co_await pause_ms(down_ms);
        found->restart();
        if (co_await ask_state(cluster, job) == "failed") {
            co_return;
        }
    }
}

/// Exit code for the job: 1 if it was shown as failed.
awaitable<int> play(deployment& cluster, const submission& job, bool trouble) {
    const auto accepted =
        co_await cluster.send(cluster.nodes()[0], http::verb::post, job.path, job.body, 3000);
    if (accepted.status != 200 || co_await wait_for_run(cluster, job.task) == nullptr) {
        co_return 2;
    }
    if (trouble) {
        co_await crash_runners(cluster, job);
    }
    const auto until = now_ms() + watch_ms;
    std::string state;
    while (now_ms() < until && state != "failed" && state != "completed") {
        co_await pause_ms(1000);
        state = co_await ask_state(cluster, job);
    }
    if (state == "failed") {
        cluster.log().write("BROKEN: " + job.path +
                            " is shown as failed; no run of it has ended as failed");
        co_return 1;
    }
    co_return state == job.expected ? 0 : 2;
}

awaitable<int> scenario(deployment& cluster, bool trouble) {
    cluster.add_queue({"r-plans", "/lohu930/", 3});
    cluster.add_runners(8);
    if (!co_await cluster.start(3)) {
        co_return 2;
    }
    const auto first = co_await play(cluster, ordinary, trouble);
    const auto second = co_await play(cluster, lasting, trouble);
    co_return first == 1 || second == 1 ? 1 : std::max(first, second);
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    return review::run_scenario(argc, argv, review::scenario);
}
