#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

struct owner_fixture : dispatch_fixture {
    owner_fixture() {
        engine.on_queues({plain_queue(), ticket_queue()});
        become_owner({"w1", "w2", "w3", "w4"});
    }

    void submit(const job_spec& spec) {
        engine.on_job(now, spec, {}, 11);
        run_until_idle();
    }

    void end_all(run_end how) {
        for (const auto& order : starts) {
            end_run(order.worker, order.run, how);
        }
        starts.clear();
        advance_and_save();
    }

    void advance_and_save() {
        advance(100ms);
        save();
        run_until_idle();
    }

    [[nodiscard]] job_state last_state() const {
        BOOST_REQUIRE(!changes.empty());
        return changes.back().state;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(jobs_suite, owner_fixture)

// Guards against a step that starts before the steps on which it depends have succeeded.
BOOST_AUTO_TEST_CASE(a_step_waits_for_all_tasks_of_earlier_steps) {
    auto spec = job("a", 2, 1000);
    auto second = spec.steps[0];
    second.count = 1;
    second.after = {0};
    spec.steps.push_back(second);
    submit(spec);
    BOOST_REQUIRE(starts.size() == 2U);
    const auto first = take_starts();
    end_run(first[0].worker, first[0].run, run_end::succeeded);
    advance_and_save();
    BOOST_TEST(starts.empty());
    end_run(first[1].worker, first[1].run, run_end::succeeded);
    advance_and_save();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run.task.step == 1U);
    end_all(run_end::succeeded);
    BOOST_TEST((last_state() == job_state::completed));
}

// Guards against a job that is reported as completed before its final record is stored.
BOOST_AUTO_TEST_CASE(a_job_is_completed_once_it_is_recorded) {
    submit(job("a", 1, 1000));
    const auto order = take_starts().at(0);
    end_run(order.worker, order.run, run_end::succeeded);
    advance(100ms);
    BOOST_TEST((last_state() == job_state::running));
    save();
    run_until_idle();
    BOOST_TEST((last_state() == job_state::completed));
    BOOST_TEST(stored.at("a").find("completed") != std::string::npos);
}

// Guards against a worker forgetting an ended run before that end is stored.
BOOST_AUTO_TEST_CASE(ends_are_forgotten_only_after_they_are_recorded) {
    submit(job("a", 1, 1000));
    const auto order = take_starts().at(0);
    end_run(order.worker, order.run, run_end::succeeded);
    polls.clear();
    advance(2s);
    for (const auto& poll : polls) {
        BOOST_TEST(poll.ends_saved == 0U);
    }
    polls.clear();
    save();
    run_until_idle();
    const bool forgotten = std::any_of(polls.begin(), polls.end(), [&](const poll_order& poll) {
        return poll.worker == order.worker && poll.ends_saved == 1;
    });
    BOOST_TEST(forgotten);
}

// Guards against gang members with different run numbers, and against partially started gangs.
BOOST_AUTO_TEST_CASE(a_gang_starts_together_with_one_run_number) {
    auto big = job("big", 4, 40000);
    submit(big);
    BOOST_REQUIRE(take_starts().size() == 4U);
    auto spec = job("g", 3, 30000);
    spec.steps[0].gang = true;
    submit(spec);
    BOOST_TEST(starts.empty());
    for (const auto* const id : {"w1", "w2", "w3"}) {
        const auto runs = running[id];
        for (const auto& item : runs) {
            end_run(id, item.run, run_end::succeeded);
        }
    }
    advance_and_save();
    BOOST_REQUIRE(starts.size() == 3U);
    for (const auto& order : starts) {
        BOOST_TEST(order.run.run == 1U);
    }
    // The success of one member counts for all.
    const auto member = take_starts().at(0);
    end_run(member.worker, member.run, run_end::succeeded);
    advance_and_save();
    BOOST_TEST((last_state() == job_state::completed));
}

// Guards against gang members that resume from different checkpoints, and against a lost
// checkpoint.
BOOST_AUTO_TEST_CASE(a_broken_gang_resumes_from_one_checkpoint) {
    auto spec = job("g", 2, 30000);
    spec.steps[0].gang = true;
    submit(spec);
    const auto first = take_starts();
    BOOST_REQUIRE(first.size() == 2U);
    end_run(first[0].worker, first[0].run, run_end::failed, "c7");
    advance_and_save();
    BOOST_TEST(starts.empty());
    end_run(first[1].worker, first[1].run, run_end::broken, "c7");
    advance_and_save();
    BOOST_REQUIRE(starts.size() == 2U);
    for (const auto& order : starts) {
        BOOST_TEST(order.run.run == 2U);
        BOOST_TEST(order.checkpoint == "c7");
    }
}

// Guards against a task that is started more often than its queue allows, and against a job that
// fails because its runs were lost.
BOOST_AUTO_TEST_CASE(only_failed_runs_count_as_attempts) {
    submit(job("a", 1, 1000));
    for (int i = 0; i < 5; ++i) {
        BOOST_REQUIRE(starts.size() == 1U);
        end_all(run_end::lapsed);
    }
    for (int i = 0; i < 3; ++i) {
        BOOST_REQUIRE(starts.size() == 1U);
        end_all(run_end::failed);
    }
    BOOST_TEST(starts.empty());
    BOOST_TEST((last_state() == job_state::failed));
}

// Guards against tasks of a cancelled job that continue to run or start.
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_stopped) {
    submit(job("a", 6, 60000));
    BOOST_REQUIRE(take_starts().size() == 4U);
    engine.on_cancel(now, "a");
    run_until_idle();
    BOOST_TEST(stops.size() == 4U);
    advance_and_save();
    BOOST_TEST((last_state() == job_state::cancelled));
    advance(2s);
    BOOST_TEST(starts.empty());
    for (const auto& [id, rows] : running) {
        BOOST_TEST(rows.empty());
    }
}

