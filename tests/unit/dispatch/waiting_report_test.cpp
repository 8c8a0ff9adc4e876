#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

struct waiting_fixture : dispatch_fixture {
    waiting_fixture() {
        engine.on_queues({plain_queue(), ticket_queue()});
        become_owner({"w1", "w2"});
    }

    void submit(const job_spec& spec, std::uint64_t revision = 11) {
        engine.on_job(now, spec, {}, revision);
        advance(100ms);
    }

    [[nodiscard]] std::string causes() const { return engine.waiting().describe(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(waiting_report_suite, waiting_fixture)

// Guards against jobs that stand without a trace of the reason (LOST on real processes).
BOOST_AUTO_TEST_CASE(the_causes_of_waiting_are_told_apart) {
    BOOST_TEST(causes().empty());
    submit(job("wide", 1, 65'000));
    BOOST_TEST(causes() == "capacity:1");
    submit(job("asked", 1, 1000, "t"));
    BOOST_TEST(causes() == "tickets:1,capacity:1");
    submit(job("dropped", 1, 1000, "no-such-queue"));
    BOOST_TEST(causes() == "unknown_queue:1,tickets:1,capacity:1");
    accept_starts = false;
    submit(job("refused", 1, 1000));
    BOOST_REQUIRE(starts.size() == 1U);
    engine.on_start_result(now, starts[0], {order_status::no_room, clock_ms()});
    now += 10ms;
    run_one_round();
    BOOST_TEST(engine.waiting().of(wait_cause::delayed) == 1U);
}

// Guards against a successor that does not say that it waits for silent workers.
BOOST_AUTO_TEST_CASE(jobs_of_a_former_owner_wait_for_the_recovery) {
    dispatch_fixture successor;
    successor.engine.on_queues({plain_queue()});
    successor.unreachable["w2"] = true;
    successor.engine.on_job(successor.now, job("a", 1, 1000), {}, 11);
    successor.become_owner({"w1", "w2"}, 20, worker_record);
    successor.advance(100ms);
    BOOST_TEST(successor.engine.waiting().of(wait_cause::recovery) == 1U);
}

// Guards against logs that grow with the number of waiting steps.
BOOST_AUTO_TEST_CASE(few_of_many_waiting_steps_are_logged) {
    wait_log_limiter limiter;
    const auto count = [&](common::time_point at) {
        std::size_t admitted = 0;
        for (std::uint32_t i = 0; i < 100; ++i) {
            admitted += limiter.admit({"j", 0, 0, i}, now, at) ? 1U : 0U;
        }
        return admitted;
    };
    BOOST_TEST(count(now + 2400ms) == 0U);
    BOOST_TEST(count(now + 2600ms) == 12U);
    BOOST_TEST(count(now + 2700ms) == 0U);
    BOOST_TEST(count(now + 3700ms) == 12U);
    BOOST_TEST(!limiter.admit({"j", 0, 0, 0}, now, now + 3800ms));
}

// Guards against an owner that never has authority, or that waits for silent workers, without a
// warning (issue 42), and against a line for each check.
BOOST_AUTO_TEST_CASE(a_lasting_state_is_logged_after_a_while_and_then_in_intervals) {
    lasting_state_log log;
    const auto since = now;
    BOOST_TEST(!log.is_due(since, since + 2900ms));
    BOOST_TEST(log.is_due(since, since + 3s));
    BOOST_TEST(!log.is_due(since, since + 7900ms));
    BOOST_TEST(log.is_due(since, since + 8s));
    BOOST_TEST(!log.is_due(since + 9s, since + 14s - 2100ms));
}

// Guards against an owner whose waiting work stands for long without a warning.
BOOST_AUTO_TEST_CASE(an_owner_is_stalled_when_nothing_was_started_for_a_while) {
    submit(job("wide", 1, 65'000));
    BOOST_TEST(!engine.is_stalled(now));
    advance(5s);
    BOOST_TEST(engine.is_stalled(now));
    submit(job("narrow", 1, 1000));
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(!engine.is_stalled(now));
}

// Guards against a reach that counts workers which are not in the stored record.
BOOST_AUTO_TEST_CASE(the_reach_is_counted_over_the_stored_record) {
    for (const auto* const id : {"w3", "w4", "w5"}) {
        engine.on_worker(now, report(id));
    }
    unreachable["w2"] = true;
    advance(3s);
    BOOST_TEST(engine.quorum_reach(now).accepted == 1U);
    BOOST_TEST(engine.quorum_reach(now).workers == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
