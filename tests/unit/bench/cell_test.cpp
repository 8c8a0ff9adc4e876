#define BOOST_TEST_MODULE bench
#include "cell_simulation.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace buckthornspar;
using namespace buckthornspar::bench;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(waiting_model)

namespace {

common::time_point at(common::duration since_start) {
    return common::time_point{since_start};
}

/// Two workers in one rack, each with capacity for one task.
struct small_cell {
    small_cell() : cell(engine) {
        cell.set_delays({1ms, 1ms, 1s, 6s, 1s});
        cell.add_workers(make_workers(2, {cores, gigabytes, 0}, "w"));
        cell.on_start(
            [this](const std::string& task, common::time_point now) { starts.emplace(task, now); });
        cell.on_refusal(
            [this](const std::string& /*task*/, common::time_point /*now*/) { ++refusals; });
        cell.on_cancellation([this](const std::string& task, common::time_point /*now*/) {
            cancelled.push_back(task);
        });
    }

    void add(const std::string& task, common::duration submitted, common::duration run) {
        placement::task_request request;
        request.task = task;
        request.job = task;
        request.team = "team";
        request.demand = {cores, gigabytes, 0};
        request.submitted = at(submitted);
        cell.add_task(request, {run});
    }

    placement::placement_engine engine{placement::placement_settings{}};
    cell_simulation cell;
    /// First start of each task.
    std::map<std::string, common::time_point> starts;
    std::vector<std::string> cancelled;
    std::size_t refusals = 0;
};

} // namespace

// Guards against counting a start on a worker that is down, and against restarting lost tasks
// before the lease of their worker has ended.
BOOST_AUTO_TEST_CASE(tasks_on_a_failed_rack_start_after_the_lease) {
    small_cell c;
    c.add("runs", 0s, 8s);
    c.cell.add_failure(at(5s), failure_extent::rack, 60s);
    c.add("sent", 5500ms, 1s);
    c.cell.run();
    BOOST_TEST((c.starts.at("runs") == at(2ms)));
    BOOST_TEST((c.starts.at("sent") == at(65s + 1ms)));
    BOOST_TEST(c.cell.starts() == 4U);
}

// Guards against accepting submissions during a store outage, and against losing submissions.
BOOST_AUTO_TEST_CASE(submissions_are_refused_and_repeated_while_the_store_is_down) {
    small_cell c;
    store_model store;
    store.down = {at(1s), at(31s)};
    c.cell.set_store(store);
    c.add("before", 0s, 1s);
    c.add("written", 2s, 1s);
    c.add("refused", 2100ms, 1s);
    c.cell.run();
    BOOST_TEST((c.starts.at("before") == at(7ms)));
    BOOST_TEST((c.starts.at("written") == at(31s + 6ms)));
    BOOST_TEST((c.starts.at("refused") > at(31s + 6ms)));
    // Each call times out after 5 s and is repeated 1 s after the refusal.
    BOOST_TEST(c.refusals == 4U);
}

// Guards against decisions without an owner, and against losing task ends that occur in that time.
BOOST_AUTO_TEST_CASE(nothing_starts_without_an_owner) {
    small_cell c;
    c.add("first", 0s, 2s);
    c.add("second", 0s, 2s);
    c.cell.add_owner_loss(at(1s), 4s);
    c.add("third", 1500ms, 1s);
    c.cell.run();
    BOOST_TEST((c.starts.at("third") == at(5s + 1ms)));
}

// Guards against counting a start on a worker that fails the task.
BOOST_AUTO_TEST_CASE(a_worker_that_fails_all_tasks_is_excluded) {
    small_cell c;
    c.cell.add_faulty_worker(at(0s));
    for (int i = 0; i < 20; ++i) {
        c.add("t" + std::to_string(i), 1s, 1s);
    }
    c.cell.run();
    BOOST_TEST(c.starts.size() == 20U);
    BOOST_TEST(c.cell.starts() > 20U);
    BOOST_TEST(c.cell.starts() < 30U);
}

// Guards against cancelling running tasks, and against starting cancelled tasks.
BOOST_AUTO_TEST_CASE(cancellations_affect_only_waiting_tasks) {
    small_cell c;
    for (int i = 0; i < 8; ++i) {
        c.add("t" + std::to_string(i), 0s, 10s);
    }
    c.cell.add_cancellations(at(5s), 3);
    c.cell.run();
    BOOST_TEST(c.cancelled.size() == 2U);
    BOOST_TEST(c.starts.size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
