#include "core/routing/request_engine.h"
#include "unit/routing/builders.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <string>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t runner_slots = 8;

struct early_refusal_fixture {
    early_refusal_fixture() : engine(settings(), counters, 1) {
        engine.on_instances({1, {test::make_runner("runner-1", "r", runner_slots)}}, now);
        collect();
    }

    static engine_settings settings() {
        engine_settings s;
        s.route.setup.entry_id = "entry-1";
        s.route.setup.region = "r";
        return s;
    }

    void submit(std::size_t count, duration deadline,
                request_class priority = request_class::normal) {
        for (std::size_t i = 0; i < count; ++i) {
            request r;
            r.key = ++submitted;
            r.id = "id-" + std::to_string(submitted);
            r.service = "s";
            r.caller = "caller-" + std::to_string(submitted);
            r.priority = priority;
            r.deadline = now + deadline;
            r.body = std::make_shared<const std::string>();
            engine.submit(std::move(r), now);
        }
        collect();
    }

    // Advances the time, then answers the oldest runs.
    void answer(std::size_t count, duration after) {
        now += after;
        engine.tick(now);
        for (std::size_t i = 0; i < count && !runs.empty(); ++i) {
            run_result result;
            result.token = runs.front().token;
            result.kind = run_result_kind::answered;
            result.status = 200;
            result.request_id = runs.front().request_id;
            runs.pop_front();
            engine.on_run_result(std::move(result), now);
        }
        collect();
    }

    void collect() {
        for (auto& a : engine.take_actions()) {
            if (auto* run = std::get_if<run_call>(&a)) {
                runs.push_back(*run);
            }
            const auto* refusal = std::get_if<caller_answer>(&a);
            if (refusal != nullptr && refusal->reason == refusal_reason::deadline_unreachable) {
                ++refused;
            }
        }
    }

    common::counters counters;
    request_engine engine;
    time_point now{1s};
    std::uint64_t submitted = 0;
    std::deque<run_call> runs;
    std::size_t refused = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(early_refusal_test, early_refusal_fixture)

// Guards against refusals when a burst follows a period of low load: the rate of answers then
// reflects the low demand instead of the throughput of the runners.
BOOST_AUTO_TEST_CASE(burst_after_low_load_is_accepted) {
    for (int i = 0; i < 50; ++i) {
        submit(1, 5s);
        answer(1, 20ms);
        now += 80ms;
    }
    submit(120, 5s);
    BOOST_TEST(refused == 0U);
}

// Guards against refusals right after the first answers of a burst, when the rate is not yet known.
BOOST_AUTO_TEST_CASE(first_answers_of_a_burst_refuse_nothing) {
    submit(58, 5s);
    answer(3, 20ms);
    submit(30, 5s);
    BOOST_TEST(refused == 0U);
}

// Guards against an estimate that never refuses: 192 requests of 500 ms in 8 slots take 12 s.
BOOST_AUTO_TEST_CASE(unreachable_deadline_is_refused_at_once) {
    submit(200, 60s);
    for (int i = 0; i < 6; ++i) {
        answer(runner_slots, 500ms);
        submit(runner_slots, 60s);
    }
    BOOST_TEST(refused == 0U);
    submit(1, 5s, request_class::bulk);
    BOOST_TEST(refused == 1U);
    // The earliest deadline goes first within a class, so no request precedes this one.
    submit(1, 5s);
    BOOST_TEST(refused == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
