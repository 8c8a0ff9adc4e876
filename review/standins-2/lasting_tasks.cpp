// The tasks of a service that ran on one runner stand still after its crash, although the other
// runners have room for all of them.

#include "deployment.h"

#include <algorithm>

namespace review {
namespace {

struct service {
    std::string job;
    std::size_t tasks = 0;
    std::int64_t cpu_of_task = 500;
    std::string spec;
    /// How long the tasks are watched after the disruption.
    std::int64_t watch_ms = 0;
};

// The tasks end by themselves after a short time, and are started again each time.
const service short_runs{"61f2c09ab3d47e15", 4, 500, "work_ms=1200", 25'000};
// The tasks run until they are stopped.
const service long_runs{"7a03d1ce94f25b68", 100, 500, "lasting", 15'000};

std::string task_of(const service& played, std::size_t index) {
    return played.job + ".0.0." + std::to_string(index);
}

// Disruption: one of eight runners is down for this time.
constexpr std::int64_t down_ms = 4500;
// It crashes when all tasks have been started for this time.
constexpr std::int64_t up_ms = 4000;
// Bounds of the rule.
constexpr std::int64_t after_last_run_ms = 6000;
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t calm_before_ms = 4000;

struct task_watch {
    std::string name;
    std::int64_t last_run_ms = 0;
    bool broken = false;
};

bool has_room_twice(deployment& cluster, std::int64_t cpu_of_task) {
    std::int64_t room = 0;
    for (const auto& r : cluster.runners()) {
        room += std::max<std::int64_t>(0, r->free_cpu(cpu_of_task)) / cpu_of_task;
    }
    return room >= 2;
}

std::size_t running_tasks(deployment& cluster, const service& played) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < played.tasks; ++i) {
        sum += cluster.runner_of(task_of(played, i)) != nullptr ? 1 : 0;
    }
    return sum;
}

awaitable<bool> wait_until_all_run(deployment& cluster, const service& played) {
    const auto until = now_ms() + 20'000;
    while (running_tasks(cluster, played) < played.tasks) {
        if (now_ms() > until) {
            co_return false;
        }
        co_await pause_ms(20);
    }
    co_return true;
}

// Returns the number of tasks that stood still for longer than the rule allows.
awaitable<std::size_t> watch(deployment& cluster, const service& played,
                             std::int64_t calm_since_ms) {
    std::vector<task_watch> watched;
    for (std::size_t i = 0; i < played.tasks; ++i) {
        watched.push_back({task_of(played, i), calm_since_ms - down_ms, false});
    }
    std::int64_t room_since_ms = now_ms();
    std::size_t broken = 0;
    const auto until_ms = now_ms() + played.watch_ms;
    while (now_ms() < until_ms) {
        const auto now = now_ms();
        if (!has_room_twice(cluster, played.cpu_of_task)) {
            room_since_ms = now;
        }
        for (auto& task : watched) {
            if (cluster.runner_of(task.name) != nullptr) {
                task.last_run_ms = now;
                continue;
            }
            const auto from = std::max({task.last_run_ms + after_last_run_ms,
                                        calm_since_ms + calm_before_ms, room_since_ms});
            if (!task.broken && now >= from + idle_ms) {
                task.broken = true;
                ++broken;
                cluster.log().write("BROKEN: " + task.name + " last ran at " +
                                    std::to_string(task.last_run_ms) + ", calm since " +
                                    std::to_string(calm_since_ms));
            }
        }
        co_await pause_ms(50);
    }
    cluster.log().write(std::to_string(broken) + " of " + std::to_string(played.tasks) +
                        " tasks stood still, " + std::to_string(running_tasks(cluster, played)) +
                        " run at the end");
    co_return broken;
}

/// Exit code for one job.
awaitable<int> play(deployment& cluster, const service& played, bool trouble) {
    const auto accepted = co_await cluster.send(
        cluster.nodes()[0], http::verb::post, "/lohu930/" + played.job,
        R"({"spec":")" + played.spec + R"(","steps":[{"count":)" + std::to_string(played.tasks) +
            R"(,"cpu":500,"mem_mb":800,"estimate_ms":60000,"long_running":true}]})",
        3000);
    if (accepted.status != 200 || !co_await wait_until_all_run(cluster, played)) {
        co_return 2;
    }
    co_await pause_ms(up_ms);
    auto& runners = cluster.runners();
    const auto most =
        std::max_element(runners.begin(), runners.end(),
                         [](const auto& a, const auto& b) { return a->running() < b->running(); });
    if (trouble) {
        (*most)->crash();
    }
    co_await pause_ms(down_ms);
    if (trouble) {
        (*most)->restart();
    }
    co_return co_await watch(cluster, played, now_ms()) > 0 ? 1 : 0;
}

awaitable<int> scenario(deployment& cluster, bool trouble) {
    cluster.add_queue({"r-services", "/lohu930/", 3});
    cluster.add_runners(8);
    if (!co_await cluster.start(3)) {
        co_return 2;
    }
    const auto first = co_await play(cluster, short_runs, trouble);
    const auto second = co_await play(cluster, long_runs, trouble);
    co_return first == 1 || second == 1 ? 1 : std::max(first, second);
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    return review::run_scenario(argc, argv, review::scenario);
}
