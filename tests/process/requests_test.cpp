#define BOOST_TEST_MODULE process_requests
#include "process/cluster.h"
#include "process/execution_log.h"
#include "process/request_driver.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

struct requests_fixture {
    requests_fixture() : c({.workers = 1, .runners = 3, .entries = 2, .schedulers = 1}) {
        BOOST_REQUIRE_MESSAGE(wait_until(
                                  [&] {
                                      const auto id = "warm-" + std::to_string(++warm);
                                      return call({id}).status == 200;
                                  },
                                  10s),
                              c.logs());
    }

    call_result call(const service_call& s, const std::string& entry = "entry-1") {
        return c.http().call(c.at(entry).http, to_request(s));
    }

    // Checks that every caller was told an outcome.
    static void check_outcomes(const std::vector<load_result>& results) {
        for (const auto& r : results) {
            BOOST_TEST(!r.answer.fields.get("X-Outcome").empty(), r.id << ": " << r.answer.failure);
        }
    }

    // Checks that hold for every response, whatever faults the runners have.
    void check_answers(const std::vector<load_result>& results) {
        const auto executions = request_executions(c);
        std::map<std::string, int> runs;
        for (const auto& e : executions) {
            ++runs[e.id];
        }
        for (const auto& r : results) {
            const auto outcome = r.answer.fields.get("X-Outcome");
            if (outcome == "ran" && r.answer.status == 200) {
                BOOST_TEST(r.answer.body == "answer:" + r.body);
                BOOST_TEST(r.answer.fields.get("X-Request-Id", r.id) == r.id);
            }
            if (outcome == "not_run") {
                BOOST_TEST(runs[r.id] == 0, r.id << " was reported as not run");
            }
        }
    }

    cluster c;
    int warm = 0;
};

std::size_t count_status(const std::vector<load_result>& results, unsigned status) {
    std::size_t count = 0;
    for (const auto& r : results) {
        count += r.answer.status == status ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(requests_test, requests_fixture)

// Guards against a response that is incomplete or belongs to another request.
BOOST_AUTO_TEST_CASE(each_caller_receives_the_answer_to_its_own_request) {
    const std::string large(200'000, 'z');
    const auto answer = call({"large", large});
    BOOST_TEST(answer.status == 200U, answer.body.substr(0, 200));
    BOOST_TEST(answer.fields.get("X-Outcome") == "ran");
    BOOST_TEST((answer.body == "answer:" + large));
    request_load load(c, 16, true);
    std::this_thread::sleep_for(2s);
    const auto results = load.stop();
    BOOST_TEST(results.size() > 200U);
    BOOST_TEST(count_status(results, 200) == results.size());
    check_answers(results);
}

// Guards against a planned stop of an entry that aborts requests in flight.
BOOST_AUTO_TEST_CASE(terminated_entry_cuts_off_no_request) {
    request_load load(c, 16, false);
    std::this_thread::sleep_for(1s);
    BOOST_TEST(c.at("entry-1").process.terminate(30s) == 0);
    std::this_thread::sleep_for(500ms);
    const auto results = load.stop();
    for (const auto& r : results) {
        BOOST_TEST(r.answer.status != 0U, r.id << " at " << r.entry << ": " << r.answer.failure);
    }
    check_answers(results);
    BOOST_TEST(repeated_ids(request_executions(c)).empty());
}

// Guards against requests that hang when their runner dies, and against a non-idempotent request
// that is sent to a second runner.
BOOST_AUTO_TEST_CASE(killed_runner_loses_no_answer_and_repeats_no_request) {
    request_load load(c, 16, false);
    std::this_thread::sleep_for(500ms);
    c.at("runner-1").process.kill();
    std::this_thread::sleep_for(4s);
    const auto results = load.stop();
    check_outcomes(results);
    check_answers(results);
    BOOST_TEST(repeated_ids(request_executions(c)).empty());
    const auto after = call({"after", "hello"});
    BOOST_TEST(after.status == 200U, after.body);
}

// Guards against a suspended runner that delays responses beyond the deadline or keeps getting new
// requests, and against a second execution after it resumes.
BOOST_AUTO_TEST_CASE(frozen_runner_delays_no_answer_beyond_the_deadline) {
    request_load load(c, 16, false);
    std::this_thread::sleep_for(500ms);
    c.at("runner-1").process.send_signal(SIGSTOP);
    std::this_thread::sleep_for(5s);
    c.at("runner-1").process.send_signal(SIGCONT);
    std::this_thread::sleep_for(1s);
    const auto results = load.stop();
    check_outcomes(results);
    check_answers(results);
    BOOST_TEST(repeated_ids(request_executions(c)).empty());
}

// Guards against a suspended entry that delays callers of other entries or occupies slots of
// runners, and against a wrong outcome or a second execution if it resumes with requests past their
// deadline.
BOOST_AUTO_TEST_CASE(frozen_entry_affects_only_its_own_callers) {
    request_load frozen(c, 8, false, "entry-1");
    request_load other(c, 8, false, "entry-2");
    std::this_thread::sleep_for(500ms);
    c.at("entry-1").process.send_signal(SIGSTOP);
    std::this_thread::sleep_for(5s);
    c.at("entry-1").process.send_signal(SIGCONT);
    std::this_thread::sleep_for(1s);
    const auto of_frozen = frozen.stop();
    const auto of_other = other.stop();
    BOOST_TEST(of_other.size() > 500U);
    BOOST_TEST(count_status(of_other, 200) == of_other.size());
    BOOST_TEST(of_frozen.size() > 8U);
    check_outcomes(of_frozen);
    check_answers(of_frozen);
    check_answers(of_other);
    BOOST_TEST(repeated_ids(request_executions(c)).empty());
}

// Guards against a lost response after which the entry sends a non-idempotent request again.
BOOST_AUTO_TEST_CASE(lost_answers_are_settled_without_a_second_run) {
    request_load load(c, 8, false);
    for (int i = 0; i < 10; ++i) {
        c.set_faults("runner-" + std::to_string(i % 3 + 1),
                     i % 2 == 0 ? R"({"lose_answers":2})" : R"({"silence_answers":2})");
        std::this_thread::sleep_for(200ms);
    }
    std::this_thread::sleep_for(3s);
    const auto results = load.stop();
    check_answers(results);
    BOOST_TEST(repeated_ids(request_executions(c)).empty());
}

// Guards against a runner that still gets new requests 3 s after the instance list shows it as
// leaving.
BOOST_AUTO_TEST_CASE(leaving_runner_gets_no_new_requests) {
    c.mark_leaving("runner-1");
    std::this_thread::sleep_for(3s);
    const auto before = request_executions(c).size();
    request_load load(c, 16, true);
    std::this_thread::sleep_for(1s);
    const auto results = load.stop();
    BOOST_TEST(count_status(results, 200) == results.size());
    const auto executions = request_executions(c);
    BOOST_TEST(executions.size() > before);
    for (const auto& e : executions) {
        BOOST_TEST((e.target != "runner-1" || !e.id.starts_with("load-")));
    }
}

BOOST_AUTO_TEST_SUITE_END()