// Guards against overcommitting a worker while its runs are being stopped.
BOOST_AUTO_TEST_CASE(a_run_occupies_capacity_until_its_end_is_listed) {
    submit(job("a", 4, 60000));
    BOOST_REQUIRE(take_starts().size() == 4U);
    engine.on_cancel(now, "a");
    engine.on_job(now, job("b", 1, 60000), {}, 12);
    engine.on_time(now);
    BOOST_TEST(starts.empty());
    for (const auto& [id, worker] : engine.workers().all()) {
        BOOST_TEST(worker.allocated.cpu_milli == 60000);
    }
}

// Guards against more tasks of a step on one worker than the job allows.
BOOST_AUTO_TEST_CASE(max_per_worker_limits_tasks_of_a_step) {
    auto spec = job("a", 6, 1000);
    spec.steps[0].max_per_worker = 1;
    submit(spec);
    BOOST_TEST(starts.size() == 4U);
    std::set<std::string> workers;
    for (const auto& order : starts) {
        workers.insert(order.worker);
    }
    BOOST_TEST(workers.size() == 4U);
}

// Guards against a start on a worker without the label that the step requires.
BOOST_AUTO_TEST_CASE(a_required_label_is_respected) {
    auto special = report("w3");
    special.labels = {"fast"};
    engine.on_worker(now, special);
    auto spec = job("a", 1, 1000);
    spec.steps[0].required_label = "fast";
    submit(spec);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == "w3");
}

// Guards against an occurrence that starts before its scheduled time.
BOOST_AUTO_TEST_CASE(a_scheduled_job_starts_at_its_times) {
    const std::int64_t unix_ms = 1'800'000'000'000;
    engine.on_wall_clock(now, unix_ms);
    auto spec = job("a", 1, 1000);
    spec.schedule = {2, unix_ms + 2000, 3000};
    submit(spec);
    advance(1900ms);
    BOOST_TEST(starts.empty());
    advance(300ms);
    BOOST_TEST(take_starts().size() == 1U);
    advance(2500ms);
    BOOST_TEST(starts.empty());
    advance(600ms);
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run.task.occurrence == 1U);
}

// Guards against new work on a draining worker.
BOOST_AUTO_TEST_CASE(a_draining_worker_gets_no_starts) {
    for (const auto* const id : {"w1", "w2", "w3"}) {
        auto leaving = report(id);
        leaving.draining = true;
        engine.on_worker(now, leaving);
    }
    submit(job("a", 8, 10000));
    BOOST_TEST(starts.size() == 6U);
    for (const auto& order : starts) {
        BOOST_TEST(order.worker == "w4");
    }
}

// Guards against a worker on which every task fails and that attracts more work because it is
// empty.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_everything_is_excluded) {
    submit(job("a", 12, 10000));
    std::set<std::string> failing;
    const auto all = take_starts();
    const auto bad = all[0].worker;
    unsigned failed = 0;
    for (const auto& order : all) {
        if (order.worker == bad) {
            end_run(order.worker, order.run, run_end::failed);
            ++failed;
        }
    }
    BOOST_REQUIRE(failed >= 3U);
    advance_and_save();
    for (const auto& order : starts) {
        BOOST_TEST(order.worker != bad);
    }
}

// Guards against orders of an owner that has been replaced.
BOOST_AUTO_TEST_CASE(a_higher_fence_at_a_worker_is_reported) {
    submit(job("a", 1, 1000));
    const auto order = take_starts().at(0);
    engine.on_start_result(now, order, {order_status::stale_fence, clock_ms()});
    run_until_idle();
    BOOST_TEST(fences.size() == 1U);
}

// Guards against orders of an owner that has lost contact with the majority of workers and may have
// been replaced.
BOOST_AUTO_TEST_CASE(an_owner_without_a_majority_that_does_not_see_its_key_starts_nothing) {
    for (const auto* const id : {"w1", "w2", "w3"}) {
        unreachable[id] = true;
    }
    key_seen = false;
    advance(4s);
    engine.on_job(now, job("a", 1, 1000), {}, 12);
    advance(1s);
    BOOST_TEST(starts.empty());
    unreachable.clear();
    advance(1s);
    BOOST_TEST(starts.size() == 1U);
}

// Guards against running a cancelled job: when the store's history is gone, the owner reads all
// keys again, and the keys of cancel requests come before those of jobs.
BOOST_AUTO_TEST_CASE(a_cancel_read_before_its_job_takes_effect) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.engine.on_cancel(f.now, "a");
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.advance(200ms);
    f.save();
    BOOST_TEST(f.starts.empty());
    BOOST_REQUIRE(!f.saves.empty());
    BOOST_REQUIRE(!f.saves.back().jobs.empty());
    BOOST_TEST(f.saves.back().jobs.back().final);
    BOOST_TEST(f.saves.back().jobs.back().cancelled);
}

// Guards against reserving capacity for a gang at the wrong time: submitters' estimates are off by
// half and more (here a tenth of the actual duration), but workers report the progress.
BOOST_AUTO_TEST_CASE(the_expected_end_follows_the_progress) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    BOOST_REQUIRE(f.starts.size() == 1U);
    const auto started = f.now;
    while (f.now < started + 3s) {
        f.running["w1"][0].percent = static_cast<int>((f.now - started) * 10 / 1s);
        f.advance(200ms);
    }
    const auto& run = f.engine.workers().find("w1")->runs.begin()->second;
    BOOST_TEST((run.expected_end > started + 9s));
    BOOST_TEST((run.expected_end < started + 11s));
}

BOOST_AUTO_TEST_SUITE_END()
