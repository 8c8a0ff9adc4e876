#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

dispatcher_settings without_learning() {
    dispatcher_settings settings;
    settings.learning = {false, false};
    return settings;
}

/// Four workers, of which the first two run tasks at half the speed.
struct learning_fixture : dispatch_fixture {
    explicit learning_fixture(const dispatcher_settings& settings = {})
        : dispatch_fixture(settings) {
        auto urgent = plain_queue("urgent");
        urgent.priority = 0;
        auto bulk = plain_queue("bulk");
        bulk.slack_factor = 20.0;
        engine.on_queues({plain_queue(), urgent, bulk});
        become_owner({"w0", "w1", "w2", "w3"});
    }

    /// Runs a job with two tasks on each worker and the given duration on it. Fast workers come
    /// first in the placement, so the limit of tasks for each worker spreads them.
    void run_job(std::map<std::string, common::duration> durations,
                 run_end how = run_end::succeeded) {
        auto spec = job("learn" + std::to_string(m_next_job++), 8, 2 * cores);
        spec.steps[0].max_per_worker = 2;
        engine.on_job(now, spec, {}, 11);
        advance(40ms, 10ms);
        auto open = take_starts();
        BOOST_REQUIRE(open.size() == 8U);
        const auto begin = now;
        while (!open.empty()) {
            now += 20ms;
            std::erase_if(open, [&](const start_order& start) {
                if (now < begin + durations[start.worker]) {
                    return false;
                }
                end_run(start.worker, start.run, how);
                return true;
            });
            run_until_idle();
        }
        save();
        advance(300ms);
        starts.clear();
    }

    void learn_slow_workers(run_end how = run_end::succeeded) {
        for (int i = 0; i < 12; ++i) {
            run_job({{"w0", 1000ms}, {"w1", 1000ms}, {"w2", 500ms}, {"w3", 500ms}}, how);
        }
    }

    [[nodiscard]] double log_speed(const std::string& worker) {
        return engine.observer().learnt().log_speed(engine.workers().find(worker)->slot);
    }

    [[nodiscard]] std::set<std::string> workers_of_starts(const std::string& id) {
        std::set<std::string> workers;
        for (const auto& start : starts) {
            if (start.run.task.job == id) {
                workers.insert(start.worker);
            }
        }
        return workers;
    }

private:
    int m_next_job = 0;
};

struct disabled_fixture : learning_fixture {
    disabled_fixture() : learning_fixture(without_learning()) {}
};

/// Tiles slow down billing, as has been observed; each of two workers runs one of them.
struct interference_fixture : learning_fixture {
    interference_fixture() {
        auto& pairs = engine.observer().learnt().pairs();
        const auto billing = pairs.add_kind("billing");
        const auto tiles = learning::set_of(pairs.add_kind("tiles"));
        for (int i = 0; i < 60; ++i) {
            pairs.add(billing, tiles, tiles, 0.4);
            pairs.add(billing, 0, 0, 0.0);
        }
        BOOST_REQUIRE(engine.observer().learnt().has_interference());
    }

