#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

struct ticket_fixture : dispatch_fixture {
    ticket_fixture() {
        engine.on_queues({ticket_queue()});
        become_owner({"w1", "w2", "w3", "w4"});
    }

    void submit(job_spec spec) {
        spec.queue = "t";
        engine.on_job(now, spec, {}, 11);
        advance(20ms, 10ms);
    }

    // Configures a service that takes long for each named worker.
    void use_slow_advice_with_more_workers(int count) {
        for (int i = 0; i < count; ++i) {
            engine.on_worker(now, report("x" + std::to_string(i)));
        }
        settle();
        auto queue = ticket_queue();
        queue.ticket_per_worker_ms = 9;
        engine.on_queues({queue});
    }

    void grant(const std::vector<std::string>& workers, const std::string& ticket = "k") {
        BOOST_REQUIRE(!advice.empty());
        advice_result result;
        result.answered = true;
        for (const auto& id : workers) {
            result.granted.push_back({id, ticket + id});
        }
        engine.on_advice_result(now, advice.back().id, result);
        advance(20ms, 10ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(tickets_suite, ticket_fixture)

// Guards against a start without a ticket for the worker.
BOOST_AUTO_TEST_CASE(a_step_starts_on_granted_workers_with_their_tickets) {
    submit(job("a", 2, 40000));
    BOOST_TEST(starts.empty());
    BOOST_REQUIRE(advice.size() == 1U);
    BOOST_TEST(advice[0].request.workers.size() == 4U);
    grant({"w2", "w4"});
    BOOST_REQUIRE(starts.size() == 2U);
    for (const auto& order : starts) {
        BOOST_TEST((order.worker == "w2" || order.worker == "w4"));
        BOOST_TEST(order.ticket == "k" + order.worker);
    }
}

// Guards against starts with expired tickets, and against repeated requests for refused workers.
BOOST_AUTO_TEST_CASE(expired_tickets_are_renewed_where_capacity_is_free) {
    submit(job("busy", 4, 40000));
    grant({"w1", "w2", "w3", "w4"});
    const auto busy = take_starts();
    BOOST_REQUIRE(busy.size() == 4U);
    submit(job("a", 1, 40000));
    grant({"w1", "w2"});
    BOOST_TEST(starts.empty());
    advance(2s);
    const auto asked = advice.size();
    for (const auto& order : busy) {
        if (order.worker == "w1") {
            end_run("w1", order.run, run_end::succeeded);
        }
    }
    advance(100ms);
    BOOST_TEST(starts.empty());
    BOOST_REQUIRE(advice.size() == asked + 1);
    BOOST_TEST((advice.back().request.workers == std::vector<std::string>{"w1"}));
    grant({"w1"}, "new");
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].ticket == "neww1");
}

// Pattern: most workers are replaced at once. Guards against tasks that wait forever for the few
// granted workers that are left (LOST), which are kept full by others, beside workers with room.
BOOST_AUTO_TEST_CASE(a_task_with_busy_granted_workers_asks_about_new_ones) {
    submit(job("busy", 4, 40000));
    grant({"w1", "w2", "w3", "w4"});
    BOOST_REQUIRE(take_starts().size() == 4U);
    submit(job("a", 1, 40000));
    grant({"w1"});
    advance(2s);
    const auto asked = advice.size();
    engine.on_worker(now, report("x1"));
    engine.on_worker(now, report("x2"));
    settle();
    advance(100ms);
    BOOST_REQUIRE(advice.size() == asked + 1);
    BOOST_TEST(advice.back().request.step.job == "a");
    BOOST_TEST((advice.back().request.workers == std::vector<std::string>{"x1", "x2"}));
    grant({"x2"});
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(starts[0].worker == "x2");
}

// Guards against a request for each waiting task when one worker with room joins a busy fleet: the
// tickets of all but the first would expire unused.
BOOST_AUTO_TEST_CASE(waiting_tasks_ask_about_a_new_worker_only_for_its_room) {
    submit(job("busy", 4, 40000));
    grant({"w1", "w2", "w3", "w4"});
    BOOST_REQUIRE(take_starts().size() == 4U);
    for (const auto* id : {"a1", "a2", "a3"}) {
        submit(job(id, 1, 40000));
        grant({"w1"});
    }
    advance(2s);
    const auto asked = advice.size();
    engine.on_worker(now, report("x1"));
    settle();
    advance(100ms);
    BOOST_REQUIRE(advice.size() == asked + 1);
    BOOST_TEST(advice.back().request.step.job == "a1");
}

// Guards against requests for further workers while a granted one has room, and against requests
// that no room can follow.
BOOST_AUTO_TEST_CASE(a_task_asks_about_no_busy_workers) {
    submit(job("busy", 4, 40000));
    grant({"w1", "w2", "w3", "w4"});
    BOOST_REQUIRE(take_starts().size() == 4U);
    submit(job("a", 1, 40000));
    grant({"w1"});
    const auto asked = advice.size();
    engine.on_worker(now, report("x1", 20000));
    settle();
    advance(2s);
    BOOST_TEST(advice.size() == asked);
}

// Guards against a step that waits forever because its ticket request was lost.
BOOST_AUTO_TEST_CASE(an_unanswered_ticket_request_is_repeated) {
    submit(job("a", 1, 1000));
    BOOST_REQUIRE(advice.size() == 1U);
    engine.on_advice_result(now, advice[0].id, {});
    advance(300ms);
    BOOST_TEST(advice.size() == 2U);
}

// Guards against a wide gang that waits until its few granted workers are empty at the same time
// (many wide gangs at once in a fleet of which a quarter is granted).
BOOST_AUTO_TEST_CASE(a_blocked_gang_requests_tickets_for_further_workers) {
    use_slow_advice_with_more_workers(70);
    auto spec = job("g", 4, 40000);
    spec.steps[0].gang = true;
    submit(spec);
    BOOST_REQUIRE(advice.size() == 1U);
    // Fewer workers are named to a slow service.
    BOOST_TEST(advice[0].request.workers.size() == 60U);
    // Copied because further calls are appended to the same vector.
    const auto named = advice[0].request.workers;
    grant({named[0], named[1], named[2]});
    BOOST_TEST(starts.empty());
    BOOST_REQUIRE(advice.size() == 2U);
    for (const auto& id : advice[1].request.workers) {
        BOOST_TEST((std::find(named.begin(), named.end(), id) == named.end()));
    }
}

// Guards against sequential rounds of ticket requests (wide gangs in a large fleet of which a
// quarter is granted): concurrent calls of different nodes name as many workers as the gang needs.
BOOST_AUTO_TEST_CASE(a_wide_gang_requests_all_needed_tickets_at_once) {
    use_slow_advice_with_more_workers(200);
    auto spec = job("g", 20, 20'000);
    spec.steps[0].gang = true;
    submit(spec);
    // Three members fit on a worker and one worker in four is granted.
    BOOST_REQUIRE(advice.size() >= 2U);
    std::set<std::string> named;
    std::size_t named_count = 0;
    for (const auto& call : advice) {
        BOOST_TEST(call.request.workers.size() <= 60U);
        named.insert(call.request.workers.begin(), call.request.workers.end());
        named_count += call.request.workers.size();
    }
    BOOST_TEST(named.size() == named_count);
    BOOST_TEST(named.size() >= 20U / 3U * 4U);
    // Half of the responses are enough for the gang to start.
    std::vector<ticket_grant> grants;
    for (std::size_t w = 0; w < 8; ++w) {
        grants.push_back({advice[0].request.workers[w], "t"});
    }
    advice_result result;
    result.answered = true;
    result.granted = grants;
    engine.on_advice_result(now, advice[0].id, result);
    run_until_idle();
    BOOST_TEST(starts.size() == 20U);
}

// Guards against a wide gang that never starts because smaller jobs fill each gap (a fleet kept
// full by small jobs), and against capacity that stays unused although a job would end in time.
BOOST_AUTO_TEST_CASE(capacity_is_reserved_for_a_blocked_gang) {
    submit(job("busy", 4, 60000));
    grant({"w1", "w2", "w3", "w4"});
    const auto busy = take_starts();
    BOOST_REQUIRE(busy.size() == 4U);
    auto spec = job("g", 2, 60000);
    spec.steps[0].gang = true;
    submit(spec);
    grant({"w1", "w2"});
    for (const auto& order : busy) {
        if (order.worker == "w1") {
            end_run("w1", order.run, run_end::succeeded);
        }
    }
    advance(100ms);
    auto small = job("s", 1, 60000);
    small.steps[0].estimate_ms = 60'000;
    submit(small);
    grant({"w1"});
    BOOST_TEST(starts.empty());
    for (const auto& order : busy) {
        if (order.worker == "w2") {
            end_run("w2", order.run, run_end::succeeded);
        }
    }
    advance(100ms);
    if (starts.empty()) {
        grant({"w1", "w2"});
    }
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].run.task.job == "g");
}

