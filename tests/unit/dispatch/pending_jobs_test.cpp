#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr auto until_lease_is_over = 9s;

job_spec one_task_job() {
    return dispatch_fixture::job("a", 1, 1000);
}

job_spec gang_job() {
    auto spec = dispatch_fixture::job("a", 3, 1000);
    spec.steps[0].gang = true;
    return spec;
}

/// An owner whose workers receive none of its starts until accept_starts is set.
struct lost_starts_fixture : dispatch_fixture {
    lost_starts_fixture() {
        accept_starts = false;
        engine.on_queues({plain_queue()});
        become_owner({"w1"});
    }

    /// Submits the job and returns the first of its starts, none of which gets an answer.
    start_order submit(const job_spec& spec) {
        engine.on_job(now, spec, {}, 11);
        run_until_idle();
        BOOST_REQUIRE(!starts.empty());
        const auto orders = take_starts();
        BOOST_REQUIRE(orders.size() == spec.steps[0].count);
        lose_answers(orders);
        return orders.front();
    }

    /// The calls of these starts, and of the repeats, end without an answer.
    void lose_answers(std::vector<start_order> orders) {
        while (!orders.empty()) {
            now += 100ms;
            for (const auto& order : orders) {
                engine.on_start_result(now, order, {order_status::no_answer, 0});
            }
            run_until_idle();
            orders = take_starts();
        }
    }

    void cut_off(const std::string& worker) {
        unreachable[worker] = true;
        through_peer[worker] = peer_view::silent;
    }

    void be_back(const std::string& worker) {
        unreachable[worker] = false;
        report_from(worker);
        advance(1s);
    }

    void check_pending() const { check_pending(*this); }

    static void check_pending(const dispatch_fixture& owner) {
        BOOST_TEST(pending_of(owner) == 1U);
        BOOST_TEST(!was_shown_as(owner, job_state::running));
    }

    void check_begun() const { check_begun(*this); }

    static void check_begun(const dispatch_fixture& owner) {
        BOOST_TEST(pending_of(owner) == 0U);
        BOOST_TEST(was_shown_as(owner, job_state::running));
    }

    /// Another owner takes over from what this one has stored.
    void hand_over(dispatch_fixture& successor) const {
        successor.now = now;
        successor.engine.on_queues({plain_queue()});
        successor.engine.on_worker(now, report("w1"));
        successor.engine.take_over(now, 20, worker_record);
        successor.engine.on_job(now, one_task_job(), read_progress("a", stored.at("a")), 11);
        successor.run_until_idle();
    }

private:
    [[nodiscard]] static std::size_t pending_of(const dispatch_fixture& owner) {
        const auto& counts = owner.engine.pending_by_queue();
        const auto position = counts.find("q");
        return position == counts.end() ? 0 : position->second;
    }

