#define BOOST_TEST_MODULE tracing
#include "core/tracing/job_trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace buckthornspar::tracing;

namespace {

std::string at(const std::string& seconds, const std::string& rest) {
    return "time=2026-09-08T06:16:" + seconds + " level=info process=n1 event=" + rest + "\n";
}

job_trace trace(const std::string& lines) {
    std::istringstream logs(lines);
    return trace_job("aa", logs);
}

const std::string accepted =
    at("10.000000", "call_answered job=aa call=submit outcome=accepted reason=stored");

} // namespace

BOOST_AUTO_TEST_SUITE(job_trace_suite)

// Guards against parsing that stops at spaces or quotes in a field.
BOOST_AUTO_TEST_CASE(quoted_values_are_read) {
    const auto line = parse_line(
        R"(  8.1 n1 time=2026-09-08T06:16:10.643962 level=info event=x reason="a \"b\" c" n=1)");
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(line->field("reason") == "a \"b\" c");
    BOOST_TEST(line->field("n") == "1");
    BOOST_TEST(!parse_line("no line of a log").has_value());
    BOOST_TEST(!parse_line("time=x level=info").has_value());
}

// Guards against ordering the lines of several processes by file instead of by time.
BOOST_AUTO_TEST_CASE(lines_are_ordered_by_time_and_filtered_by_job) {
    const auto result = trace(at("10.500000", "run_ended task=aa.0.0.0 how=succeeded") +
                              at("10.200000", "start task=bb.0.0.0") + accepted +
                              at("10.100000", "start task=aa.0.0.0"));
    BOOST_REQUIRE(result.events.size() == 3U);
    BOOST_TEST(result.events[1].line.event == "start");
    BOOST_TEST(result.longest_us == 400'000);
    BOOST_TEST((result.longest == cause::work));
}

struct failure_case {
    std::string name;
    std::string lines;
    cause longest;
    cause outcome;
};

// Guards against a wrong cause for any kind of failure that callers report.
BOOST_AUTO_TEST_CASE(each_failure_is_reported_with_its_cause) {
    const std::vector<failure_case> cases{
        {"store away",
         at("10.000000",
            "call_answered job=aa call=submit outcome=refused reason=store_unavailable"),
         cause::none, cause::refused},
        {"store without answer",
         at("10.000000",
            "call_answered job=aa call=submit outcome=unknown reason=store_gave_no_answer"),
         cause::none, cause::outcome_unknown},
        {"configuration changed",
         at("10.000000", "call_answered job=aa call=submit outcome=refused reason=no_such_queue"),
         cause::none, cause::refused},
        {"owner change",
         accepted + at("10.100000", "owner_lost reason=fenced") +
             at("12.500000", "owner_begins fence=9") + at("12.600000", "start task=aa.0.0.0"),
         cause::no_owner, cause::none},
        {"full fleet",
         accepted + at("10.050000", "tickets_granted step=aa.0.0.0") +
             at("15.000000", "start task=aa.0.0.0"),
         cause::room, cause::none},
        {"no advice",
         accepted + at("10.010000", "tickets_asked step=aa.0.0.0") +
             at("13.000000", "tickets_granted step=aa.0.0.0"),
         cause::tickets, cause::none},
        {"worker lost",
         accepted + at("10.010000", "start task=aa.0.0.0") +
             at("15.000000", "run_lost task=aa.0.0.0 reason=lease_over"),
         cause::lost_worker, cause::none},
        {"start lost",
         accepted + at("10.010000", "start task=aa.0.0.0") +
             at("15.000000", "start_lost task=aa.0.0.0 reason=lease_over"),
         cause::lost_worker, cause::none},
        {"hopeless job",
         accepted + at("10.010000", "start task=aa.0.0.0") +
             at("11.000000", "run_ended task=aa.0.0.0 how=failed") +
             at("11.000100", "job_ended job=aa state=failed reason=attempts_exhausted"),
         cause::failed_run, cause::attempts},
        {"cancelled",
         accepted + at("12.000000", "job_ended job=aa state=cancelled reason=cancel_request"),
         cause::cancelled, cause::cancelled},
        {"repeated id",
         accepted +
             at("10.300000", "call_answered job=aa call=submit outcome=refused reason=id_conflict"),
         cause::none, cause::refused},
        {"start refused", accepted + at("13.000000", "start_refused task=aa.0.0.0 reason=no_room"),
         cause::start_refused, cause::none}};
    for (const auto& c : cases) {
        BOOST_TEST_CONTEXT(c.name) {
            const auto result = trace(c.lines);
            BOOST_TEST((result.longest == c.longest));
            BOOST_TEST((result.outcome == c.outcome));
        }
    }
}

// Guards against empty output, which would look like a job without problems.
BOOST_AUTO_TEST_CASE(unknown_id_is_reported) {
    std::ostringstream out;
    print_text(trace(at("10.000000", "start task=bb.0.0.0")), out);
    BOOST_TEST(out.str() == "no line names aa\n");
}

BOOST_AUTO_TEST_SUITE_END()
