#include "format.h"
#include "wire_json.h"

#include "core/common/error.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace buckthornspar;
using namespace buckthornspar::platform;

namespace {

const std::string entry =
    R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"ready","cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000,"new":{"x":1}})";

std::string with(std::string text, const std::string& from, const std::string& to) {
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(format_suite)

// Guards against fields of a worker entry that are misread.
BOOST_AUTO_TEST_CASE(a_worker_entry_is_decoded) {
    const auto report = wire_format().read_worker("i-1", entry);
    BOOST_TEST(report.id == "i-1");
    BOOST_TEST(report.service == "s1");
    BOOST_TEST(net::to_string(report.address) == "10.0.0.9:8080");
    BOOST_TEST(report.rack == "r1-3");
    BOOST_TEST(report.labels.contains("a"));
    BOOST_TEST((report.capacity == placement::resources{16000, 32768, 1}));
    BOOST_TEST(!report.draining);
    BOOST_TEST(report.start_time_ms == 1700000000000);
    BOOST_TEST(report.clock_ms == 482113);
    BOOST_TEST(wire_format().read_worker("i-1", with(entry, "ready", "draining")).draining);
}

// Guards against malformed entries that crash the process or are accepted as workers.
BOOST_AUTO_TEST_CASE(malformed_entries_are_rejected) {
    const wire_format format;
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"\"ready\"", "\"resting\""},
                                                          {"\"ready\"", "7"},
                                                          {"10.0.0.9:8080", "10.0.0.9"},
                                                          {"\"capacity\":{", "\"capacity\":[{"},
                                                          {"16000", "\"many\""},
                                                          {"16000", "-5"},
                                                          {"[\"a\",\"r1-3\"]", "[1,2]"},
                                                          {"\"address\":\"10.0.0.9:8080\",", ""}}) {
        BOOST_TEST_CONTEXT(from << " -> " << to) {
            BOOST_CHECK_THROW(static_cast<void>(format.read_worker("i", with(entry, from, to))),
                              common::format_error);
        }
    }
    BOOST_CHECK_THROW(static_cast<void>(format.read_worker("i", "\xff\xfe")), common::format_error);
    BOOST_CHECK_THROW(static_cast<void>(format.read_worker("i", "[]")), common::format_error);
}

// Guards against an odd entry of another writer that is taken for a worker: its amounts and clocks
// overflow in the sums of the planner, or its orders can never be sent.
BOOST_AUTO_TEST_CASE(odd_entries_name_no_worker) {
    const wire_format format;
    const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
    const std::vector<std::pair<std::string, std::string>> changes{
        {"10.0.0.9:8080", "10.0.0.9:70000"},
        {"10.0.0.9:8080", "10.0.0.9:-1"},
        {"10.0.0.9:8080", "10.0.0.9:0"},
        {"10.0.0.9:8080", "10.0.0.9:80808080808080808080"},
        {"10.0.0.9:8080", "worker.example:8080"},
        {"10.0.0.9:8080", "10.0.0.9\\r\\nX:8080"},
        {"16000", "1e300"},
        {"16000", "-1e300"},
        {"16000", "99999999999999999999"},
        {"16000", "9000000000000000000"},
        {"32768", "18446744073709551615"},
        {"\"gpu\":1", "\"gpu\":1e400"},
        {"1700000000000", "1e300"},
        {"1700000000000", "9000000000000000000"},
        {"1700000000000", "-1"},
        {"482113", "1e300"},
        {"482113", "-5"},
        {"{\"x\":1}", deep},
        {"[\"a\",\"r1-3\"]", deep},
    };
    for (const auto& [from, to] : changes) {
        BOOST_TEST_CONTEXT(from << " -> " << to.substr(0, 60)) {
            BOOST_CHECK_THROW(static_cast<void>(format.read_worker("i", with(entry, from, to))),
                              common::format_error);
        }
    }
    BOOST_CHECK_THROW(static_cast<void>(format.read_worker("i", deep)), common::format_error);
    for (const std::string id : {"", "i\r\nX: y", "i 1", "\xff"}) {
        BOOST_CHECK_THROW(static_cast<void>(format.read_worker(id, entry)), common::format_error);
    }
}

// Guards against a job that differs from the submitted one.
BOOST_AUTO_TEST_CASE(a_submission_is_decoded) {
    const auto job = wire_format().read_submission(
        R"({"spec":"t","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
        R"("affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000,"after":[0],)"
        R"("checkpointing":true,"gang":true,"max_per_server":2,"image":"tiles:4"}]})");
    BOOST_TEST(job.payload == "t");
    BOOST_REQUIRE(job.steps.size() == 2U);
    BOOST_TEST(job.steps[0].count == 4U);
    BOOST_TEST(job.steps[0].demand.cpu_milli == 500);
    BOOST_TEST(job.steps[0].preferred_rack == "r1-3");
    BOOST_TEST((job.steps[1].after == std::vector<std::uint32_t>{0}));
    BOOST_TEST(job.steps[1].gang);
    BOOST_TEST(job.steps[1].checkpointing);
    BOOST_TEST(job.steps[1].max_per_worker == 2U);
    BOOST_TEST(job.steps[0].image.empty());
    BOOST_TEST(job.steps[1].image == "tiles:4");
}