// Pattern: gangs over a busy fleet. Guards against capacity that is reserved, and idle, while the
// tickets for it are requested: those of a blocked gang stay valid, so that it starts at once.
BOOST_AUTO_TEST_CASE(a_blocked_gang_keeps_its_tickets_valid) {
    submit(job("busy", 8, 30000));
    grant({"w1", "w2", "w3", "w4"});
    const auto busy = take_starts();
    BOOST_REQUIRE(busy.size() == 8U);
    auto spec = job("g", 2, 60000);
    spec.steps[0].gang = true;
    submit(spec);
    grant({"w1", "w2", "w3", "w4"});
    for (int i = 0; i < 5; ++i) {
        const auto asked = advice.size();
        advance(1600ms);
        BOOST_REQUIRE(advice.size() > asked);
        BOOST_TEST(advice.back().request.step.job == "g");
        grant({"w1", "w2", "w3", "w4"}, "new");
    }
    for (const auto& order : busy) {
        end_run(order.worker, order.run, run_end::succeeded);
    }
    advance(40ms, 10ms);
    BOOST_TEST(take_starts().size() == 2U);
}

// Pattern: gangs over a busy fleet of which a quarter is granted. Guards against a gang that waits
// for its busy workers while others have room.
BOOST_AUTO_TEST_CASE(a_gang_with_busy_workers_asks_about_free_ones) {
    use_slow_advice_with_more_workers(70);
    auto spec = job("g", 2, 60000);
    spec.steps[0].gang = true;
    submit(job("busy", 8, 60000));
    const auto named = advice.back().request.workers;
    grant({named.begin(), named.begin() + 8});
    BOOST_REQUIRE(take_starts().size() == 8U);
    submit(spec);
    const auto first = advice.back().request.workers;
    grant({named.begin(), named.begin() + 8});
    const std::size_t asked = advice.size();
    advance(200ms);
    BOOST_REQUIRE(advice.size() >= asked);
    const auto& further = advice.back().request.workers;
    BOOST_TEST(advice.back().request.step.job == "g");
    for (const auto& id : further) {
        BOOST_TEST((std::find(first.begin(), first.end(), id) == first.end()));
    }
}

