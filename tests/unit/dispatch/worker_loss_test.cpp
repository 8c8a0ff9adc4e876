#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(worker_loss_suite)

// Guards against a task that is lost with a permanently lost worker: unanswered polls must not
// extend the lease.
BOOST_AUTO_TEST_CASE(a_task_of_a_worker_that_is_gone_starts_elsewhere_after_the_lease) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    const auto first = starts[0].worker;
    f.unreachable[first] = true;
    f.engine.on_worker_unlisted(f.now, first);
    // No start while the lease may still be valid on a worker whose clock is 2 % slow.
    f.advance(5900ms);
    BOOST_TEST(f.take_starts().empty());
    f.advance(1500ms);
    starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker != first);
    BOOST_TEST(starts[0].run.run == 2U);
}

// Guards against a run that lapses although its worker responds again in time: the first answered
// poll is followed by one that renews the lease.
BOOST_AUTO_TEST_CASE(a_worker_that_answers_again_gets_its_lease_renewed) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    f.unreachable[worker] = true;
    f.advance(4s);
    f.unreachable[worker] = false;
    f.polls.clear();
    f.advance(1200ms);
    const bool renewed = std::any_of(f.polls.begin(), f.polls.end(), [&](const poll_order& poll) {
        return poll.worker == worker && poll.valid_until_ms > f.clock_ms() + 3000;
    });
    BOOST_TEST(renewed);
    f.advance(8s);
    BOOST_TEST(f.take_starts().empty());
}

// Guards against a second run of a task that has succeeded: an owner that is cut off from the store
// and from a worker takes its runs for lost, while a successor polls the worker and stores their
// ends (issue 36).
BOOST_AUTO_TEST_CASE(runs_of_a_silent_worker_are_not_lost_while_a_successor_may_exist) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3", "w4", "w5"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    f.unreachable[worker] = true;
    f.through_peer[worker] = dispatch_fixture::peer_view::silent;
    f.key_seen = false;
    f.advance(10s);
    BOOST_TEST(f.engine.has_authority(f.now));
    BOOST_TEST(f.take_starts().empty());
    f.key_seen = true;
    f.advance(500ms);
    BOOST_TEST(f.take_starts().size() == 1U);
}

// Guards against two concurrent runs of a task: a former owner that still reaches a few workers
// keeps their runs alive while its successor waits for the end of their leases (issue 36).
BOOST_AUTO_TEST_CASE(an_owner_without_authority_renews_no_lease) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    for (const auto* const other : {"w1", "w2", "w3"}) {
        f.unreachable[other] = other != worker;
    }
    f.key_seen = false;
    f.advance(dispatcher_settings().authority);
    f.polls.clear();
    f.advance(1s);
    const auto polls = std::count_if(f.polls.begin(), f.polls.end(),
                                     [&](const poll_order& poll) { return poll.worker == worker; });
    const auto renewals = std::count_if(f.polls.begin(), f.polls.end(), [](const poll_order& poll) {
        return poll.valid_until_ms > 0;
    });
    BOOST_TEST(polls > 0);
    BOOST_TEST(renewals == 0);
}

// Guards against two concurrent runs of a task: an owner that is cut off from the store with most
// of the workers gives up a worker whose leases its successor renews.
BOOST_AUTO_TEST_CASE(a_silent_worker_is_not_given_up_before_the_key_is_seen_again) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3", "w4", "w5"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    f.unreachable[worker] = true;
    f.through_peer[worker] = dispatch_fixture::peer_view::silent;
    f.key_seen = false;
    f.advance(10s);
    BOOST_TEST(f.starts.empty());
    f.key_seen = true;
    f.advance(1s);
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against a second run of a task that has succeeded: a poll in transit reaches the next
// incarnation of its worker, which forgets the ends of its own runs unread (issue 36).
BOOST_AUTO_TEST_CASE(polls_name_ended_runs_only_until_the_worker_has_forgotten_them) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    f.end_run("w1", f.take_starts().at(0).run, run_end::succeeded);
    f.advance(600ms);
    f.save();
    f.polls.clear();
    f.advance(100ms);
    BOOST_REQUIRE(!f.polls.empty());
    BOOST_TEST(f.polls.front().ends_saved == 1U);
    BOOST_TEST(f.ended["w1"].empty());
    f.polls.clear();
    f.advance(3s);
    BOOST_REQUIRE(!f.polls.empty());
    BOOST_TEST(std::all_of(f.polls.begin(), f.polls.end(),
                           [](const poll_order& poll) { return poll.ends_saved == 0; }));
}

