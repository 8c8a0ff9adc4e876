#include "core/dispatch/cap_check.h"
#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

struct capped_customers : dispatch_fixture {
    capped_customers() { engine.on_queues({plain_queue(), ticket_queue()}); }

    void set_cap(const std::string& customer, std::int64_t cap_cores) {
        customers::customer_settings settings;
        settings.name = customer;
        settings.cap = {cap_cores * cores, 0, 0};
        caps[customer] = settings;
        std::vector<customers::customer_settings> all;
        for (const auto& entry : caps) {
            all.push_back(entry.second);
        }
        engine.on_customers(all);
    }

    void submit(const std::string& id, std::uint32_t tasks, std::int64_t cpu_cores,
                const std::string& customer = "a", bool gang = false,
                const std::string& queue = "q", std::uint64_t revision = 11) {
        auto spec = job(id, tasks, cpu_cores * cores, queue);
        spec.customer = customer;
        spec.steps[0].gang = gang;
        engine.on_job(now, spec, {}, revision);
        advance(100ms);
    }

    [[nodiscard]] std::size_t started(const std::string& id) const {
        return static_cast<std::size_t>(
            std::count_if(starts.begin(), starts.end(),
                          [&](const start_order& order) { return order.run.task.job == id; }));
    }

    void end_one_of(const std::string& id) {
        for (auto& [worker, runs] : running) {
            for (const auto& run : runs) {
                if (run.run.task.job == id) {
                    end_run(worker, run_key(run.run), run_end::succeeded);
                    return;
                }
            }
        }
    }

    [[nodiscard]] std::int64_t used(const std::string& customer) const {
        const auto& usage = engine.workers().usage();
        for (customers::customer_index i = 0; i < usage.size(); ++i) {
            if (usage.name(i) == customer) {
                return usage.used(i).cpu_milli / cores;
            }
        }
        return 0;
    }

