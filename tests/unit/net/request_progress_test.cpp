#include "core/net/request_progress.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::net;
using namespace std::chrono_literals;

namespace {

struct progress_fixture {
    std::optional<refusal_reason> add(const arrived_part& part, std::chrono::milliseconds at) {
        return progress.add(limits, part, begin + at);
    }
    [[nodiscard]] std::chrono::milliseconds deadline() const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(progress.deadline() - begin);
    }

    request_limits limits{1000, 200, 2s, 10s, 100};
    request_progress progress;
    request_progress::time_point begin = request_progress::time_point() + 1h;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_progress_test, progress_fixture)

// Guards against request lines, header fields and trailers that have a limit each, or none.
BOOST_AUTO_TEST_CASE(header_and_trailers_have_one_limit) {
    BOOST_TEST((add({false, 200, 200}, 0ms) == std::nullopt));
    BOOST_TEST((add({false, 201, 201}, 0ms) == refusal_reason::header_too_large));
    progress.reset();
    BOOST_TEST((add({false, 150, 150}, 0ms) == std::nullopt));
    BOOST_TEST((add({true, 600, 50}, 0ms) == std::nullopt));
    BOOST_TEST((add({true, 700, 51}, 0ms) == refusal_reason::header_too_large));
}

// Guards against chunk extensions and tiny chunks that cost many times the body.
BOOST_AUTO_TEST_CASE(chunk_overhead_is_bounded) {
    BOOST_TEST((add({true, 6000, 0}, 0ms) == std::nullopt));
    BOOST_TEST((add({true, 8201, 0}, 0ms) == refusal_reason::chunk_overhead));
}

// Guards against a deadline that moves with each byte of a client that sends one byte a second.
BOOST_AUTO_TEST_CASE(the_deadline_runs_from_the_first_byte) {
    BOOST_TEST((add({false, 1, 1}, 0ms) == std::nullopt));
    BOOST_TEST((deadline() == 2000ms));
    BOOST_TEST((add({false, 2, 2}, 1000ms) == std::nullopt));
    BOOST_TEST((deadline() == 2000ms));
    BOOST_TEST((add({false, 3, 3}, 2000ms) == refusal_reason::too_slow));
}

// Guards against a slow request within the least rate that is refused, and one that takes longer
// than the total time.
BOOST_AUTO_TEST_CASE(bodies_extend_the_deadline_by_the_least_rate) {
    BOOST_TEST((add({true, 100, 0}, 0ms) == std::nullopt));
    BOOST_TEST((deadline() == 2000ms));
    BOOST_TEST((add({true, 500, 0}, 1900ms) == std::nullopt));
    BOOST_TEST((deadline() == 5000ms));
    BOOST_TEST((add({true, 5000, 0}, 4000ms) == std::nullopt));
    BOOST_TEST((deadline() == 10'000ms));
    BOOST_TEST((add({true, 6000, 0}, 10'000ms) == refusal_reason::too_slow));
}

// Guards against a rate that is checked though it is switched off.
BOOST_AUTO_TEST_CASE(without_a_least_rate_the_total_time_holds) {
    limits.min_bytes_per_s = 0;
    BOOST_TEST((add({true, 1, 0}, 0ms) == std::nullopt));
    BOOST_TEST((deadline() == 10'000ms));
}

// Guards against the time of the previous request on the connection.
BOOST_AUTO_TEST_CASE(each_request_has_its_own_time) {
    BOOST_TEST((add({false, 1, 1}, 0ms) == std::nullopt));
    progress.reset();
    BOOST_TEST((add({false, 1, 1}, 5000ms) == std::nullopt));
    BOOST_TEST((deadline() == 7000ms));
}

BOOST_AUTO_TEST_SUITE_END()
