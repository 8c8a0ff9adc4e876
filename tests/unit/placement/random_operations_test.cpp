#include "core/common/rng.h"
#include "core/placement/placement_engine.h"
#include "unit/placement/builders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

using namespace buckthornspar;
using namespace buckthornspar::placement;
using namespace buckthornspar::placement::test;

BOOST_AUTO_TEST_SUITE(random_operations)

namespace {

/// Faults injected by the driver, which the checks must detect.
enum class fault { none, inflated_capacity, lost_release, ignored_quota };

struct invariant_broken : std::runtime_error {
    using std::runtime_error::runtime_error;
};

void require(bool holds, const std::string& what) {
    if (!holds) {
        throw invariant_broken(what);
    }
}

struct model_task {
    task_request request;
    /// Empty while the task is waiting.
    std::optional<std::string> worker;
};

struct model_worker {
    worker_info info;
    bool present = true;
};

/// Applies random operations to an engine and checks its state against a model.
class driver {
public:
    driver(std::uint64_t seed, const std::string& scorer, fault injected)
        : m_random(seed), m_fault(injected), m_engine(settings(seed, scorer)) {}

    void run(int operations) {
        for (int i = 0; i < operations; ++i) {
            m_now += std::chrono::milliseconds(m_random.below(400));
            operate();
            check_allocations();
        }
    }

    /// Text of all decisions, for comparing two runs.
    [[nodiscard]] const std::string& log() const { return m_log; }
    [[nodiscard]] int started() const { return m_started; }

private:
    static placement_settings settings(std::uint64_t seed, const std::string& scorer) {
        placement_settings s;
        s.seed = seed;
        s.scorer = scorer;
        s.gang_wait_bound = std::chrono::seconds(20);
        s.plan_single_after = std::chrono::seconds(5);
        return s;
    }

    void operate() {
        const std::uint64_t kind = m_random.below(100);
        if (kind < 30) {
            submit();
        } else if (kind < 36) {
            submit_gang();
        } else if (kind < 58) {
            decide();
        } else if (kind < 80) {
            end_task();
        } else if (kind < 84) {
            requeue();
        } else if (kind < 88) {
            withdraw();
        } else if (kind < 94) {
            change_worker();
        } else if (kind < 96) {
            adopt();
        } else {
            change_quota();
        }
    }

    task_request random_task(const std::string& id) {
        task_request request = make_task(id, {});
        request.job = "job" + std::to_string(m_random.below(5));
        request.team = "team" + std::to_string(m_random.below(3));
        request.kind = m_random.chance(0.2) ? workload_kind::service : workload_kind::batch;
        request.priority = static_cast<priority_class>(m_random.below(priority_class_count));
        // Irregular amounts, so that workers and demands within one level of the bucket index
        // differ.
        request.demand = {static_cast<std::int64_t>(200 + m_random.below(4000)),
                          static_cast<std::int64_t>(200 + m_random.below(4000)),
                          static_cast<std::int64_t>(m_random.chance(0.2) ? m_random.below(3) : 0)};
        request.expected_run = std::chrono::seconds(m_random.below(20));
        request.submitted = m_now;
        return request;
    }

    void submit() {
        const task_request request = random_task("t" + std::to_string(m_next++));
        m_tasks[request.task] = {request, std::nullopt};
        m_engine.submit(request);
    }

    void submit_gang() {
        const std::string job = "gang" + std::to_string(m_next++);
        task_request request = random_task(job);
        request.job = job;
        request.kind = workload_kind::all_at_once;
        std::vector<task_request> requests;
        for (std::uint64_t i = 0; i <= m_random.below(6); ++i) {
            request.task = job + "/" + std::to_string(i);
            requests.push_back(request);
            m_tasks[request.task] = {request, std::nullopt};
        }
        m_engine.submit_gang(requests);
    }

    void decide() {
        const auto before = allocated_by_worker();
        const decisions made = m_engine.decide(m_now, 1 + m_random.below(20));
        std::set<std::string> teams;
        for (const assignment& a : made.tasks) {
            take(a, teams);
        }
        for (const gang_assignment& gang : made.gangs) {
            check_gang(gang);
            std::for_each(gang.tasks.begin(), gang.tasks.end(),
                          [&](const assignment& a) { take(a, teams); });
        }
        check_capacity(before);
        check_quotas(teams);
        check_reasons();
    }

