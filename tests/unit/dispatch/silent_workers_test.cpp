#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

/// An owner of the workers w1 to w3, which are all in the instance list. w3 does not answer.
struct owner_with_silent_worker : dispatch_fixture {
    owner_with_silent_worker(std::uint64_t fence, const std::string& record,
                             std::int64_t incarnation = 1000) {
        engine.on_queues({plain_queue()});
        unreachable["w3"] = true;
        incarnations["w3"] = incarnation;
        for (const auto* const id : {"w1", "w2", "w3"}) {
            auto entry = report(id);
            entry.start_time_ms = incarnation_of(id);
            engine.on_worker(now, entry);
        }
        engine.take_over(now, fence, record);
    }

    void advance_and_save(common::duration by) {
        const auto end = now + by;
        while (now < end) {
            save();
            advance(100ms);
        }
        save();
    }

    [[nodiscard]] bool has_started(const std::string& job) const {
        return std::any_of(starts.begin(), starts.end(),
                           [&job](const auto& order) { return order.run.task.job == job; });
    }
};

/// Longer than an owner waits for one of three recorded workers.
constexpr auto wait_is_over = 9s;

} // namespace

BOOST_AUTO_TEST_SUITE(silent_workers_suite)

// Guards against jobs that wait at each change of owner for the same worker, although an earlier
// owner has waited for the end of its leases: with changes more often than that wait they are never
// started (LOST, issue 42).
BOOST_AUTO_TEST_CASE(a_worker_that_an_owner_has_given_up_is_not_waited_for_again) {
    owner_with_silent_worker f(10, record_of({"w1", "w2", "w3"}));
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 5);
    f.advance_and_save(wait_is_over);
    BOOST_REQUIRE(f.has_started("a"));

    auto record = f.worker_record;
    for (const std::uint64_t fence : {20U, 30U}) {
        owner_with_silent_worker next(fence, record);
        next.engine.on_job(next.now, dispatch_fixture::job("b", 1, 1000), {}, fence - 1);
        next.advance_and_save(500ms);
        BOOST_TEST(next.has_started("b"));
        record = next.worker_record;
    }
}

// Guards against the same for jobs that may have had runs on a worker that was already silent under
// the former owner.
BOOST_AUTO_TEST_CASE(a_silent_worker_that_is_settled_is_not_waited_for_again) {
    auto record = read_worker_record(record_of({"w1", "w2", "w3"}));
    record.unresponsive_workers = {"w3"};
    record.jobs_on_unresponsive_workers = {"a"};
    owner_with_silent_worker f(10, write_worker_record(record));
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 5);
    f.advance_and_save(wait_is_over);
    BOOST_REQUIRE(f.has_started("a"));

    owner_with_silent_worker next(20, f.worker_record);
    next.engine.on_job(next.now, dispatch_fixture::job("b", 1, 1000), {}, 15);
    next.advance_and_save(500ms);
    BOOST_TEST(next.has_started("b"));
}

// Guards against runs that are unknown to a successor: a worker that was given up and answers later
// receives no starts before a record is stored that makes the successor wait for it.
BOOST_AUTO_TEST_CASE(a_worker_that_was_given_up_gets_no_start_before_the_next_record) {
    owner_with_silent_worker f(10, record_of({"w1", "w2", "w3"}));
    f.advance_and_save(wait_is_over);
    f.unreachable["w3"] = false;
    f.advance(1500ms);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 3, 40'000), {}, 11);
    f.advance(100ms);
    BOOST_TEST(f.starts.size() == 2U);
    BOOST_TEST(std::none_of(f.starts.begin(), f.starts.end(),
                            [](const auto& order) { return order.worker == "w3"; }));
    f.save();
    f.advance(100ms);
    BOOST_TEST(f.starts.size() == 3U);
    BOOST_TEST(!read_worker_record(f.worker_record).unresponsive_workers.contains("w3"));
}

// Guards against two concurrent runs of a task: the instance list shows the next incarnation of a
// worker, and a start by the former owner that is under way begins there because it has not yet
// answered the successor, whose fence would refuse it (issue 36). Also guards against waiting for
// longer than for a worker that did not restart.
BOOST_AUTO_TEST_CASE(a_listed_restart_does_not_end_the_wait_for_the_worker) {
    auto silent = read_worker_record(record_of({"w1", "w2", "w3"}));
    silent.unresponsive_workers = {"w3"};
    silent.jobs_on_unresponsive_workers = {"a"};
    for (const auto& record : {record_of({"w1", "w2", "w3"}), write_worker_record(silent)}) {
        for (const bool answers : {true, false}) {
            owner_with_silent_worker f(10, record);
            f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 5);
            f.advance_and_save(300ms);
            f.crash_worker("w3");
            f.advance_and_save(2s);
            BOOST_TEST(f.starts.empty());
            if (answers) {
                f.unreachable["w3"] = false;
                f.advance_and_save(1200ms);
            } else {
                f.advance_and_save(wait_is_over - 2300ms);
            }
            BOOST_REQUIRE(f.starts.size() == 1U);
            // Nobody knows which runs the former incarnation had.
            BOOST_TEST(f.starts[0].run.run > 1U);
        }
    }
}

