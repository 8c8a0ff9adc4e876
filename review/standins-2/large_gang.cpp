// The tasks of a lasting gang never run together if more than 64 of them fit on one runner,
// although all runners are free: the last ones never start.

#include "deployment.h"

#include <algorithm>

namespace review {
namespace {

constexpr const char* prefix = "/lohu930/";
constexpr const char* job = "5c0e7a21d94b36f8";
constexpr std::int64_t cpu_of_task = 500;
// The disruption is a large job; without it the job is a small one.
constexpr std::size_t large = 100;
constexpr std::size_t small = 12;
// Bounds of the rule.
constexpr std::int64_t after_last_run_ms = 6000;
constexpr std::int64_t idle_ms = 3000;
constexpr std::int64_t watch_ms = 40'000;

std::string gang_body(std::size_t members) {
    const auto count = std::to_string(members);
    return R"({"spec":"gang=)" + count + R"(","steps":[{"count":)" + count + R"(,"cpu":)" +
           std::to_string(cpu_of_task) +
           R"(,"mem_mb":400,"estimate_ms":60000,"gang":true,"long_running":true}]})";
}

std::int64_t free_cpu(deployment& cluster) {
    std::int64_t sum = 0;
    for (const auto& r : cluster.runners()) {
        sum += std::max<std::int64_t>(0, r->free_cpu(cpu_of_task));
    }
    return sum;
}

awaitable<int> scenario(deployment& cluster, bool trouble) {
    cluster.add_queue({"r-services", prefix, 3});
    cluster.add_runners(8);
    if (!co_await cluster.start(3)) {
        co_return 2;
    }
    const auto members = trouble ? large : small;
    const auto accepted = co_await cluster.send(
        cluster.nodes()[0], http::verb::post, prefix + std::string(job), gang_body(members), 3000);
    if (accepted.status != 200) {
        co_return 2;
    }
    const auto accepted_at = now_ms();
    std::vector<std::int64_t> last_run(members, accepted_at);
    std::vector<bool> broken(members, false);
    auto room_since = now_ms();
    while (now_ms() < accepted_at + watch_ms) {
        // Room for the whole gang twice over.
        if (free_cpu(cluster) < 2 * cpu_of_task * static_cast<std::int64_t>(members)) {
            room_since = now_ms();
        }
        for (std::size_t i = 0; i < members; ++i) {
            const auto task = std::string(job) + ".0.0." + std::to_string(i);
            if (cluster.runner_of(task) != nullptr) {
                last_run[i] = now_ms();
            } else if (!broken[i] &&
                       now_ms() >=
                           std::max(last_run[i] + after_last_run_ms, room_since) + idle_ms) {
                broken[i] = true;
                cluster.log().write("BROKEN: " + task + " has not run since " +
                                    std::to_string(last_run[i]) + ", accepted at " +
                                    std::to_string(accepted_at));
            }
        }
        co_await pause_ms(20);
    }
    const auto count = std::count(broken.begin(), broken.end(), true);
    cluster.log().write(std::to_string(count) + " of " + std::to_string(members) +
                        " tasks stood still for longer than allowed");
    co_return count > 0 ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    return review::run_scenario(argc, argv, review::scenario);
}
