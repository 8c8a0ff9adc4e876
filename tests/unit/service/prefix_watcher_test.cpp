#include "unit/service/service_fixture.h"

#include "core/service/prefix_watcher.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace buckthornspar::service::test;
using namespace std::chrono_literals;

namespace {

struct watcher_fixture : service_fixture {
    watcher_fixture() {
        prefix_watcher::listener receiver;
        receiver.on_snapshot = [this](const std::vector<dispatch::store_item>& items,
                                      std::uint64_t) {
            ++snapshots;
            known.clear();
            for (const auto& item : items) {
                known[item.key] = item.value;
            }
        };
        receiver.on_events = [this](const std::vector<dispatch::store_event>& events) {
            for (const auto& event : events) {
                if (event.removed) {
                    known.erase(event.item.key);
                } else {
                    known[event.item.key] = event.item.value;
                }
            }
        };
        watcher = std::make_shared<prefix_watcher>(store, loop, watch_settings{"p/", 200ms, 0ms},
                                                   std::move(receiver));
    }

    void put(const std::string& key, const std::string& value) {
        store.apply({{}, {{key, value, 0}}, {}});
    }

    std::shared_ptr<prefix_watcher> watcher;
    std::map<std::string, std::string> known;
    int snapshots = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(prefix_watcher_suite, watcher_fixture)

// Guards against losing changes between the first read and the watch, and against delivering keys
// with another prefix.
BOOST_AUTO_TEST_CASE(changes_arrive_in_order) {
    put("p/a", "1");
    put("q/x", "1");
    watcher->start();
    put("p/a", "2");
    put("p/b", "1");
    BOOST_TEST(run_until([&] { return known["p/a"] == "2" && known["p/b"] == "1"; }));
    store.remove("p/a");
    BOOST_TEST(run_until([&] { return known.count("p/a") == 0; }));
    BOOST_TEST(known.count("q/x") == 0U);
}

// Guards against a stale view after the store has dropped its history.
BOOST_AUTO_TEST_CASE(a_dropped_history_triggers_a_new_read) {
    put("p/a", "1");
    watcher->start();
    BOOST_REQUIRE(run_until([&] { return snapshots == 1; }));
    run_for(20ms);
    watcher->stop();
    watcher = nullptr;
    watcher_fixture late;
    late.put("p/a", "1");
    late.put("p/a", "2");
    late.store.drop_history();
    late.watcher->start_after(1, clock.now());
    BOOST_TEST(late.run_until([&] { return late.known["p/a"] == "2"; }));
    BOOST_TEST(late.snapshots == 1);
    late.watcher->stop();
}

// Pattern: outage of the store, dropped history. Guards against a read that is abandoned between
// two pages: the watch went on from the first page, so that the changes of the dropped history were
// never delivered, among them cancellations and the owner's key.
BOOST_AUTO_TEST_CASE(a_restart_between_two_pages_reads_all_items) {
    put("p/a", "1");
    put("p/b", "1");
    put("p/c", "1");
    store.drop_history();
    store.page_items = 1;
    store.delay = 40ms;
    watcher->start_after(1, clock.now());
    // The refused watch takes 40 ms, the first page 40 ms more.
    run_for(100ms);
    BOOST_REQUIRE(snapshots == 0);
    watcher->restart();
    BOOST_TEST(run_until([&] { return known.size() == 3U; }, 1s));
    BOOST_TEST(snapshots == 1);
    put("p/a", "2");
    BOOST_TEST(run_until([&] { return known["p/a"] == "2"; }, 1s));
    watcher->stop();
}

// Pattern: paused process, busy event loop. Guards against a call whose answer was not handled in
// time being taken for an outage of the store, in which old information is used.
BOOST_AUTO_TEST_CASE(a_failure_that_is_handled_late_shows_no_outage) {
    watcher->start();
    run_for(20ms);
    store.fail_calls = true;
    BOOST_REQUIRE(run_until([&] { return watcher->failing(); }, 2s));
    store.fail_calls = false;
    BOOST_REQUIRE(run_until([&] { return !watcher->failing(); }, 2s));
    run_for(20ms);
    store.fail_calls = true;
    std::this_thread::sleep_for(1400ms);
    run_for(100ms);
    BOOST_TEST(!watcher->failing());
    watcher->stop();
}

// Pattern: silent connection. Guards against information that stays old for the time of one more
// watch call after a failed one, in which counts, starts and calls are refused.
BOOST_AUTO_TEST_CASE(a_watch_is_current_soon_after_a_failed_call) {
    watcher->start();
    run_for(20ms);
    store.fail_calls = true;
    BOOST_REQUIRE(run_until([&] { return watcher->failing(); }, 2s));
    store.fail_calls = false;
    run_for(200ms);
    BOOST_TEST(!watcher->failing());
    BOOST_TEST((watcher->age() < 100ms));
    watcher->stop();
}

// Guards against information that is taken for older, or newer, than the read that brought it.
BOOST_AUTO_TEST_CASE(the_age_counts_from_the_read) {
    run_for(200ms);
    const auto begin = clock.now();
    store.delay = 50ms;
    watcher->start();
    BOOST_REQUIRE(run_until([&] { return snapshots == 1; }));
    BOOST_TEST((watcher->age() >= 50ms));
    BOOST_TEST((watcher->age() <= clock.now() - begin));
    watcher->stop();
}

// Pattern: slow store. Guards against two owners at a time: a read that was answered late brought
// back a former owner's key, so that the owner ended its term and began it a second time.
BOOST_AUTO_TEST_CASE(a_read_answered_late_does_not_bring_back_an_older_state) {
    put("p/a", "1");
    watcher->start();
    BOOST_REQUIRE(run_until([&] { return known["p/a"] == "1"; }));
    run_for(20ms);
    store.delay = 60ms;
    watcher->refresh();
    store.delay = 0ms;
    put("p/a", "2");
    BOOST_REQUIRE(run_until([&] { return known["p/a"] == "2"; }));
    run_for(100ms);
    BOOST_TEST(known["p/a"] == "2");
}

BOOST_AUTO_TEST_SUITE_END()