// Guards against losing all work when most of the workers fail at once: while the store shows the
// owner's key, no successor can exist.
BOOST_AUTO_TEST_CASE(an_owner_whose_key_is_seen_renews_leases_without_a_majority) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    for (const auto* const other : {"w1", "w2", "w3"}) {
        f.unreachable[other] = other != worker;
    }
    f.advance(dispatcher_settings().authority);
    f.key_seen = false;
    f.polls.clear();
    f.advance(500ms);
    const auto is_renewal = [](const poll_order& poll) { return poll.valid_until_ms > 0; };
    BOOST_TEST(std::any_of(f.polls.begin(), f.polls.end(), is_renewal));
    f.advance(dispatcher_settings().key_validity);
    f.polls.clear();
    f.advance(500ms);
    BOOST_TEST(std::none_of(f.polls.begin(), f.polls.end(), is_renewal));
}

// Guards against waiting for the lease of a restarted worker, and against two concurrent runs: a
// start in transit may reach the new incarnation until that has answered a stop.
BOOST_AUTO_TEST_CASE(the_tasks_of_a_restarted_worker_start_again_at_once) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    BOOST_REQUIRE(f.take_starts().size() == 1U);
    auto restarted_worker = dispatch_fixture::report("w1");
    restarted_worker.start_time_ms = 2000;
    f.running.clear();
    f.start_time_ms = 2000;
    f.engine.on_worker(f.now, restarted_worker);
    BOOST_TEST(f.take_starts().empty());
    f.advance(100ms);
    BOOST_REQUIRE(f.stops.size() == 1U);
    BOOST_TEST(f.stops[0].run.run == 1U);
    const auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].run.run == 2U);
}