// Pattern: many blocked gangs. Guards against requests that widen a choice and keep the nodes from
// asking for those that have no tickets at all.
BOOST_AUTO_TEST_CASE(optional_requests_leave_nodes_free) {
    engine.set_requesting_nodes(2);
    submit(job("busy", 8, 30000));
    grant({"w1", "w2", "w3", "w4"});
    BOOST_REQUIRE(take_starts().size() == 8U);
    for (const auto* id : {"g1", "g2", "g3"}) {
        auto spec = job(id, 2, 60000);
        spec.steps[0].gang = true;
        submit(spec);
        grant({"w1", "w2", "w3", "w4"});
    }
    const auto asked = advice.size();
    advance(5s);
    // One node may be occupied by them, and its call is not answered here.
    BOOST_TEST(advice.size() == asked + 1);
}

// Pattern: gangs that break. Guards against a gang that waits for tickets after its members have
// ended: they are requested when the first of them fails.
BOOST_AUTO_TEST_CASE(a_gang_that_breaks_requests_its_tickets_at_once) {
    auto spec = job("g", 3, 60000);
    spec.steps[0].gang = true;
    submit(spec);
    grant({"w1", "w2", "w3", "w4"});
    const auto members = take_starts();
    BOOST_REQUIRE(members.size() == 3U);
    advance(2s);
    const auto asked = advice.size();
    end_run(members[0].worker, members[0].run, run_end::failed);
    advance(60ms, 10ms);
    BOOST_REQUIRE(advice.size() == asked + 1);
    const auto& named = advice.back().request.workers;
    for (const auto& member : {members[1], members[2]}) {
        BOOST_TEST((std::find(named.begin(), named.end(), member.worker) != named.end()));
        end_run(member.worker, member.run, run_end::broken);
    }
    advance(60ms, 10ms);
    BOOST_TEST(take_starts().empty());
    grant(named, "new");
    BOOST_TEST(take_starts().size() == 3U);
}

