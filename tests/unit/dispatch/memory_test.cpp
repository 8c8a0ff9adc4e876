// The memory of an owner with accepted jobs. All bounds come from the design size: a node spends at
// most 128 MB on control (DEVELOPERS.md).

#define BOOST_TEST_MODULE dispatch_memory
#include <boost/test/unit_test.hpp>

#include "dispatch_fixture.h"
#include "fakes/allocation_count.h"

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t node_limit = std::int64_t{128} << 20U;

/// An owner with two workers of 64 cores.
struct owner_fixture : dispatch_fixture {
    owner_fixture() {
        engine.on_queues({plain_queue()});
        become_owner({"w1", "w2"});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch_memory, owner_fixture)

// Guards against memory for each task of accepted jobs: owners were killed one after the other
// while they loaded 98 jobs of 19,000 tasks (issue 32).
BOOST_AUTO_TEST_CASE(waiting_tasks_use_no_memory) {
    const auto before = buckthornspar::test::allocated_bytes();
    for (int i = 0; i < 98; ++i) {
        engine.on_job(now, job("a" + std::to_string(i), 19'000, 10'000), {}, 20);
    }
    run_until_idle();
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    // Twelve tasks of 10 cores fit.
    BOOST_TEST(starts.size() == 12U);
}

// Guards against run numbers that are used again when runs of a former owner may be unreported, and
// against a state for each task that only says so.
BOOST_AUTO_TEST_CASE(skipped_run_numbers_use_no_memory) {
    dispatch_fixture successor;
    successor.engine.on_queues({plain_queue()});
    successor.engine.on_worker(successor.now, report("w1"));
    const auto before = buckthornspar::test::allocated_bytes();
    // The record names another incarnation of the worker than the one that is there.
    auto former = report("w1");
    former.start_time_ms = 500;
    dispatch::worker_record record;
    record.term = 3;
    record.workers = {former};
    successor.engine.take_over(successor.now, 10, write_worker_record(record));
    for (int i = 0; i < 98; ++i) {
        successor.engine.on_job(successor.now, job("a" + std::to_string(i), 19'000, 10'000), {}, 5);
    }
    for (int round = 0; round < 3; ++round) {
        successor.save();
        successor.advance(2s);
    }
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    BOOST_REQUIRE(!successor.starts.empty());
    for (const auto& order : successor.starts) {
        BOOST_TEST(order.run.run > 4U * 32U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
