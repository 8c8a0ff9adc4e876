#include "unit/store/log_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::store;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(snapshot_suite, log_fixture)

namespace {

std::size_t count_parts(const fakes::fake_kv_store& kv) {
    std::size_t parts = 0;
    for (const auto& [key, entry] : kv.entries()) {
        parts += key.find("/part/") != std::string::npos ? 1 : 0;
    }
    return parts;
}

void write_big_snapshot(log_fixture& f, log_client& client, char fill) {
    client.append("x");
    f.run(50ms);
    client.state = std::string(max_log_value_bytes * 2 + 10, fill);
    BOOST_TEST(client.snapshot());
    f.run(100ms);
}

} // namespace

// Guards against values above the store's size limit and against parts that are never deleted.
BOOST_AUTO_TEST_CASE(large_snapshot_is_split_and_old_parts_are_deleted) {
    load_both();
    write_big_snapshot(*this, a, 'p');
    BOOST_TEST(count_parts(kv) == 3U);
    write_big_snapshot(*this, a, 'q');
    BOOST_TEST(count_parts(kv) == 3U);
    BOOST_TEST(a.counts.get("store_value_splits_total").value() == 2);
    b.load();
    run(100ms);
    BOOST_TEST((b.state == std::string(max_log_value_bytes * 2 + 10, 'q')));
}

// Guards against an older snapshot that replaces a newer one.
BOOST_AUTO_TEST_CASE(stale_snapshot_is_superseded) {
    load_both();
    a.append("1");
    run(50ms);
    b.load();
    run(50ms);
    b.path.delay = 100ms;
    BOOST_TEST(b.snapshot());
    a.append("2");
    run(50ms);
    BOOST_TEST(a.snapshot());
    run(2s);
    BOOST_REQUIRE(b.snapshots.size() == 1U);
    BOOST_TEST(!b.snapshots[0].written);
    BOOST_TEST(b.log.covered() == 2U);
    BOOST_TEST(decode_snapshot(kv.entries().at("test/log/snapshot").value).last_included == 2U);
}

// Guards against a snapshot that is reported as not written although only the response was lost.
BOOST_AUTO_TEST_CASE(lost_answer_to_a_snapshot_write_is_resolved) {
    load_both();
    a.append("1");
    run(50ms);
    a.path.lose_answers = true;
    a.snapshot();
    run(100ms);
    a.path.lose_answers = false;
    run(3s);
    BOOST_REQUIRE(a.snapshots.size() == 1U);
    BOOST_TEST(a.snapshots[0].written);
}

// Guards against a snapshot that refers to parts that a concurrent writer has deleted.
BOOST_AUTO_TEST_CASE(concurrent_split_snapshots_leave_a_complete_one) {
    load_both();
    a.append("1");
    run(50ms);
    b.load();
    run(50ms);
    a.state = std::string(max_log_value_bytes + 1, 'a');
    b.state = std::string(max_log_value_bytes + 1, 'b');
    b.path.delay = 30ms;
    b.snapshot();
    run(45ms);
    a.load();
    run(10ms);
    a.snapshot();
    run(5s);
    log_client reader(events, kv, options("reader"));
    reader.load();
    run(100ms);
    BOOST_TEST(reader.log.loaded());
    BOOST_TEST(reader.state.size() == max_log_value_bytes + 1);
    BOOST_TEST(count_parts(kv) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