    std::map<std::string, customers::customer_settings> caps;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(customer_caps_suite, capped_customers)

// Pattern: one customer submits more than its cap allows while there is room. Guards against starts
// above the cap, within one plan and over several, and against a cap that limits others.
BOOST_AUTO_TEST_CASE(no_task_starts_above_the_cap) {
    set_cap("a", 35);
    become_owner({"w1", "w2"});
    submit("j1", 3, 10);
    submit("j2", 3, 10);
    submit("other", 4, 10, "b");
    BOOST_TEST(started("j1") == 3U);
    BOOST_TEST(started("j2") == 0U);
    BOOST_TEST(started("other") == 4U);
    BOOST_TEST(engine.waiting().of(wait_cause::cap) == 1U);
    end_one_of("j1");
    advance(200ms);
    BOOST_TEST(started("j2") == 1U);
    BOOST_TEST(used("a") == 30);
}

// Guards against tasks of a step that start together above the cap.
BOOST_AUTO_TEST_CASE(a_wide_step_starts_as_far_as_the_cap_allows) {
    set_cap("a", 35);
    become_owner({"w1", "w2"});
    submit("wide", 10, 10);
    BOOST_TEST(started("wide") == 3U);
    end_one_of("wide");
    advance(200ms);
    BOOST_TEST(started("wide") == 4U);
}

// Guards against a gang of which some members start, and against tickets for one that cannot start.
BOOST_AUTO_TEST_CASE(a_gang_counts_as_a_whole) {
    set_cap("a", 45);
    become_owner({"w1", "w2"});
    submit("single", 1, 10);
    submit("gang", 4, 10, "a", true, "t");
    BOOST_TEST(started("gang") == 0U);
    BOOST_TEST(advice.empty());
    end_one_of("single");
    advance(200ms);
    BOOST_TEST(advice.size() == 1U);
}

// Pattern: gangs beside a stream of single tasks of one customer at its cap. Guards against a gang
// that waits forever because single tasks take what becomes free of the cap.
BOOST_AUTO_TEST_CASE(the_rest_of_the_cap_is_kept_for_a_gang) {
    set_cap("a", 45);
    become_owner({"w1", "w2"});
    submit("first", 4, 10);
    submit("gang", 4, 10, "a", true);
    submit("later", 3, 5);
    end_one_of("first");
    advance(200ms);
    BOOST_TEST(started("later") == 0U);
    for (int i = 0; i < 3; ++i) {
        end_one_of("first");
        advance(200ms);
    }
    BOOST_TEST(started("gang") == 4U);
    BOOST_TEST(started("later") == 1U);
}

// Pattern: a gang that needs most of the cap beside one long run. Guards against jobs of the
// customer that stand for the length of that run, with most of the cap unused.
BOOST_AUTO_TEST_CASE(the_cap_is_kept_for_a_gang_for_a_limited_time) {
    set_cap("a", 45);
    become_owner({"w1", "w2"});
    submit("long", 1, 10);
    submit("gang", 4, 10, "a", true);
    submit("later", 1, 5);
    advance(1500ms);
    BOOST_TEST(started("later") == 0U);
    advance(1s);
    BOOST_TEST(started("later") == 1U);
}

// Guards against a customer whose other jobs stand because one can no longer fit, and against an
// accepted job that fails for its cap.
BOOST_AUTO_TEST_CASE(a_gang_that_never_fits_waits_alone) {
    set_cap("a", 30);
    become_owner({"w1", "w2"});
    submit("gang", 4, 10, "a", true);
    submit("later", 3, 10);
    BOOST_TEST(started("gang") == 0U);
    BOOST_TEST(started("later") == 3U);
    BOOST_TEST(!is_final(engine.jobs().at("gang").state));
    for (int i = 0; i < 3; ++i) {
        end_one_of("later");
    }
    set_cap("a", 40);
    advance(200ms);
    BOOST_TEST(started("gang") == 4U);
}

// Guards against runs that are stopped, or started, when a cap falls below what runs.
BOOST_AUTO_TEST_CASE(a_lowered_cap_stops_nothing_and_starts_nothing) {
    set_cap("a", 50);
    become_owner({"w1", "w2"});
    submit("wide", 10, 10);
    BOOST_TEST(started("wide") == 5U);
    set_cap("a", 25);
    for (int i = 0; i < 3; ++i) {
        end_one_of("wide");
        advance(200ms);
        BOOST_TEST(started("wide") == 5U);
    }
    BOOST_TEST(stops.empty());
    end_one_of("wide");
    advance(200ms);
    BOOST_TEST(started("wide") == 6U);
}

// Guards against starts above the cap beside orders that were not answered and may be carried out
// when their worker is lost and back.
BOOST_AUTO_TEST_CASE(orders_that_may_still_arrive_count) {
    set_cap("a", 20);
    become_owner({"w1", "w2"});
    accept_starts = false;
    submit("j", 2, 20);
    BOOST_REQUIRE(started("j") == 1U);
    const auto order = starts.front();
    unreachable[order.worker] = true;
    engine.on_start_result(now, order, {order_status::no_answer, 0});
    through_peer[order.worker] = peer_view::silent;
    // The lease of the worker is over, and its runs are given up.
    advance(9s);
    BOOST_REQUIRE(engine.workers().find(order.worker)->runs.empty());
    BOOST_TEST(used("a") == 20);
    BOOST_TEST(engine.workers().is_usage_consistent());
    advance(12s);
    BOOST_TEST(started("j") > 1U);
}

// Guards against a successor that starts tasks of a customer beside runs that it has not learned of
// yet, and against one that does not count the runs it adopts.
BOOST_AUTO_TEST_CASE(a_successor_counts_what_it_does_not_know) {
    set_cap("a", 60);
    for (const auto* const id : {"w1", "w2"}) {
        engine.on_worker(now, report(id));
    }
    unreachable["w2"] = true;
    // Nobody knows what runs on w2, which has 64 cores.
    running["w1"].push_back({{{"old", 0, 0, 0}, 1}, "", 0});
    engine.take_over(now, 10, record_of({"w1", "w2"}));
    auto spec = job("old", 1, 20 * cores);
    spec.customer = "a";
    engine.on_job(now, spec, {}, 5);
    settle();
    submit("new", 4, 20);
    submit("free", 1, 10, "b");
    BOOST_TEST(started("new") == 0U);
    BOOST_TEST(started("free") == 1U);
    BOOST_TEST(used("a") == 20);
    unreachable["w2"] = false;
    advance(2s);
    settle();
    advance(200ms);
    BOOST_TEST(started("new") == 2U);
    BOOST_TEST(used("a") == 60);
}

// Guards against a successor that starts tasks beside runs of a job that was cancelled, on a worker
// that stays silent through the change of owner, and against other customers that wait for it.
BOOST_AUTO_TEST_CASE(runs_of_ended_jobs_on_a_silent_worker_count) {
    set_cap("a", 60);
    set_cap("b", 60);
    for (const auto* const id : {"w1", "w2"}) {
        engine.on_worker(now, report(id));
    }
    unreachable["w2"] = true;
    auto record = make_record({"w1", "w2"});
    record.unresponsive_workers = {"w2"};
    record.jobs_on_unresponsive_workers = {"cancelled"};
    record.customers_on_unresponsive_workers = {"a"};
    engine.take_over(now, 10, write_worker_record(record));
    settle();
    submit("new", 1, 20);
    submit("other", 1, 20, "b");
    BOOST_TEST(started("new") == 0U);
    BOOST_TEST(started("other") == 1U);
    settle();
    // Until the runs have certainly ended, a further successor learns of them, too.
    BOOST_TEST(read_worker_record(worker_record).customers_on_unresponsive_workers.contains("a"));
    advance(40s);
    BOOST_TEST(started("new") == 1U);
}

// Guards against a successor that starts tasks beside a run of a job that ended under its
// predecessor: its demand and its customer are unknown.
BOOST_AUTO_TEST_CASE(a_stray_run_counts_until_it_has_ended) {
    set_cap("a", 60);
    stops_take_time = true;
    running["w1"].push_back({{{"cancelled", 0, 0, 0}, 1}, "", 0});
    become_owner({"w1", "w2"}, 10, record_of({"w1", "w2"}));
    submit("new", 3, 20);
    BOOST_TEST(started("new") == 0U);
    end_run("w1", {{"cancelled", 0, 0, 0}, 1}, run_end::stopped);
    advance(500ms);
    BOOST_TEST(started("new") == 3U);
}

// Pattern: one customer at its cap with thousands of urgent jobs. Guards against others that starve
// behind them, and against calls for advice that nobody can use.
BOOST_AUTO_TEST_CASE(thousands_of_capped_steps_do_not_starve_others) {
    set_cap("a", 10);
    become_owner({"w1", "w2"});
    submit("running", 1, 10);
    for (int i = 0; i < 3000; ++i) {
        auto spec = job("waits" + std::to_string(i), 1, cores, i % 2 == 0 ? "q" : "t");
        spec.customer = "a";
        engine.on_job(now, spec, {}, 11);
    }
    now += 100ms;
    submit("other", 1, 10, "b");
    BOOST_TEST(started("other") == 1U);
    BOOST_TEST(advice.empty());
    BOOST_TEST(engine.waiting().of(wait_cause::cap) == 3000U);
}

// Guards against tickets for more tasks than may start under the cap together.
BOOST_AUTO_TEST_CASE(tickets_are_requested_for_what_may_start) {
    set_cap("a", 20);
    become_owner({"w1", "w2"});
    for (int i = 0; i < 5; ++i) {
        submit("t" + std::to_string(i), 1, 10, "a", false, "t");
    }
    BOOST_TEST(advice.size() == 2U);
}

// Guards against runs that are stopped for a gang that its cap forbids.
BOOST_AUTO_TEST_CASE(nothing_is_preempted_for_a_gang_above_its_cap) {
    auto patient = plain_queue("patient");
    patient.priority = 2;
    patient.slack_factor = 10.0;
    patient.target_ms = 30000;
    engine.on_queues({patient});
    set_cap("a", 50);
    become_owner({"w1", "w2"});
    auto filling = job("fill", 8, 16 * cores, "patient");
    filling.steps[0].checkpointing = true;
    filling.steps[0].estimate_ms = 8000;
    filling.customer = "b";
    engine.on_job(now, filling, {}, 11);
    advance(500ms);
    BOOST_REQUIRE(started("fill") == 8U);
    submit("gang", 2, 30, "a", true);
    advance(500ms);
    BOOST_TEST(stops.empty());
    set_cap("a", 100);
    advance(500ms);
    BOOST_TEST(!stops.empty());
}

// Guards against a job that is accepted and can never run.
BOOST_AUTO_TEST_CASE(an_excess_over_the_cap_is_named) {
    auto spec = job("j", 4, 10 * cores);
    BOOST_TEST(!find_excess_over_cap(spec, {10 * cores, 0, 0}));
    BOOST_TEST(find_excess_over_cap(spec, {9 * cores, 0, 0}).has_value());
    spec.steps[0].gang = true;
    BOOST_TEST(find_excess_over_cap(spec, {39 * cores, 0, 0}).has_value());
    BOOST_TEST(!find_excess_over_cap(spec, {40 * cores, 0, 0}));
    BOOST_TEST(!find_excess_over_cap(spec, {}));
}

BOOST_AUTO_TEST_SUITE_END()