    [[nodiscard]] static bool was_shown_as(const dispatch_fixture& owner, job_state state) {
        return std::any_of(owner.changes.begin(), owner.changes.end(),
                           [state](const state_change& change) { return change.state == state; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pending_jobs_suite, lost_starts_fixture)

// Guards against a job that is no longer told as pending although its worker was cut off before the
// start arrived (MIXED).
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_lost_with_a_cut_off_worker_stays_pending) {
    static_cast<void>(submit(one_task_job()));
    cut_off("w1");
    advance(until_lease_is_over);
    BOOST_TEST(engine.workers().find("w1")->runs.empty());
    check_pending();
    save();
    be_back("w1");
    check_pending();
}

// Guards against the same when the worker crashes before the start arrives and is back at once.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_lost_in_a_crash_stays_pending) {
    static_cast<void>(submit(one_task_job()));
    crash_worker("w1");
    advance(1s);
    BOOST_TEST((counters.get("starts_lost_total", "reason", "not_listed").value() == 1));
    check_pending();
}

// Guards against the same when the worker withdraws before the start arrives.
BOOST_AUTO_TEST_CASE(a_job_whose_start_is_lost_with_a_leaving_worker_stays_pending) {
    static_cast<void>(submit(one_task_job()));
    auto leaving = report("w1");
    leaving.draining = true;
    engine.on_worker(now, leaving);
    cut_off("w1");
    engine.on_worker_unlisted(now, "w1");
    advance(until_lease_is_over);
    BOOST_TEST(engine.workers().find("w1") == nullptr);
    check_pending();
}

// Guards against the same when the worker answers and does not list the run after its start has
// expired.
BOOST_AUTO_TEST_CASE(a_job_whose_start_has_expired_stays_pending) {
    static_cast<void>(submit(one_task_job()));
    advance(3s);
    BOOST_TEST((counters.get("starts_lost_total", "reason", "not_listed").value() > 0));
    check_pending();
}

// Guards against a gang that is taken for begun because all starts of its members are lost.
BOOST_AUTO_TEST_CASE(a_gang_whose_starts_are_lost_stays_pending) {
    static_cast<void>(submit(gang_job()));
    cut_off("w1");
    advance(until_lease_is_over);
    check_pending();
    save();
    be_back("w1");
    check_pending();
}

// Guards against a gang that is told as pending after a worker has started one of its members.
BOOST_AUTO_TEST_CASE(a_gang_of_which_one_member_has_started_has_begun) {
    const auto order = submit(gang_job());
    running["w1"].push_back({order.run, "", 0});
    advance(100ms);
    check_begun();
}

// Guards against a job that has begun and is told as pending again after its worker is lost.
BOOST_AUTO_TEST_CASE(a_job_that_has_begun_does_not_become_pending_again) {
    const auto order = submit(one_task_job());
    running["w1"].push_back({order.run, "", 0});
    advance(100ms);
    cut_off("w1");
    advance(until_lease_is_over);
    BOOST_TEST(engine.workers().find("w1")->runs.empty());
    check_begun();
}

// Guards against a job that has begun and is told as pending: the answer to its start arrives after
// the run has been given up.
BOOST_AUTO_TEST_CASE(a_late_answer_shows_that_the_job_has_begun) {
    const auto order = submit(one_task_job());
    cut_off("w1");
    advance(until_lease_is_over);
    check_pending();
    engine.on_start_result(now, order, {order_status::accepted, clock_ms()});
    run_until_idle();
    check_begun();
}

// Guards against a job that has begun and is told as pending: the worker lists the end of a run
// that has been given up.
BOOST_AUTO_TEST_CASE(a_late_end_shows_that_the_job_has_begun) {
    const auto order = submit(one_task_job());
    cut_off("w1");
    advance(until_lease_is_over);
    check_pending();
    end_run("w1", order.run, run_end::lapsed);
    be_back("w1");
    check_begun();
}

// Guards against a job that has begun and is told as pending: the worker carries out a start that
// the owner has given up, so that the run is stopped.
BOOST_AUTO_TEST_CASE(a_late_run_shows_that_the_job_has_begun) {
    const auto order = submit(one_task_job());
    cut_off("w1");
    advance(until_lease_is_over);
    check_pending();
    running["w1"].push_back({order.run, "", 0});
    be_back("w1");
    BOOST_TEST(!stops.empty());
    check_begun();
}

// Guards against a next owner that takes a job for begun because its record names a run that was
// ordered (MIXED).
BOOST_AUTO_TEST_CASE(a_next_owner_tells_a_job_whose_start_was_lost_as_pending) {
    const auto order = submit(one_task_job());
    cut_off("w1");
    advance(until_lease_is_over);
    save();
    BOOST_REQUIRE(read_progress("a", stored.at("a")).tasks.at(order.run.task).last_run == 1U);
    dispatch_fixture successor;
    successor.accept_starts = false;
    hand_over(successor);
    check_pending(successor);
}

// Guards against a next owner that tells a job as pending of which a run has ended.
BOOST_AUTO_TEST_CASE(a_next_owner_knows_that_a_job_has_begun) {
    const auto order = submit(one_task_job());
    end_run("w1", order.run, run_end::failed);
    advance(100ms);
    save();
    dispatch_fixture successor;
    successor.accept_starts = false;
    hand_over(successor);
    check_begun(successor);
}

// Guards against lost starts that are counted as lost runs.
BOOST_AUTO_TEST_CASE(lost_starts_and_lost_runs_are_counted_apart) {
    static_cast<void>(submit(one_task_job()));
    auto begun = job("b", 1, 1000);
    const auto order = submit(begun);
    running["w1"].push_back({order.run, "", 0});
    advance(100ms);
    cut_off("w1");
    advance(until_lease_is_over);
    BOOST_TEST((counters.get("starts_lost_total", "reason", "lease_over").value() == 1));
    BOOST_TEST((counters.get("runs_lost_total", "reason", "lease_over").value() == 1));
}

// Guards against the same for a run that only a repeated order has begun.
BOOST_AUTO_TEST_CASE(a_run_that_a_repeated_order_has_begun_is_no_lost_start) {
    const auto order = submit(one_task_job());
    engine.on_start_result(now, order, {order_status::accepted, clock_ms()});
    crash_worker("w1");
    advance(1s);
    BOOST_TEST((counters.get("starts_lost_total", "reason", "not_listed").value() == 0));
    BOOST_TEST((counters.get("runs_lost_total", "reason", "not_listed").value() == 1));
}

// Guards against an owner all of whose starts are lost, and that does not warn of waiting work.
BOOST_AUTO_TEST_CASE(an_owner_is_stalled_while_its_starts_are_lost) {
    advance(5s);
    static_cast<void>(submit(one_task_job()));
    BOOST_TEST(engine.is_stalled(now));
    accept_starts = true;
    advance(3s);
    BOOST_TEST(!engine.is_stalled(now));
}

BOOST_AUTO_TEST_SUITE_END()