// Guards against two concurrent runs of a task: a poll in transit at a restart carries the end of a
// lease on the former clock, which the new incarnation takes for its longest lease. Runs started
// there would outlast the leases that the owner and its successor count on (issue 36).
BOOST_AUTO_TEST_CASE(a_restarted_worker_is_used_once_no_lease_outlasts_the_grants) {
    dispatcher_settings settings;
    settings.leases.lease = 4s;
    dispatch_fixture f(settings);
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.unreachable["w1"] = true;
    f.advance(dispatcher_settings().idle_poll_interval + 100ms);
    const auto renewal = std::find_if(f.polls.rbegin(), f.polls.rend(), [](const poll_order& poll) {
        return poll.valid_until_ms > 0;
    });
    BOOST_REQUIRE((renewal != f.polls.rend()));
    f.unreachable["w1"] = false;
    f.crash_worker("w1");
    const auto restarted_at = f.now;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.advance(2s);
    BOOST_TEST(f.starts.empty());
    // A delayed poll may still arrive after that; the owner itself counts on its lease.
    BOOST_TEST((f.engine.workers().find("w1")->lease_end > restarted_at + 16s));
    f.advance(2s);
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against the same when the poll in transit is the one that shows the restart.
BOOST_AUTO_TEST_CASE(a_poll_that_shows_a_restart_may_have_granted_the_longest_lease) {
    dispatcher_settings settings;
    settings.leases.lease = 4s;
    dispatch_fixture f(settings);
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.start_time_ms = 2000;
    f.polls.clear();
    while (f.polls.empty()) {
        f.now += 5ms;
        f.run_one_round();
    }
    BOOST_TEST(f.polls.back().valid_until_ms > 0);
    f.report_from("w1");
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    const auto longest = settings.leases.max_lease;
    BOOST_TEST((f.engine.workers().find("w1")->lease_end >= f.now + longest));
    f.advance(longest - settings.leases.lease - 100ms);
    BOOST_TEST(f.starts.empty());
    f.advance(500ms);
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against two concurrent runs of a task: the worker crashes after the repetition of a start
// has arrived, its lease ends and the task runs elsewhere. The first order arrives seconds late, at
// the next incarnation under the same id (review case 1).
BOOST_AUTO_TEST_CASE(an_open_start_of_a_lost_worker_is_stopped_in_its_next_incarnation) {
    for (const bool removed : {false, true}) {
        dispatch_fixture f;
        f.accept_starts = false;
        f.engine.on_queues({dispatch_fixture::plain_queue()});
        f.become_owner({"w1", "w2", "w3"});
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        f.run_until_idle();
        const auto first = f.take_starts().at(0);
        f.accept_starts = true;
        f.now += 400ms;
        f.engine.on_start_result(f.now, first, {order_status::no_answer, 0});
        f.run_until_idle();
        BOOST_REQUIRE(f.take_starts().size() == 1U);
        f.unreachable[first.worker] = true;
        if (removed) {
            f.engine.on_worker_unlisted(f.now, first.worker);
        }
        f.advance(lease_settings().lease + 2s);
        const auto second = f.take_starts();
        BOOST_REQUIRE(second.size() == 1U);
        BOOST_TEST(second[0].worker != first.worker);
        BOOST_TEST((f.engine.workers().find(first.worker) == nullptr) == removed);
        f.stops.clear();
        f.unreachable[first.worker] = false;
        f.crash_worker(first.worker);
        f.advance(100ms);
        BOOST_REQUIRE(f.stops.size() == 1U);
        BOOST_TEST(f.stops[0].worker == first.worker);
        BOOST_TEST((f.stops[0].run == first.run));
        // The stop leaves the run that is at work alone, and is not repeated once it was answered.
        f.advance(2s);
        BOOST_TEST(f.stops.size() == 1U);
        BOOST_TEST(f.is_running(second[0].worker, second[0].run));
        BOOST_TEST(f.take_starts().empty());
        BOOST_TEST(f.engine.workers().find(first.worker)->runs.empty());
    }
}

// Guards against two runs of a task: an end is listed while an order of the run may still arrive,
// and the worker restarts. Also guards against keeping open orders for good.
BOOST_AUTO_TEST_CASE(an_open_start_of_an_ended_run_is_stopped_until_it_cannot_arrive) {
    for (const auto pause : {500ms, 13'000ms}) {
        dispatch_fixture f;
        f.accept_starts = false;
        f.engine.on_queues({dispatch_fixture::plain_queue()});
        f.become_owner({"w1"});
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        f.run_until_idle();
        const auto first = f.take_starts().at(0);
        f.accept_starts = true;
        f.now += 400ms;
        f.engine.on_start_result(f.now, first, {order_status::no_answer, 0});
        f.run_until_idle();
        f.end_run("w1", first.run, run_end::succeeded);
        f.advance(100ms);
        f.save();
        f.advance(pause);
        f.stops.clear();
        f.crash_worker("w1");
        f.advance(100ms);
        const bool may_arrive = pause < lease_settings().order_delay;
        BOOST_TEST(f.stops.size() == (may_arrive ? 1U : 0U));
    }
}

// Guards against a worker that is never used again: it restarts after it was draining, and a poll
// shows the restart before its entry in the instance list does.
BOOST_AUTO_TEST_CASE(a_worker_that_restarts_after_draining_is_used_again) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    auto report = dispatch_fixture::report("w1");
    report.draining = true;
    f.engine.on_worker(f.now, report);
    f.advance(100ms);
    f.save();
    f.start_time_ms = 2000;
    f.advance(dispatcher_settings().idle_poll_interval + 100ms);
    f.save();
    report.draining = false;
    report.start_time_ms = 2000;
    f.engine.on_worker(f.now, report);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.advance(100ms);
    f.save();
    f.advance(100ms);
    BOOST_TEST(f.take_starts().size() == 1U);
}

// Guards against two concurrent runs: an unanswered start occupies capacity and its task is not
// placed elsewhere until the worker can no longer execute it.
BOOST_AUTO_TEST_CASE(a_start_without_an_answer_is_repeated_as_the_same_run) {
    dispatch_fixture f;
    f.accept_starts = false;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 60000), {}, 11);
    f.run_until_idle();
    auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    f.now += 400ms;
    f.engine.on_start_result(f.now, starts[0], {order_status::no_answer, 0});
    f.run_until_idle();
    const auto repeated = f.take_starts();
    BOOST_REQUIRE(repeated.size() == 1U);
    BOOST_TEST((repeated[0].run == starts[0].run));
    BOOST_TEST(repeated[0].worker == starts[0].worker);
    const auto* const worker = f.engine.workers().find(starts[0].worker);
    BOOST_TEST(worker->allocated.cpu_milli == 60000);
    // A refusal of the repeated order proves nothing about the first one.
    f.engine.on_start_result(f.now, repeated[0], {order_status::no_ticket, f.clock_ms()});
    f.advance(500ms);
    BOOST_TEST(f.take_starts().empty());
    BOOST_TEST(worker->allocated.cpu_milli == 60000);
    f.advance(2s);
    BOOST_TEST(f.take_starts().size() == 1U);
}

