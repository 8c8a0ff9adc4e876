#include "core/routing/request_engine.h"
#include "unit/routing/builders.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>

using namespace buckthornspar;
using namespace buckthornspar::routing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{1s};

struct limits_fixture {
    limits_fixture() : engine(settings(), counters, 1) {
        engine.on_instances({1, {test::make_runner("runner-1", "r", 8)}}, start);
    }

    static engine_settings settings() {
        engine_settings s;
        s.route.setup.entry_id = "entry-1";
        s.route.setup.region = "r";
        s.max_per_caller = 3;
        return s;
    }

    void submit(std::uint64_t key) {
        request r;
        r.key = key;
        r.id = "id-" + std::to_string(key);
        r.service = "s";
        r.caller = "caller";
        r.deadline = start + 10s;
        r.body = std::make_shared<const std::string>();
        engine.submit(std::move(r), start);
    }

    std::size_t refused_for_caller_limit() {
        const auto actions = engine.take_actions();
        return static_cast<std::size_t>(
            std::count_if(actions.begin(), actions.end(), [](const action& a) {
                const auto* answer = std::get_if<caller_answer>(&a);
                return answer != nullptr && answer->reason == refusal_reason::caller_limit;
            }));
    }

    common::counters counters;
    request_engine engine;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_limits_test, limits_fixture)

// Guards against a limit in the configuration that has no effect on requests.
BOOST_AUTO_TEST_CASE(lower_limit_of_the_configuration_applies) {
    engine.set_limits({1, 0.1, 1e6});
    submit(1);
    submit(2);
    BOOST_TEST(refused_for_caller_limit() == 1U);
}

// Guards against a configuration that raises a limit above the one set for this process.
BOOST_AUTO_TEST_CASE(settings_bound_the_configuration) {
    engine.set_limits({100, 0.1, 1e6});
    for (std::uint64_t key = 1; key <= 4; ++key) {
        submit(key);
    }
    BOOST_TEST(refused_for_caller_limit() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
