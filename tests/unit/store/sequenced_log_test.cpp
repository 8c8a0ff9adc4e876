#define BOOST_TEST_MODULE store
#include "unit/store/log_fixture.h"

#include "core/common/error.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::store;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(sequenced_log_suite, log_fixture)

// Guards against records that a follower misses or receives out of order.
BOOST_AUTO_TEST_CASE(appended_records_reach_a_follower) {
    load_both();
    b.log.follow(events.now(), true);
    b.process_actions();
    for (const char* const body : {"x", "y", "z"}) {
        BOOST_TEST((a.append(body) == append_start::started));
        run(50ms);
    }
    BOOST_TEST(a.appends.size() == 3U);
    BOOST_TEST(b.state == "xyz");
    BOOST_TEST(b.gaps == 0);
}

// Guards against two records with the same number.
BOOST_AUTO_TEST_CASE(concurrent_appends_have_one_winner) {
    load_both();
    a.append("a");
    b.append("b");
    run(100ms);
    BOOST_REQUIRE(a.appends.size() == 1U && b.appends.size() == 1U);
    BOOST_TEST((a.appends[0].outcome == append_outcome::written));
    BOOST_TEST((b.appends[0].outcome == append_outcome::conflict));
    BOOST_TEST(b.state == "a");
}

// Guards against a duplicate or lost record when only the response to the write was lost.
BOOST_AUTO_TEST_CASE(lost_answer_is_resolved_by_reading_back) {
    load_both();
    a.path.lose_answers = true;
    a.append("a");
    run(100ms);
    a.path.lose_answers = false;
    run(3s);
    BOOST_REQUIRE(a.appends.size() == 1U);
    BOOST_TEST((a.appends[0].outcome == append_outcome::written));
    BOOST_TEST(kv.entries().size() == 1U);
    BOOST_TEST(a.counts.get("store_lost_answers_settled_total").value() == 1);
}

// Guards against a duplicate record when a write that timed out arrives after its retry.
BOOST_AUTO_TEST_CASE(late_write_and_its_retry_append_one_record) {
    load_both();
    a.path.delay = 2s;
    a.append("a");
    run(100ms);
    a.path.delay = 0ms;
    run(5s);
    b.load();
    run(100ms);
    BOOST_REQUIRE(a.appends.size() == 1U);
    BOOST_TEST((a.appends[0].outcome == append_outcome::written));
    BOOST_TEST(b.state == "a");
}

// Guards against an append that is reported as cancelled although it may still take effect.
BOOST_AUTO_TEST_CASE(cancel_is_refused_once_the_write_may_take_effect) {
    load_both();
    a.path.down = true;
    a.append("never");
    run(100ms);
    while (!a.log.next_wakeup()) {
        run(1ms);
    }
    BOOST_TEST(a.log.cancel_append());
    a.path = {};
    a.path.lose_answers = true;
    a.append("maybe");
    run(1s);
    BOOST_TEST(!a.log.cancel_append());
}

// Guards against reuse of a slot whose record is not yet included in a snapshot.
BOOST_AUTO_TEST_CASE(ring_is_reused_only_after_a_snapshot) {
    load_both();
    for (const char* const body : {"1", "2", "3", "4"}) {
        a.append(body);
        run(50ms);
    }
    BOOST_TEST((a.append("5") == append_start::ring_full));
    BOOST_TEST(a.snapshot());
    run(50ms);
    BOOST_TEST((a.append("5") == append_start::started));
    run(50ms);
    b.load();
    run(50ms);
    BOOST_TEST(b.state == "12345");
    BOOST_TEST(b.log.head() == 5U);
}

// Guards against an overwritten record when a follower does not know the newest snapshot: its head
// is then ahead of the snapshot that it knows by more records than the ring has slots.
BOOST_AUTO_TEST_CASE(follower_without_the_newest_snapshot_finds_it_before_it_appends) {
    load_both();
    b.log.follow(events.now(), true);
    b.process_actions();
    for (int i = 0; i < 6; ++i) {
        if (a.log.remaining_appends() == 0) {
            a.snapshot();
            run(20ms);
        }
        a.append("n");
        run(20ms);
    }
    BOOST_TEST(b.log.head() == 6U);
    BOOST_TEST((b.append("b") == append_start::ring_full));
    BOOST_TEST(b.snapshot());
    run(50ms);
    BOOST_TEST(b.log.covered() == 4U);
    BOOST_TEST((b.append("b") == append_start::started));
    run(50ms);
    a.load();
    run(50ms);
    BOOST_TEST(a.state == "nnnnnnb");
}

// Guards against a backoff pause after a call that has already waited longer than the pause: it
// would delay the first update after a partition.
BOOST_AUTO_TEST_CASE(timed_out_call_is_retried_immediately) {
    const auto begin = events.now();
    a.log.load(begin);
    const auto actions = a.log.take_actions();
    const auto timed_out = begin + 2s;
    a.log.on_response(timed_out, std::get<store_call>(actions.at(0)).id,
                      {kv_status::unavailable, {}, 0});
    BOOST_REQUIRE(a.log.next_wakeup().has_value());
    BOOST_TEST((*a.log.next_wakeup() <= timed_out));
}