// Guards against repeating work: the next run resumes from the checkpoint that a worker reported
// before it became unreachable.
BOOST_AUTO_TEST_CASE(the_checkpoint_of_a_lost_run_is_kept) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    auto spec = dispatch_fixture::job("a", 1, 1000);
    spec.steps[0].checkpointing = true;
    f.engine.on_job(f.now, spec, {}, 11);
    f.advance(100ms);
    const auto first = f.take_starts();
    BOOST_REQUIRE(first.size() == 1U);
    f.running[first[0].worker][0].checkpoint = "saved";
    f.advance(1s);
    f.unreachable[first[0].worker] = true;
    f.advance(lease_settings().lease + 2s);
    const auto second = f.take_starts();
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].checkpoint == "saved");
}

// Guards against idle workers while many jobs that can never succeed fail on them: failures that
// end together exclude the worker once, instead of each doubling the exclusion.
BOOST_AUTO_TEST_CASE(failures_that_end_together_exclude_once) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("hopeless", 6, 1000), {}, 11);
    f.advance(100ms);
    for (const auto& start : f.take_starts()) {
        f.end_run("w1", start.run, run_end::failed);
    }
    f.advance(300ms);
    f.engine.on_job(f.now, dispatch_fixture::job("b", 1, 1000), {}, 12);
    f.advance(dispatcher_settings().exclusion + 200ms);
    const auto starts = f.take_starts();
    BOOST_TEST(std::any_of(starts.begin(), starts.end(),
                           [](const auto& start) { return start.run.task.job == "b"; }));
}

// Pattern: full link of the owner. Guards against a task that runs twice because the end of its run
// has not reached the owner: the worker's reports show that it is alive.
BOOST_AUTO_TEST_CASE(a_run_on_a_worker_that_still_reports_is_not_repeated) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto started = f.take_starts();
    BOOST_REQUIRE(started.size() == 1U);
    const auto worker = started[0].worker;
    f.unreachable[worker] = true;
    f.end_run(worker, started[0].run, run_end::succeeded);
    for (int second = 0; second < 20; ++second) {
        f.advance(1s);
        f.report_from(worker);
    }
    BOOST_TEST(f.take_starts().empty());
    f.unreachable[worker] = false;
    f.advance(2s);
    f.save();
    f.advance(1s);
    BOOST_TEST(f.take_starts().empty());
    BOOST_TEST(f.engine.jobs().empty());
}

