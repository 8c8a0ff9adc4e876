// Jobs whose start orders were lost with a runner are no longer counted as pending, although none
// of their tasks has started.

#include "deployment.h"

#include <algorithm>

namespace review {
namespace {

constexpr const char* plans = "/lohu930/";
constexpr const char* urgent = "/pule252/";
constexpr std::size_t waiting_jobs = 6;
// Disruption: one of eight runners is cut off from the nodes for this time.
constexpr std::int64_t cut_ms = 5500;
// Bounds of the rule: jobs accepted longer ago than this count.
constexpr std::int64_t visible_ms = 3000;
constexpr std::int64_t age_of_count_ms = 2000;
constexpr std::int64_t ask_for_ms = 12'000;

std::string job_body(std::int64_t work_ms, std::int64_t cpu) {
    return R"({"spec":"work_ms=)" + std::to_string(work_ms) + R"(","steps":[{"count":1,"cpu":)" +
           std::to_string(cpu) + R"(,"mem_mb":1000,"estimate_ms":)" + std::to_string(work_ms) +
           "}]}";
}

std::string id_of(std::size_t number) {
    return "7d20b1c4f86e" + std::to_string(1000 + number);
}

std::string task_of(std::size_t number) {
    return id_of(number) + ".0.0.0";
}

struct waiting_job {
    std::int64_t accepted_at = 0;
    bool begun = false;
};

/// Notes which jobs have begun.
awaitable<void> watch(deployment& cluster, std::shared_ptr<std::vector<waiting_job>> jobs) {
    while (true) {
        for (std::size_t i = 0; i < jobs->size(); ++i) {
            (*jobs)[i].begun |= cluster.runner_of(task_of(i)) != nullptr;
        }
        co_await pause_ms(10);
    }
}

/// Jobs that have to be counted by now.
std::size_t owed(const std::vector<waiting_job>& jobs) {
    return static_cast<std::size_t>(
        std::count_if(jobs.begin(), jobs.end(), [](const waiting_job& job) {
            return !job.begun && now_ms() > job.accepted_at + visible_ms + age_of_count_ms;
        }));
}

/// Occupies all runners but one, and returns that one.
awaitable<runner*> fill_runners(deployment& cluster) {
    const auto runners = cluster.runners().size();
    for (std::size_t i = 0; i + 1 < runners; ++i) {
        const auto path = plans + id_of(100 + i);
        co_await cluster.send(cluster.nodes()[i % 3], http::verb::post, path,
                              job_body(30'000, 62'000), 3000);
        const auto until = now_ms() + 5000;
        while (cluster.runner_of(task_of(100 + i)) == nullptr && now_ms() < until) {
            co_await pause_ms(10);
        }
    }
    for (const auto& r : cluster.runners()) {
        if (r->running() == 0) {
            co_return r.get();
        }
    }
    co_return nullptr;
}

awaitable<int> scenario(deployment& cluster, bool trouble) {
    cluster.add_queue({"r-plans", plans, 3, 1});
    cluster.add_queue({"r-valves", urgent, 4, 0});
    cluster.add_runners(8);
    if (!co_await cluster.start(3)) {
        co_return 2;
    }
    auto* const free = co_await fill_runners(cluster);
    if (free == nullptr) {
        co_return 2;
    }
    co_await pause_ms(2000);
    if (trouble) {
        free->set_cut(true);
    }
    const auto cut_at = now_ms();
    const auto jobs = std::make_shared<std::vector<waiting_job>>(waiting_jobs);
    asio::co_spawn(co_await asio::this_coro::executor, watch(cluster, jobs), asio::detached);
    for (std::size_t i = 0; i < waiting_jobs; ++i) {
        const auto accepted = co_await cluster.send(cluster.nodes()[i % 3], http::verb::post,
                                                    plans + id_of(i), job_body(2000, 5000), 3000);
        if (accepted.status != 200) {
            co_return 2;
        }
        (*jobs)[i].accepted_at = now_ms();
    }
    co_await pause_ms(cut_at + cut_ms - 500 - now_ms());
    // It is more urgent, and takes the runner when that is back.
    co_await cluster.send(cluster.nodes()[0], http::verb::post, urgent + id_of(200),
                          job_body(15'000, 62'000), 3000);
    co_await pause_ms(cut_at + cut_ms - now_ms());
    if (trouble) {
        free->set_cut(false);
    }
    bool broken = false;
    std::size_t asked = 0;
    while (now_ms() < cut_at + cut_ms + ask_for_ms) {
        const auto answered =
            co_await cluster.send(cluster.nodes()[asked++ % 3], http::verb::get, plans, "", 1000);
        const auto owed_now = owed(*jobs);
        if (answered.status == 200 && owed_now > 0) {
            const auto pending = integer_of(answered.object(), "pending");
            if (pending * 2 < static_cast<std::int64_t>(owed_now)) {
                cluster.log().write("BROKEN: " + std::to_string(pending) + " pending are told, " +
                                    std::to_string(owed_now) + " jobs have not begun");
                broken = true;
            }
        }
        co_await pause_ms(300);
    }
    co_return broken ? 1 : 0;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    return review::run_scenario(argc, argv, review::scenario);
}