// Guards against a gang that never starts beside a stream of narrow tasks without tickets (LOST):
// each time that its room is free, all nodes are busy with calls for others.
BOOST_AUTO_TEST_CASE(room_of_a_fitting_gang_is_kept_while_no_node_can_ask) {
    auto urgent = ticket_queue();
    urgent.priority = 0;
    engine.on_queues({urgent, plain_queue("q")});
    submit(job("busy", 4, 60000));
    grant({"w1", "w2", "w3", "w4"});
    const auto busy = take_starts();
    BOOST_REQUIRE(busy.size() == 4U);
    auto spec = job("g", 2, 60000);
    spec.steps[0].gang = true;
    submit(spec);
    grant({"w1", "w2"});
    engine.set_advice_slots({0, 0});
    advance(2s);
    const auto narrow = job("s", 40, 6000, "q");
    engine.on_job(now, narrow, {}, 12);
    advance(100ms);
    for (const auto& order : busy) {
        end_run(order.worker, order.run, run_end::succeeded);
    }
    static_cast<void>(take_starts());
    advance(100ms, 10ms);
    std::size_t on_gang_workers = 0;
    for (const auto& order : take_starts()) {
        on_gang_workers +=
            order.run.task.job == "s" && (order.worker == "w1" || order.worker == "w2");
    }
    BOOST_TEST(on_gang_workers == 0U);
    // A node is free 0.1 s later.
    engine.set_advice_slots({4, 4});
    advance(50ms, 10ms);
    if (!advice.empty() && advice.back().request.step.job == "g") {
        grant({"w1", "w2"});
    }
    advance(100ms, 10ms);
    const auto later = take_starts();
    BOOST_TEST(std::count_if(later.begin(), later.end(),
                             [](const auto& order) { return order.run.task.job == "g"; }) == 2);
}

// Guards against requests that wait for one another when many gangs break at once: they were made
// besides the bound of a plan.
BOOST_AUTO_TEST_CASE(broken_gangs_ask_no_more_than_nodes_can_begin) {
    for (int i = 0; i < 10; ++i) {
        auto spec = job("g" + std::to_string(i), 4, 6000);
        spec.steps[0].gang = true;
        spec.steps[0].max_per_worker = 1;
        submit(spec);
        grant({"w1", "w2", "w3", "w4"});
    }
    const auto started = take_starts();
    BOOST_REQUIRE(started.size() == 40U);
    engine.set_advice_slots({1, 1});
    const auto asked = advice.size();
    for (const auto& order : started) {
        if (order.worker == "w1") {
            end_run("w1", order.run, run_end::failed);
        }
    }
    advance(100ms, 10ms);
    BOOST_TEST(advice.size() - asked <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
