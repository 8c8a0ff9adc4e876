#include "core/placement/placement_engine.h"
#include "unit/placement/builders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace buckthornspar;
using namespace buckthornspar::placement;
using namespace buckthornspar::placement::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(all_at_once_jobs)

namespace {

constexpr resources worker_size{4 * cores, 8 * gigabytes, 0};
constexpr resources whole = worker_size;
constexpr resources quarter{cores, 2 * gigabytes, 0};
constexpr common::duration tick = 100ms;

/// Simulates a cell in virtual time. Tasks run for their actual length; a task without a length
/// never ends.
class cell {
public:
    explicit cell(std::size_t workers, placement_settings settings = {})
        : m_engine(std::move(settings)) {
        for (std::size_t i = 0; i < workers; ++i) {
            m_engine.upsert_worker(make_worker("w" + std::to_string(i), worker_size));
        }
    }

    placement_engine& engine() { return m_engine; }
    [[nodiscard]] common::time_point now() const { return m_now; }

    /// Submits a small task that runs for `real`, regardless of the declared run time.
    void submit_small(common::duration declared, common::duration real,
                      priority_class priority = priority_class::normal) {
        task_request request = make_task("s" + std::to_string(m_next++), quarter, declared);
        request.submitted = m_now;
        request.priority = priority;
        m_real[request.task] = real;
        m_engine.submit(request);
    }

    void submit_gang(const std::string& job, std::size_t tasks, common::duration run) {
        auto requests = make_gang(job, tasks, whole, run);
        for (task_request& request : requests) {
            request.submitted = m_now;
            m_real[request.task] = run;
        }
        m_engine.submit_gang(requests);
    }

    void step() {
        m_now += tick;
        for (auto end = m_ends.begin(); end != m_ends.end() && end->first <= m_now;
             end = m_ends.erase(end)) {
            m_engine.release(end->second, m_now);
        }
        const decisions made = m_engine.decide(m_now, 1000);
        for (const assignment& a : made.tasks) {
            run(a.task);
        }
        for (const gang_assignment& gang : made.gangs) {
            m_started[gang.job] = m_now;
            std::for_each(gang.tasks.begin(), gang.tasks.end(),
                          [this](const assignment& a) { run(a.task); });
        }
        m_overdue.insert(m_overdue.end(), made.overdue_gangs.begin(), made.overdue_gangs.end());
    }

    [[nodiscard]] bool started(const std::string& job) const { return m_started.contains(job); }
    [[nodiscard]] common::time_point start_of(const std::string& job) const {
        return m_started.at(job);
    }
    [[nodiscard]] const std::vector<std::string>& overdue() const { return m_overdue; }

private:
    void run(const std::string& task) {
        m_engine.confirm_started(task, m_now);
        if (m_real.contains(task)) {
            m_ends.emplace(m_now + m_real[task], task);
        }
    }

    placement_engine m_engine;
    common::time_point m_now{};
    int m_next = 0;
    std::map<std::string, common::duration> m_real;
    std::multimap<common::time_point, std::string> m_ends;
    std::map<std::string, common::time_point> m_started;
    std::vector<std::string> m_overdue;
};

/// Keeps the cell full of small tasks for the given time.
void run_with_stream(cell& c, common::duration length, common::duration declared,
                     common::duration real) {
    const auto end = c.now() + length;
    while (c.now() < end) {
        while (c.engine().waiting() < 40) {
            c.submit_small(declared, real);
        }
        c.step();
    }
}

} // namespace

// Guards against an all-at-once job that starts only in part.
BOOST_AUTO_TEST_CASE(all_tasks_start_together_in_order_of_worker) {
    cell c(3);
    c.submit_small(10s, 10s);
    c.step();
    const decisions none = [&] {
        c.engine().submit_gang(make_gang("g", 3, whole));
        return c.engine().decide(c.now(), 100);
    }();
    BOOST_TEST(none.empty());
    BOOST_TEST((c.engine().explain("g/0") == wait_reason::gang_incomplete));
    c.engine().release("s0", c.now());
    const decisions made = c.engine().decide(c.now() + 1s, 100);
    BOOST_REQUIRE(made.gangs.size() == 1U);
    BOOST_REQUIRE(made.gangs.front().tasks.size() == 3U);
    BOOST_TEST(std::is_sorted(
        made.gangs.front().tasks.begin(), made.gangs.front().tasks.end(),
        [](const assignment& a, const assignment& b) { return a.worker < b.worker; }));
}

// Guards against a continuous stream of small work starving a large job.
BOOST_AUTO_TEST_CASE(small_work_cannot_starve_a_large_job) {
    cell c(4);
    run_with_stream(c, 5s, 3s, 3s);
    c.submit_gang("large", 4, 10s);
    const auto submitted = c.now();
    run_with_stream(c, 10s, 3s, 3s);
    BOOST_REQUIRE(c.started("large"));
    // The work that was running at submission ends within 3 s; the plan follows within a second.
    BOOST_TEST((c.start_of("large") - submitted <= 4s + tick));
}