    void take(const assignment& a, std::set<std::string>& teams) {
        model_task& task = m_tasks.at(a.task);
        require(!task.worker, "task " + a.task + " is assigned twice");
        const model_worker& worker = m_workers.at(a.worker);
        require(worker.present && worker.info.state == worker_state::available,
                "worker " + a.worker + " must not get work");
        task.worker = a.worker;
        teams.insert(task.request.team);
        m_log += a.task + ">" + a.worker + ";";
        ++m_started;
    }

    void check_gang(const gang_assignment& gang) const {
        std::set<std::string> tasks;
        for (const assignment& a : gang.tasks) {
            tasks.insert(a.task);
        }
        for (const auto& [id, task] : m_tasks) {
            require(task.request.job != gang.job || tasks.contains(id),
                    "job " + gang.job + " started without " + id);
        }
        require(std::is_sorted(
                    gang.tasks.begin(), gang.tasks.end(),
                    [](const assignment& a, const assignment& b) { return a.worker < b.worker; }),
                "workers of " + gang.job + " are not in order");
    }

    void end_task() {
        if (const auto id = random_task_where([](const model_task& t) { return bool(t.worker); })) {
            m_tasks.erase(*id);
            if (m_fault != fault::lost_release) {
                m_engine.release(*id, m_now);
            }
        }
    }

    void requeue() {
        if (const auto id = random_task_where([](const model_task& t) { return bool(t.worker); })) {
            m_tasks.at(*id).worker.reset();
            m_engine.requeue(*id);
        }
    }

    void withdraw() {
        const auto id = random_task_where([](const model_task&) { return true; });
        if (!id) {
            return;
        }
        const bool waits = !m_tasks.at(*id).worker;
        require(m_engine.withdraw(*id) == waits, "withdraw of " + *id + " is wrong");
        if (waits) {
            m_tasks.erase(*id);
        }
    }

    void change_worker() {
        const std::string id = "w" + std::to_string(m_random.below(8));
        if (m_random.chance(0.2)) {
            m_engine.remove_worker(id);
            if (m_workers.contains(id)) {
                m_workers.at(id).present = false;
            }
            return;
        }
        worker_info info =
            make_worker(id, {static_cast<std::int64_t>(2 + m_random.below(3)) * 4 * cores,
                             static_cast<std::int64_t>(2 + m_random.below(3)) * 4 * gigabytes,
                             static_cast<std::int64_t>(m_random.below(3))});
        info.rack = "r" + std::to_string(m_random.below(3));
        info.place = "p" + std::to_string(m_random.below(2));
        if (m_random.chance(0.3)) {
            info.state = static_cast<worker_state>(m_random.below(worker_state_names.size()));
        }
        m_workers[id] = {info, true};
        if (m_fault == fault::inflated_capacity) {
            info.capacity += {4 * cores, 4 * gigabytes, 1};
        }
        m_engine.upsert_worker(info);
    }

    void adopt() {
        if (m_workers.empty()) {
            return;
        }
        auto worker = m_workers.begin();
        std::advance(worker, m_random.below(m_workers.size()));
        if (!worker->second.present) {
            return;
        }
        auto id = random_task_where([](const model_task&) { return true; });
        if (!id || m_random.chance(0.5)) {
            id = "a" + std::to_string(m_next++);
            m_tasks[*id] = {random_task(*id), std::nullopt};
        }
        m_tasks.at(*id).worker = worker->first;
        m_engine.adopt_running(worker->first, m_tasks.at(*id).request, m_now);
    }

    void change_quota() {
        const std::string team = "team" + std::to_string(m_random.below(3));
        if (m_random.chance(0.5)) {
            m_quotas.erase(team);
            m_engine.clear_quota(team);
            return;
        }
        const resources limit{static_cast<std::int64_t>(1 + m_random.below(20)) * cores,
                              static_cast<std::int64_t>(1 + m_random.below(20)) * gigabytes, 2};
        m_quotas[team] = limit;
        if (m_fault == fault::ignored_quota) {
            m_engine.clear_quota(team);
        } else {
            m_engine.set_quota(team, limit);
        }
    }

    std::optional<std::string>
    random_task_where(const std::function<bool(const model_task&)>& wanted) {
        std::vector<std::string> ids;
        for (const auto& [id, task] : m_tasks) {
            if (wanted(task)) {
                ids.push_back(id);
            }
        }
        if (ids.empty()) {
            return std::nullopt;
        }
        return ids[m_random.below(ids.size())];
    }

