// Tasks of cancelled jobs run on for longer than allowed, because the stops for one runner are sent
// in small portions.

#include "deployment.h"

#include <algorithm>

namespace review {
namespace {

constexpr const char* prefix = "/lohu930/";
constexpr std::size_t jobs = 160;
// The widest step of the site.
constexpr std::size_t tasks_per_job = 60;
// Disruption: a share of 0.4 of the jobs is cancelled.
constexpr std::size_t cancelled_jobs = 64;
// Bounds of the rule.
constexpr std::int64_t cancel_ms = 3000;
constexpr std::int64_t stop_ms = 900;
constexpr std::int64_t acknowledge_limit_ms = 2000;

std::string id_of(std::size_t job) {
    return "3e1f00000000" + std::to_string(1000 + job);
}

// Two of five jobs in succession, so that the cancelled ones are spread over the runners.
std::size_t cancelled_job(std::size_t number) {
    return number / 2 * 5 + number % 2;
}

std::size_t running_tasks(deployment& cluster) {
    std::size_t sum = 0;
    for (const auto& r : cluster.runners()) {
        sum += r->running();
    }
    return sum;
}

/// Tasks of the job that run now.
std::size_t running_of(deployment& cluster, std::size_t job) {
    std::size_t sum = 0;
    for (std::size_t i = 0; i < tasks_per_job; ++i) {
        sum += cluster.runner_of(id_of(job) + ".0.0." + std::to_string(i)) != nullptr ? 1 : 0;
    }
    return sum;
}

awaitable<void> cancel(deployment& cluster, std::size_t job, std::int64_t& acknowledged_at) {
    const auto result = co_await cluster.send(cluster.nodes()[job % 3], http::verb::delete_,
                                              prefix + id_of(job), "", 3000);
    acknowledged_at = result.status == 200 ? now_ms() : 0;
}

awaitable<int> scenario(deployment& cluster, bool trouble) {
    cluster.add_queue({"r-plans", prefix, 3});
    cluster.add_runners(8);
    if (!co_await cluster.start(3)) {
        co_return 2;
    }
    for (std::size_t job = 0; job < jobs; ++job) {
        const auto accepted = co_await cluster.send(
            cluster.nodes()[job % 3], http::verb::post, prefix + id_of(job),
            R"({"spec":"work_ms=60000","steps":[{"count":60,"cpu":50,"mem_mb":100,"estimate_ms":60000}]})",
            3000);
        if (accepted.status != 200) {
            co_return 2;
        }
    }
    const auto start_until = now_ms() + 30'000;
    while (running_tasks(cluster) < jobs * tasks_per_job) {
        if (now_ms() > start_until) {
            co_return 2;
        }
        co_await pause_ms(50);
    }
    std::size_t most = 0;
    for (const auto& r : cluster.runners()) {
        most = std::max(most, r->running());
    }
    cluster.log().write("all tasks run, " + std::to_string(most) + " on one runner at most");
    co_await pause_ms(5000);
    if (!trouble) {
        co_return 0;
    }
    std::vector<std::int64_t> cancelled_at(cancelled_jobs, 0);
    for (std::size_t i = 0; i < cancelled_jobs; ++i) {
        asio::co_spawn(co_await asio::this_coro::executor,
                       cancel(cluster, cancelled_job(i), cancelled_at[i]), asio::detached);
    }
    co_await pause_ms(acknowledge_limit_ms);
    if (std::find(cancelled_at.begin(), cancelled_at.end(), 0) != cancelled_at.end()) {
        co_return 2;
    }
    std::size_t broken = 0;
    for (std::size_t i = 0; i < cancelled_jobs; ++i) {
        const auto job = cancelled_job(i);
        co_await pause_ms(
            std::max<std::int64_t>(0, cancelled_at[i] + cancel_ms + stop_ms + 1 - now_ms()));
        const auto running = running_of(cluster, job);
        if (running > 0) {
            cluster.log().write("BROKEN: " + std::to_string(running) + " tasks of " + id_of(job) +
                                " run " + std::to_string(now_ms() - cancelled_at[i]) +
                                " ms after the acknowledgement");
        }
        broken += running;
    }
    const auto end_until = now_ms() + 20'000;
    const auto left = (jobs - cancelled_jobs) * tasks_per_job;
    while (running_tasks(cluster) > left && now_ms() < end_until) {
        co_await pause_ms(50);
    }
    cluster.log().write("no task of a cancelled job runs " +
                        std::to_string(now_ms() - cancelled_at.back()) +
                        " ms after the last acknowledgement");
    co_return broken > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    return review::run_scenario(argc, argv, review::scenario);
}