// Guards against wrong declared run times: small work that declares 1 s and runs for 20 s must not
// postpone the planned start again and again.
BOOST_AUTO_TEST_CASE(wrong_run_times_cannot_starve_a_large_job) {
    placement_settings settings;
    settings.gang_wait_bound = 60s;
    cell c(4, settings);
    run_with_stream(c, 5s, 1s, 20s);
    c.submit_gang("large", 4, 10s);
    const auto submitted = c.now();
    run_with_stream(c, 100s, 1s, 20s);
    BOOST_REQUIRE(c.started("large"));
    BOOST_TEST((c.start_of("large") - submitted <= 60s));
}

// Guards against a deadlock of two large jobs that each hold capacity that the other needs.
BOOST_AUTO_TEST_CASE(two_large_jobs_neither_deadlock_nor_starve) {
    cell c(4);
    run_with_stream(c, 5s, 2s, 2s);
    c.submit_gang("a", 3, 5s);
    c.submit_gang("b", 3, 5s);
    run_with_stream(c, 30s, 2s, 2s);
    BOOST_REQUIRE(c.started("a"));
    BOOST_REQUIRE(c.started("b"));
    BOOST_TEST((c.start_of("a") < c.start_of("b")));
}

// Guards against idle capacity before a planned start, and against backfilled work delaying it.
BOOST_AUTO_TEST_CASE(backfill_uses_idle_time_without_delaying_the_plan) {
    cell c(2);
    for (int i = 0; i < 4; ++i) {
        c.submit_small(20s, 20s);
    }
    c.step();
    c.submit_gang("large", 2, 10s);
    c.step();
    const auto wait = c.engine().explain_gang("large");
    BOOST_REQUIRE(wait.has_value());
    BOOST_REQUIRE(wait->planned_start.has_value());
    const auto planned = *wait->planned_start;
    c.submit_small(5s, 5s);
    c.submit_small(60s, 60s);
    c.step();
    BOOST_TEST((c.engine().explain("s4") == wait_reason::none));
    BOOST_TEST((c.engine().explain("s5") == wait_reason::gang_reserved));
    while (!c.started("large") && c.now() < at(60s)) {
        c.step();
    }
    BOOST_TEST((c.start_of("large") <= planned + tick));
}

// Guards against an unbounded wait that is never reported.
BOOST_AUTO_TEST_CASE(long_wait_is_reported_once) {
    placement_settings settings;
    settings.gang_wait_bound = 5s;
    cell c(1, settings);
    task_request service = make_task("service", quarter);
    service.kind = workload_kind::service;
    c.engine().submit(service);
    c.step();
    c.submit_gang("large", 1, 10s);
    while (c.now() < at(20s)) {
        c.step();
    }
    BOOST_REQUIRE(c.overdue().size() == 1U);
    BOOST_TEST(c.overdue().front() == "large");
    BOOST_TEST(c.engine().explain_gang("large")->overdue);
}

// Guards against small tasks starving a large single task.
BOOST_AUTO_TEST_CASE(small_work_cannot_starve_a_large_single_task) {
    placement_settings settings;
    settings.plan_single_after = 5s;
    cell c(2, settings);
    run_with_stream(c, 5s, 3s, 3s);
    task_request large = make_task("large", whole, 10s);
    large.submitted = c.now();
    c.engine().submit(large);
    run_with_stream(c, 12s, 3s, 3s);
    BOOST_TEST((c.engine().explain("large") == wait_reason::none));
}

// Guards against a job that waits for tasks that were withdrawn, refused or cancelled.
BOOST_AUTO_TEST_CASE(refused_and_withdrawn_tasks_do_not_block_the_job) {
    cell c(2);
    c.engine().submit_gang(make_gang("g", 3, whole));
    BOOST_TEST(c.engine().decide(at(0s), 10).gangs.empty());
    BOOST_TEST(c.engine().withdraw("g/2"));
    BOOST_TEST(c.engine().decide(at(1s), 10).gangs.size() == 1U);
    c.engine().requeue("g/0");
    BOOST_TEST(c.engine().decide(at(2s), 10).gangs.empty());
    c.engine().requeue("g/1");
    const decisions again = c.engine().decide(at(3s), 10);
    BOOST_REQUIRE(again.gangs.size() == 1U);
    BOOST_TEST(again.gangs.front().tasks.size() == 2U);
    c.engine().release("g/0", at(4s));
    c.engine().release("g/1", at(4s));
    BOOST_TEST((c.engine().allocated("w0") == resources{}));
    c.engine().submit_gang(make_gang("g", 2, whole));
    BOOST_TEST(c.engine().decide(at(5s), 10).gangs.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