// Pattern: cut between the owner and a worker that other nodes reach. Guards against runs that are
// given up: their ends are read and their lease is renewed through another node.
BOOST_AUTO_TEST_CASE(a_worker_that_only_others_reach_is_polled_through_them) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 2, 1000), {}, 11);
    f.run_until_idle();
    const auto started = f.take_starts();
    BOOST_REQUIRE(started.size() == 2U);
    const auto worker = started[0].worker;
    f.unreachable[worker] = true;
    f.through_peer[worker] = dispatch_fixture::peer_view::answers;
    f.advance(2s);
    f.polls.clear();
    f.advance(10s);
    BOOST_TEST(std::any_of(f.polls.begin(), f.polls.end(), [&](const poll_order& poll) {
        return poll.worker == worker && poll.valid_until_ms > f.clock_ms();
    }));
    BOOST_TEST(f.take_starts().empty());
    f.end_run(worker, started[0].run, run_end::succeeded);
    f.advance(3s);
    BOOST_TEST(f.engine.jobs().at("a").occurrences.at(0).steps[0].succeeded == 1U);
    // No new work goes there, because starts would not arrive.
    f.engine.on_job(f.now, dispatch_fixture::job("b", 3, 60000), {}, 12);
    f.advance(1s);
    for (const auto& start : f.take_starts()) {
        BOOST_TEST(start.worker != worker);
    }
}

// Pattern: workers cut off from all nodes. Guards against tasks that wait for a worker although
// another node confirms that it is silent, and against a restart before the lease is over.
BOOST_AUTO_TEST_CASE(a_silence_that_another_node_confirms_ends_with_the_lease) {
    dispatch_fixture f;
    f.engine.on_queues({dispatch_fixture::plain_queue()});
    f.become_owner({"w1", "w2", "w3"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.run_until_idle();
    const auto worker = f.take_starts().at(0).worker;
    f.unreachable[worker] = true;
    f.through_peer[worker] = dispatch_fixture::peer_view::silent;
    for (int i = 0; i < 5; ++i) {
        f.advance(1s);
        f.report_from(worker);
    }
    BOOST_TEST(f.take_starts().empty());
    f.advance(2500ms);
    const auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker != worker);
}

// Guards against tasks that wait for good for a worker that reports to the instance list but does
// not answer, or answers with an error, when no other node can confirm its silence (LOST, issue
// 42).
BOOST_AUTO_TEST_CASE(a_worker_that_only_reports_is_not_waited_for_without_a_bound) {
    for (const auto status : {order_status::no_answer, order_status::unhealthy}) {
        dispatch_fixture f;
        f.engine.on_queues({dispatch_fixture::plain_queue()});
        f.become_owner({"w1", "w2", "w3"});
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        f.run_until_idle();
        const auto worker = f.take_starts().at(0).worker;
        f.unreachable[worker] = true;
        f.unreachable_status = status;
        for (int second = 0; second < 45; ++second) {
            f.advance(1s);
            f.report_from(worker);
        }
        const auto starts = f.take_starts();
        BOOST_REQUIRE(starts.size() == 1U);
        BOOST_TEST(starts[0].worker != worker);
    }
}

// Guards against work that stands although workers are free (LOST): while the tasks of some jobs
// failed wherever they started, all workers were excluded.
BOOST_AUTO_TEST_CASE(failing_jobs_do_not_exclude_all_workers) {
    dispatch_fixture f;
    auto queue = dispatch_fixture::plain_queue();
    queue.max_attempts = 100;
    f.engine.on_queues({queue});
    f.become_owner({"w1", "w2", "w3", "w4", "w5", "w6"});
    f.engine.on_job(f.now, dispatch_fixture::job("bad", 30, 10'000), {}, 11);
    for (int round = 0; round < 60; ++round) {
        f.advance(50ms, 10ms);
        for (const auto& order : f.take_starts()) {
            f.end_run(order.worker, order.run, run_end::failed);
        }
        f.save();
    }
    f.engine.on_job(f.now, dispatch_fixture::job("good", 4, 10'000), {}, 12);
    std::size_t good = 0;
    for (int round = 0; round < 20; ++round) {
        f.advance(50ms, 10ms);
        for (const auto& order : f.take_starts()) {
            good += order.run.task.job == "good" ? 1 : 0;
            f.end_run(order.worker, order.run,
                      order.run.task.job == "good" ? run_end::succeeded : run_end::failed);
        }
        f.save();
    }
    BOOST_TEST(good == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