// Guards against malformed submissions that crash the process.
BOOST_AUTO_TEST_CASE(malformed_submissions_are_rejected) {
    const wire_format format;
    for (const std::string body :
         {"", "no json", "[]", "{}", R"({"spec":1,"steps":[]})", R"({"spec":"t","steps":{}})",
          R"({"spec":"t","steps":[1]})", R"({"spec":"t","steps":[{"count":-1}]})",
          R"({"spec":"t","steps":[{"count":1,"after":"x"}]})",
          R"({"spec":"t","steps":[{"count":99999999999999999999}]})"}) {
        BOOST_TEST_CONTEXT(body) {
            BOOST_CHECK_THROW(static_cast<void>(format.read_submission(body)),
                              common::format_error);
        }
    }
    BOOST_CHECK_THROW(
        static_cast<void>(format.read_submission("{\"spec\":\"" + std::string(4001, 'x') +
                                                 "\",\"steps\":[{\"count\":1}]}")),
        common::format_error);
    BOOST_TEST(format.is_job_id("5c0e7a21d94b36f8"));
    BOOST_TEST(!format.is_job_id("5c0e7a21d94b36f"));
    BOOST_TEST(!format.is_job_id("5c0e7a21d94b36fx"));
}

// Guards against queue settings that differ from the operators' configuration.
BOOST_AUTO_TEST_CASE(a_configuration_is_decoded) {
    const auto configuration = wire_format().read_configuration(
        R"({"version":7,"routes":[{"name":"r1","host":"h.example","prefix":"/a/",)"
        R"("target_duration_ms":1200,"priority":1,"service":"s1","max_attempts":3,)"
        R"("slack_factor":2.2,"advice":{"decide_ms":650.0,"each_ms":9.2,"valid_ms":1500}},)"
        R"({"name":"r2","host":"h.example","prefix":"/a/b/","service":"s1"}],"services":[]})");
    BOOST_TEST(configuration.version == 7U);
    BOOST_REQUIRE(configuration.routes.size() == 2U);
    const auto& queue = configuration.routes[0].queue;
    BOOST_TEST(queue.needs_tickets);
    BOOST_TEST(queue.ticket_valid_ms == 1500);
    BOOST_TEST(queue.max_attempts == 3U);
    BOOST_TEST(configuration.find_route("h.example", "/a/b/1")->queue.name == "r2");
    BOOST_TEST(configuration.find_route("h.example:80", "/a/1")->queue.name == "r1");
    BOOST_TEST((configuration.find_route("other.example", "/a/1") == nullptr));
    BOOST_CHECK_THROW(static_cast<void>(wire_format().read_configuration("{}")),
                      common::format_error);
}

// Guards against queues that are open although the configuration has customers, and against a
// damaged entry that takes the others out of force.
BOOST_AUTO_TEST_CASE(customers_are_decoded) {
    const auto configuration = wire_format().read_configuration(
        R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/a/","public":false},)"
        R"({"name":"r2","host":"h","prefix":"/b/","public":true},)"
        R"({"name":"r3","host":"h","prefix":"/c/"}],)"
        R"("tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"weight":81,)"
        R"("cap":{"cpu":12930347,"mem_mb":36443279,"gpu":0}},)"
        R"(5,{"name":"t2","api_keys":"k3"},{"name":"t3","api_keys":["k4"]}]})");
    BOOST_TEST(!configuration.routes[0].open);
    BOOST_TEST(configuration.routes[1].open);
    BOOST_TEST(!configuration.routes[2].open);
    const auto* const customer = configuration.customers.find_by_key("k2");
    BOOST_REQUIRE(customer != nullptr);
    BOOST_TEST(customer->name == "t1");
    BOOST_TEST(customer->weight == 81.0);
    BOOST_TEST((customer->cap == placement::resources{12'930'347, 36'443'279, 0}));
    BOOST_TEST(configuration.customers.find_by_key("k4")->name == "t3");
    BOOST_TEST(configuration.customers.find_by_key("k3") == nullptr);
    BOOST_TEST(configuration.customers.defects().size() == 2U);
    const auto without = wire_format().read_configuration(
        R"({"version":8,"routes":[{"name":"r1","host":"h","prefix":"/a/"}]})");
    BOOST_TEST(without.routes[0].open);
    const auto none_left = wire_format().read_configuration(
        R"({"version":9,"routes":[{"name":"r1","host":"h","prefix":"/a/"}],"tenants":[]})");
    BOOST_TEST(!none_left.routes[0].open);
}

// Guards against values that change in encoding or decoding.
BOOST_AUTO_TEST_CASE(base64_round_trips) {
    for (std::size_t length = 0; length < 40; ++length) {
        std::string bytes;
        for (std::size_t i = 0; i < length; ++i) {
            bytes.push_back(static_cast<char>(i * 37 + length));
        }
        BOOST_TEST((decode_base64(encode_base64(bytes)) == bytes));
    }
    BOOST_TEST(encode_base64("node-1") == "bm9kZS0x");
    BOOST_CHECK_THROW(static_cast<void>(decode_base64("b$9k")), common::format_error);
}

// Guards against limits for callers that are not read, and against a configuration that is refused
// because of odd ones.
BOOST_AUTO_TEST_CASE(limits_of_callers_are_read) {
    const auto limits = wire_format()
                            .read_configuration(R"({"version":1,"routes":[],"limits":{
        "max_body_bytes":5000,"max_header_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":-4}})")
                            .limits;
    BOOST_TEST((limits.max_body_bytes == std::size_t{5000}));
    BOOST_TEST((limits.max_header_bytes == std::size_t{2000}));
    BOOST_TEST((limits.header_timeout == std::chrono::seconds(3)));
    BOOST_TEST(!limits.idle_timeout.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