    void start(const std::string& id, const std::string& image, std::int64_t cpu_milli,
               std::uint32_t tasks = 1) {
        auto spec = job(id, tasks, cpu_milli);
        spec.steps[0].image = image;
        engine.on_job(now, spec, {}, 11);
        advance(50ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(learning_suite, learning_fixture)

// Load: urgent and patient work at once on a fleet with slow workers. Guards against urgent work
// that waits for slow workers while patient work has the fast ones.
BOOST_AUTO_TEST_CASE(urgent_work_gets_the_fast_workers_and_work_with_slack_the_slow_ones) {
    learn_slow_workers();
    BOOST_TEST(log_speed("w0") < log_speed("w2") - 0.4);
    engine.on_job(now, job("patient", 2, 50 * cores, "bulk"), {}, 11);
    engine.on_job(now, job("tight", 2, 50 * cores, "urgent"), {}, 12);
    advance(100ms);
    BOOST_TEST((workers_of_starts("tight") == std::set<std::string>{"w2", "w3"}));
    BOOST_TEST((workers_of_starts("patient") == std::set<std::string>{"w0", "w1"}));
}

// Load: a gang that fits on two fast workers, or on slow ones as well. Guards against a gang that
// is held at the speed of one slow member.
BOOST_AUTO_TEST_CASE(a_gang_is_placed_on_workers_of_like_speed) {
    learn_slow_workers();
    auto gang = job("gang", 6, 20 * cores);
    gang.steps[0].gang = true;
    engine.on_job(now, gang, {}, 11);
    advance(100ms);
    BOOST_TEST((workers_of_starts("gang") == std::set<std::string>{"w2", "w3"}));
}

// Load: a gang that needs more room than the fast workers have. Guards against a gang that waits
// for fast workers.
BOOST_AUTO_TEST_CASE(a_wide_gang_takes_slow_workers_rather_than_wait) {
    learn_slow_workers();
    auto gang = job("gang", 10, 20 * cores);
    gang.steps[0].gang = true;
    engine.on_job(now, gang, {}, 11);
    advance(100ms);
    BOOST_TEST(starts.size() == 10U);
}

// Load: a gang whose workers the advice service has to grant. Guards against tickets for slow
// workers alone, which leave a gang no choice.
BOOST_AUTO_TEST_CASE(tickets_are_requested_for_fast_workers_first) {
    engine.on_queues({ticket_queue()});
    engine.set_requesting_nodes(4);
    learn_slow_workers();
    engine.on_job(now, job("granted", 2, 50 * cores, "t"), {}, 11);
    advance(50ms);
    BOOST_TEST_REQUIRE(advice.size() == 1U);
    const auto& named = advice[0].request.workers;
    BOOST_TEST_REQUIRE(named.size() == 4U);
    BOOST_TEST((std::set<std::string>{named[0], named[1]} == std::set<std::string>{"w2", "w3"}));
}

// Load: runs that fail late on some workers, as on a worker at fault. Guards against speeds learnt
// from runs that did not do their work.
BOOST_AUTO_TEST_CASE(workers_whose_runs_fail_are_not_taken_for_slow) {
    for (int i = 0; i < 4; ++i) {
        run_job({{"w0", 1000ms}, {"w1", 1000ms}, {"w2", 500ms}, {"w3", 500ms}}, run_end::failed);
        advance(8s, 500ms);
        for (auto& entry : running) {
            for (const auto& open : std::vector<running_run>(entry.second)) {
                end_run(entry.first, open.run, run_end::stopped);
            }
        }
        for (const auto& entry : engine.jobs()) {
            engine.on_cancel(now, entry.first);
        }
        advance(4s, 500ms);
        starts.clear();
    }
    BOOST_TEST(engine.observer().learnt().uneven_workers() == 0U);
}

// Load: a slow worker restarts as another machine. Guards against decisions by the speed of the
// machine that was there before.
BOOST_AUTO_TEST_CASE(a_new_incarnation_is_at_the_common_speed) {
    learn_slow_workers();
    const auto uneven = engine.observer().learnt().uneven_workers();
    BOOST_TEST_REQUIRE(log_speed("w0") != 0.0);
    crash_worker("w0");
    advance(100ms);
    BOOST_TEST(log_speed("w0") == 0.0);
    BOOST_TEST(engine.observer().learnt().uneven_workers() == uneven - 1);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against decisions by learnt speeds where the settings forbid that.
BOOST_FIXTURE_TEST_CASE(disabled_learning_keeps_all_workers_alike, disabled_fixture) {
    learn_slow_workers();
    BOOST_TEST(log_speed("w0") == 0.0);
    BOOST_TEST(!engine.observer().learnt().is_uneven());
}

BOOST_FIXTURE_TEST_SUITE(interference_suite, interference_fixture)

// Load: work that is disturbed, with room beside the work that disturbs and elsewhere. Guards
// against packing both on one worker.
BOOST_AUTO_TEST_CASE(kinds_that_disturb_each_other_are_parted_where_there_is_room) {
    start("t", "tiles", 40 * cores);
    start("b", "billing", 20 * cores);
    BOOST_TEST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].worker != starts[1].worker);
}

// Load: kinds that do not disturb each other. Guards against spreading them over all workers, which
// leaves no room for large tasks.
BOOST_AUTO_TEST_CASE(other_kinds_are_packed_as_before) {
    start("t", "tiles", 40 * cores);
    start("o", "other", 20 * cores);
    BOOST_TEST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].worker == starts[1].worker);
}

// Load: every worker runs work that disturbs. Guards against work that waits although it has room.
BOOST_AUTO_TEST_CASE(kinds_that_disturb_each_other_share_where_there_is_no_other_room) {
    start("t", "tiles", 40 * cores, 4);
    BOOST_TEST_REQUIRE(starts.size() == 4U);
    start("b", "billing", 20 * cores);
    BOOST_TEST(starts.size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
