#include "core/service/owner_controller.h"

#include "core/dispatch/progress.h"
#include "core/service/store_keys.h"
#include "fakes/fake_platform.h"
#include "unit/service/service_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace buckthornspar::service::test;
using namespace std::chrono_literals;

namespace {

/// The clock of a slow processor: each reading takes time.
class slow_clock final : public common::clock {
public:
    common::time_point now() const override {
        m_lost += step;
        return m_clock.now() + m_lost;
    }
    common::duration step{0};

private:
    common::system_clock m_clock;
    mutable common::duration m_lost{0};
};

struct controller_fixture : service_fixture {
    controller_fixture() {
        dispatcher.cancel_bound = 1000ms;
        dispatcher.drain_bound = 5000ms;
    }

    ~controller_fixture() {
        if (controller) {
            controller->end();
        }
    }

    void become_owner(std::size_t workers) {
        for (std::size_t i = 0; i < workers; ++i) {
            store.apply({{}, {{"w/w" + std::to_string(i), "", 0}}, {}});
        }
        const auto fence = store.apply({{}, {{std::string(owner_key), "{}", 0}}, {}}).revision;
        owner_environment environment{
            loop,
            slow,
            counters,
            monitored,
            health,
            platform,
            directory,
            dispatcher,
            120s,
            "n1",
            [](const std::string&, const dispatch::advice_call&,
               const std::function<void(dispatch::advice_result)>& complete) { complete({}); },
            [](const net::endpoint&, const dispatch::poll_order&,
               const std::function<void(dispatch::poll_result)>& complete) { complete({}); },
            [this](std::string_view reason) { lost = reason; },
            [] {}};
        controller = std::make_shared<owner_controller>(environment, fence);
        dispatch::queue_settings queue;
        queue.name = "q";
        queue.service = "planner";
        queue.max_attempts = 3;
        controller->begin({queue});
        BOOST_REQUIRE(run_until([&] { return controller->loaded(); }));
        run_for(100ms);
    }

    void submit(const std::string& id, std::int64_t cpu_milli) {
        dispatch::job_spec spec;
        spec.id = id;
        spec.queue = "q";
        dispatch::step_spec step;
        step.demand = {cpu_milli, 100, 0};
        step.estimate_ms = 1000;
        spec.steps.push_back(step);
        store.apply({{}, {{job_key(id), dispatch::write_job(spec), 0}}, {}});
    }

    [[nodiscard]] std::size_t starts_of(const std::string& job) const {
        return static_cast<std::size_t>(
            std::count_if(platform.link.starts.begin(), platform.link.starts.end(),
                          [&](const auto& order) { return order.run.task.job == job; }));
    }

    slow_clock slow;
    common::counters counters;
    store_health health{clock};
    monitored_store monitored{store, health};
    fakes::fake_platform platform{loop, store};
    job_directory directory{120s};
    dispatch::dispatcher_settings dispatcher;
    std::shared_ptr<owner_controller> controller;
    std::string lost;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_controller_suite, controller_fixture)

// Pattern: saturated owner. Guards against a plan for every single event, which lets the other
// events wait for seconds when a plan takes longer than the pause between two plans.
BOOST_AUTO_TEST_CASE(events_that_are_ready_together_are_planned_together) {
    become_owner(60);
    // Waits for capacity that no worker has free, so that every plan examines it.
    submit("a", 60'000);
    BOOST_REQUIRE(run_until([&] { return starts_of("a") == 1; }));
    for (int i = 0; i < 60; ++i) {
        submit("b" + std::to_string(i), 60'000);
    }
    run_for(100ms);
    platform.link.hold_polls = true;
    BOOST_REQUIRE(run_until([&] { return platform.link.held_polls() >= 50; }));
    slow.step = 7ms;
    auto& plans = counters.get("plans_total");
    const auto before = plans.value();
    platform.link.release_polls();
    loop.context().poll();
    BOOST_TEST(plans.value() - before <= 3);
}

// Pattern: saturated owner, silent watch. Guards against a stopped task of a cancelled job that is
// started again because the owner's watch of the cancellations is behind (UNASKED).
BOOST_AUTO_TEST_CASE(a_cancelled_job_is_not_restarted_while_the_watch_is_behind) {
    become_owner(3);
    submit("a", 1000);
    BOOST_REQUIRE(run_until([&] { return starts_of("a") == 1; }));
    run_for(100ms);
    store.hold_watches = true;
    store.apply({{}, {{cancel_key("a"), "", 0}}, {}});
    run_for(700ms);
    const auto& first = platform.link.starts.back();
    platform.link.end_run(first.worker, first.run, dispatch::run_end::stopped);
    run_for(900ms);
    BOOST_TEST(starts_of("a") == 1U);
    store.release_watches();
    run_for(300ms);
    BOOST_TEST(starts_of("a") == 1U);
    BOOST_TEST(lost.empty());
}

// Pattern: silent watch. Guards against an owner that takes an unanswered watch of the
// cancellations for an outage of the store, in which none can be accepted (UNASKED): other calls
// are answered.
BOOST_AUTO_TEST_CASE(one_unanswered_watch_is_not_an_outage) {
    become_owner(3);
    submit("a", 1000);
    BOOST_REQUIRE(run_until([&] { return starts_of("a") == 1; }));
    run_for(100ms);
    store.unanswered_watch_prefix = active_prefix;
    // Ends the call that is waiting at the store.
    store.apply({{}, {{std::string(active_prefix) + "other", "", 0}}, {}});
    store.apply({{}, {{cancel_key("a"), "", 0}}, {}});
    run_for(1600ms);
    const auto& first = platform.link.starts.back();
    platform.link.end_run(first.worker, first.run, dispatch::run_end::stopped);
    run_for(1500ms);
    BOOST_TEST(starts_of("a") == 1U);
    BOOST_TEST(lost.empty());
}

// Guards against tasks that wait because the instance list is quiet: its watch is answered often
// enough that the owner's information is never older than starts permit.
BOOST_AUTO_TEST_CASE(a_quiet_instance_list_does_not_delay_starts) {
    dispatcher.cancel_bound = 3000ms;
    dispatcher.drain_bound = 2500ms;
    become_owner(3);
    run_for(2400ms);
    submit("a", 1000);
    BOOST_TEST(run_until([&] { return starts_of("a") == 1; }, 300ms));
}

// Guards against an owner that stops placing during an outage of the store, in which no
// cancellation can be accepted.
BOOST_AUTO_TEST_CASE(placement_goes_on_while_the_store_is_down) {
    become_owner(3);
    submit("a", 1000);
    BOOST_REQUIRE(run_until([&] { return starts_of("a") == 1; }));
    run_for(100ms);
    store.fail_calls = true;
    run_for(1500ms);
    const auto first = platform.link.starts.back();
    platform.link.end_run(first.worker, first.run, dispatch::run_end::stopped);
    BOOST_TEST(run_until([&] { return starts_of("a") == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()