    [[nodiscard]] std::map<std::string, resources> allocated_by_worker() const {
        std::map<std::string, resources> allocated;
        for (const auto& [id, task] : m_tasks) {
            if (task.worker) {
                allocated[*task.worker] += task.request.demand;
            }
        }
        return allocated;
    }

    void check_allocations() const {
        auto allocated = allocated_by_worker();
        std::size_t waiting = 0;
        resources expected_free;
        for (const auto& [id, worker] : m_workers) {
            require(m_engine.allocated(id) == allocated[id], "allocations of " + id + " differ");
            if (worker.present && worker.info.state == worker_state::available) {
                expected_free += worker.info.capacity - allocated[id];
            }
        }
        require(m_engine.free_resources() == expected_free, "the free resources differ");
        for (const auto& [id, task] : m_tasks) {
            waiting += task.worker ? 0 : 1;
            require((m_engine.explain(id) == wait_reason::none) == task.worker.has_value(),
                    "the reason of " + id + " does not match its state");
        }
        require(m_engine.waiting() == waiting, "the number of waiting tasks differs");
    }

    // A worker that was already over its capacity, because of adopted work or a reduced capacity,
    // must not have received more work.
    void check_capacity(const std::map<std::string, resources>& before) const {
        for (const auto& [id, allocated] : allocated_by_worker()) {
            const auto old = before.find(id);
            const bool unchanged = old != before.end() && old->second == allocated;
            require(unchanged || allocated.fits(m_workers.at(id).info.capacity),
                    "worker " + id + " is overcommitted");
        }
    }

    void check_quotas(const std::set<std::string>& teams) const {
        std::map<std::string, resources> used;
        for (const auto& [id, task] : m_tasks) {
            if (task.worker) {
                used[task.request.team] += task.request.demand;
            }
        }
        for (const std::string& team : teams) {
            const auto limit = m_quotas.find(team);
            require(limit == m_quotas.end() || used[team].fits(limit->second),
                    team + " exceeds its quota");
        }
    }

    // Checks that no_capacity is correct: no worker that may get work has enough free capacity for
    // the task.
    void check_reasons() const {
        auto allocated = allocated_by_worker();
        for (const auto& [id, task] : m_tasks) {
            if (m_engine.explain(id) != wait_reason::no_capacity) {
                continue;
            }
            for (const auto& [name, worker] : m_workers) {
                const bool usable = worker.present && worker.info.state == worker_state::available;
                const resources then = task.request.demand + allocated[name];
                std::string what = "task ";
                what.append(id).append(" waits for capacity that ").append(name).append(" has");
                require(!usable || !then.fits(worker.info.capacity), what);
            }
        }
    }

    common::rng m_random;
    fault m_fault;
    placement_engine m_engine;
    common::time_point m_now{};
    int m_next = 0;
    int m_started = 0;
    std::map<std::string, model_task> m_tasks;
    std::map<std::string, model_worker> m_workers;
    std::map<std::string, resources> m_quotas;
    std::string m_log;
};

constexpr int operations_per_run = 1500;
constexpr std::uint64_t seeds = 20;

} // namespace

// Guards against overcommitted workers, split all-at-once jobs, exceeded quotas, lost allocations
// and tasks that wait although there is capacity, after any sequence of events.
BOOST_AUTO_TEST_CASE(invariants_hold_after_every_operation) {
    for (const std::string scorer : {"best_fit", "first_fit", "two_choices"}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            BOOST_TEST_CONTEXT("scorer " << scorer << ", seed " << seed) {
                driver d(seed, scorer, fault::none);
                BOOST_CHECK_NO_THROW(d.run(operations_per_run));
                BOOST_TEST(d.started() > 100);
            }
        }
    }
}

// Guards against checks that cannot fail: each injected fault must be detected.
BOOST_AUTO_TEST_CASE(injected_faults_are_detected) {
    for (const fault injected :
         {fault::inflated_capacity, fault::lost_release, fault::ignored_quota}) {
        driver d(1, "best_fit", injected);
        BOOST_CHECK_THROW(d.run(operations_per_run), invariant_broken);
    }
}

// Guards against decisions that depend on anything but the events and the seed.
BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_decisions) {
    for (const std::string scorer : {"best_fit", "two_choices"}) {
        driver first(7, scorer, fault::none);
        driver second(7, scorer, fault::none);
        first.run(operations_per_run);
        second.run(operations_per_run);
        BOOST_TEST((first.log() == second.log()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