// Guards against a call rate that stays high while the log contains a malformed value.
BOOST_AUTO_TEST_CASE(unreadable_log_is_reloaded_with_backoff) {
    (void)kv.apply({kv_operation::put_if, "test/log/slot/1", "not a record", 0, 0, 0ms});
    load_both();
    run(60s);
    BOOST_TEST(!a.log.loaded());
    BOOST_TEST(kv.calls[kv_operation::list] <= 2 * 140U);
}

// Guards against a writer that overwrites newer records after it was paused while the ring wrapped
// around.
BOOST_AUTO_TEST_CASE(paused_writer_cannot_overwrite_newer_records) {
    load_both();
    b.path.delay = 400ms;
    b.append("late");
    for (int i = 0; i < 7; ++i) {
        if (a.log.remaining_appends() == 0) {
            a.snapshot();
            run(20ms);
        }
        a.append("n");
        run(20ms);
    }
    run(5s);
    BOOST_REQUIRE(b.appends.size() == 1U);
    BOOST_TEST((b.appends[0].outcome == append_outcome::conflict));
    BOOST_TEST(b.state == "nnnnnnn");
    BOOST_TEST(b.log.head() == 7U);
}

// Guards against a definite outcome for a write whose response was lost and whose slot has been
// reused since.
BOOST_AUTO_TEST_CASE(outcome_is_undetermined_once_the_slot_is_reused) {
    load_both();
    a.path.lose_answers = true;
    a.append("?");
    run(100ms);
    a.path.down = true;
    b.load();
    run(50ms);
    for (int i = 0; i < 7; ++i) {
        if (b.log.remaining_appends() == 0) {
            b.snapshot();
            run(20ms);
        }
        b.append("b");
        run(20ms);
    }
    a.path = {};
    run(5s);
    BOOST_REQUIRE(a.appends.size() == 1U);
    BOOST_TEST((a.appends[0].outcome == append_outcome::undetermined));
    BOOST_TEST(a.state == "?bbbbbbb");
}

// Guards against calls that are not retried after an outage.
BOOST_AUTO_TEST_CASE(logs_load_after_a_store_outage) {
    kv.faults.down = true;
    load_both();
    run(60s);
    BOOST_TEST(!a.log.loaded());
    BOOST_TEST(!a.log.store_available());
    BOOST_TEST((a.append("x") == append_start::not_loaded));
    kv.faults.down = false;
    run(2s);
    BOOST_TEST(a.log.loaded());
    BOOST_TEST(a.log.store_available());
}

// Guards against a writer that does not learn of another writer's record until it appends, and
// against a check that costs more than one call.
BOOST_AUTO_TEST_CASE(check_of_the_next_slot_finds_a_record_with_one_call) {
    load_both();
    const auto reads = kv.calls[kv_operation::get];
    b.log.check_next(events.now());
    b.process_actions();
    run(100ms);
    BOOST_TEST(kv.calls[kv_operation::get] == reads + 1);
    BOOST_TEST(b.state.empty());
    a.append("x");
    run(100ms);
    b.log.check_next(events.now());
    b.process_actions();
    run(100ms);
    BOOST_TEST(b.state == "x");
}

// Guards against a follower that stops receiving records after a long interruption of its
// connection.
BOOST_AUTO_TEST_CASE(follower_catches_up_after_the_ring_has_wrapped) {
    load_both();
    b.log.follow(events.now(), true);
    b.process_actions();
    b.path.down = true;
    for (int i = 0; i < 10; ++i) {
        if (a.log.remaining_appends() == 0) {
            a.snapshot();
            run(20ms);
        }
        a.append("n");
        run(20ms);
    }
    run(10s);
    BOOST_TEST(b.log.head() < 10U);
    b.path.down = false;
    run(3s);
    BOOST_TEST(b.log.head() == 10U);
    BOOST_TEST(b.state == "nnnnnnnnnn");
}

// Guards against a call rate that grows while the log is idle: the platform contract counts every
// call.
BOOST_AUTO_TEST_CASE(idle_follower_makes_one_call_per_wait) {
    load_both();
    b.log.follow(events.now(), true);
    b.process_actions();
    run(60s);
    BOOST_TEST(kv.calls[kv_operation::watch] <= 14U);
}

// Guards against values that the store would reject.
BOOST_AUTO_TEST_CASE(oversized_record_is_rejected) {
    load_both();
    BOOST_CHECK_THROW((void)a.append(std::string(max_log_value_bytes + 1, 'x')),
                      common::usage_error);
}

// Guards against malformed values that are accepted as records.
BOOST_AUTO_TEST_CASE(malformed_values_are_rejected) {
    for (const char* const value : {"", "record 1 a 1", "record x a 1\n", "snapshot 1 a 1\n",
                                    "record 1 a\nbody", "record 1 a 1 1\n"}) {
        BOOST_CHECK_THROW((void)decode_record(value), common::format_error);
    }
    const log_record record{7, "w", 3, "line\nline 2"};
    BOOST_TEST((decode_record(encode_record(record)) == record));
}

BOOST_AUTO_TEST_SUITE_END()