// Guards against jobs that wait for good for a silent worker because each owner is replaced before
// its wait is over and the next one begins it again (LOST, issue 42).
BOOST_AUTO_TEST_CASE(a_wait_that_is_not_over_goes_on_under_the_next_owner) {
    auto silent = read_worker_record(record_of({"w1", "w2", "w3"}));
    silent.unresponsive_workers = {"w3"};
    silent.jobs_on_unresponsive_workers = {"a"};
    for (const auto& first_record : {record_of({"w1", "w2", "w3"}), write_worker_record(silent)}) {
        auto record = first_record;
        common::duration waited{0};
        bool started = false;
        for (std::uint64_t fence = 10; fence <= 40 && !started; fence += 10) {
            owner_with_silent_worker f(fence, record);
            f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 5);
            const auto begun = f.now;
            while (f.now < begun + 4s && !started) {
                f.advance_and_save(100ms);
                started = f.has_started("a");
            }
            waited += f.now - begun;
            record = f.worker_record;
        }
        BOOST_TEST(started);
        // Not before the leases of the first owner are certainly over.
        BOOST_TEST((waited > dispatcher_settings().authority + lease_settings().lease));
    }
}

// Guards against runs that are alive after the wait for their worker is over: an owner that has
// recorded the rest of the wait renews their lease or starts others, and its successor does not
// know that.
BOOST_AUTO_TEST_CASE(a_worker_gets_no_order_while_the_rest_of_its_wait_is_recorded) {
    owner_with_silent_worker f(10, record_of({"w1", "w2", "w3"}));
    f.advance_and_save(3s);
    BOOST_REQUIRE(read_worker_record(f.worker_record).remaining_waits.contains("w3"));
    const auto orders = [](const owner_with_silent_worker& owner) {
        const auto renewals =
            std::count_if(owner.polls.begin(), owner.polls.end(), [](const auto& poll) {
                return poll.worker == "w3" && poll.valid_until_ms > 0;
            });
        const auto starts = std::count_if(owner.starts.begin(), owner.starts.end(),
                                          [](const auto& order) { return order.worker == "w3"; });
        return std::pair(renewals > 0, starts > 0);
    };
    // Neither this owner nor its successor sends one, although the worker answers again.
    owner_with_silent_worker next(20, f.worker_record);
    for (auto* const owner : {&f, &next}) {
        owner->unreachable["w3"] = false;
        owner->polls.clear();
        owner->engine.on_job(owner->now, dispatch_fixture::job("b", 3, 40'000), {}, 21);
        owner->advance(2s);
        BOOST_TEST((orders(*owner) == std::pair(false, false)));
        owner->save();
        BOOST_TEST(read_worker_record(owner->worker_record).remaining_waits.empty());
        owner->advance(1500ms);
        BOOST_TEST((orders(*owner) == std::pair(true, true)));
    }
}

// Guards against a wait that is too short: a new incarnation of the worker may hold runs of other
// owners than the one whose orders the rest of the wait was computed from.
BOOST_AUTO_TEST_CASE(the_rest_of_a_wait_does_not_hold_for_the_next_incarnation) {
    owner_with_silent_worker f(10, record_of({"w1", "w2", "w3"}));
    f.advance_and_save(5s);
    auto record = read_worker_record(f.worker_record);
    BOOST_REQUIRE(record.remaining_waits.contains("w3"));
    for (const bool before_take_over : {false, true}) {
        if (before_take_over) {
            // The instance list shows another incarnation than this one.
            record.workers.back().start_time_ms = 1;
        }
        owner_with_silent_worker next(20, write_worker_record(record));
        next.engine.on_job(next.now, dispatch_fixture::job("a", 1, 1000), {}, 5);
        next.advance_and_save(1s);
        if (!before_take_over) {
            next.crash_worker("w3");
        }
        next.advance_and_save(6s);
        BOOST_TEST(next.starts.empty());
        next.advance_and_save(2s);
        BOOST_TEST(next.starts.size() == 1U);
    }
}

// Guards against a run number that two owners use for different runs: a worker that was silent
// under the first owner is removed or restarts under the second one, which starts nothing and
// stores no progress of the job (found by random_successions_pass, seed 1950).
BOOST_AUTO_TEST_CASE(a_run_number_on_a_silent_worker_that_is_lost_is_not_reused) {
    auto record = read_worker_record(record_of({"w1", "w2", "w3"}));
    record.unresponsive_workers = {"w3"};
    record.jobs_on_unresponsive_workers = {"a"};
    const auto job = dispatch_fixture::job("a", 1, 100'000);
    enum class loss { removed, restarted, restarted_before };
    for (const auto how : {loss::removed, loss::restarted, loss::restarted_before}) {
        record.workers.back().start_time_ms = how == loss::restarted_before ? 1 : 1000;
        owner_with_silent_worker between(10, write_worker_record(record));
        between.engine.on_job(between.now, job, {}, 5);
        if (how == loss::removed) {
            between.engine.on_worker_unlisted(between.now, "w3");
        } else {
            between.unreachable["w3"] = false;
            if (how == loss::restarted) {
                between.crash_worker("w3");
            }
        }
        between.advance_and_save(wait_is_over);
        BOOST_TEST(between.starts.empty());

        owner_with_silent_worker f(20, between.worker_record, between.incarnation_of("w3"));
        f.unreachable["w3"] = false;
        f.engine.on_worker(f.now, dispatch_fixture::report("w1", 200'000));
        f.engine.on_job(f.now, job, {}, 5);
        f.advance_and_save(wait_is_over);
        BOOST_REQUIRE(f.starts.size() == 1U);
        BOOST_TEST(f.starts[0].run.run > 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
