#define BOOST_TEST_MODULE config
#include "core/config/configuration.h"

#include "core/config/configuration_error.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::config;

namespace {

const configuration_rules rules{{"service", "batch"}, {"best_fit"}, {"cuyo", "patagonia"}};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_suite)

// Guards against fields that are written but not read, or read but not written.
BOOST_AUTO_TEST_CASE(json_round_trip_keeps_everything) {
    configuration c;
    c.workload_policies.erase("all_at_once");
    c.quotas["vision"] = {1000, 2000, 3};
    c.workload_policies["batch"] = {"best_fit", spread_rule::rack, 9};
    c.worker_exclusions["w1"] = "disk errors";
    c.region_preferences["vision"] = {"patagonia", "cuyo"};
    c.limits[0] = 77;
    configuration read = read_configuration(to_json(c), rules);
    read.workload_policies.erase("all_at_once");
    BOOST_TEST((read == c));
    BOOST_TEST((read_configuration("{}", rules) == configuration{}));
}

// Guards against errors that do not identify the invalid field.
BOOST_AUTO_TEST_CASE(errors_name_type_and_field) {
    struct bad_document {
        const char* json;
        const char* type;
        const char* field;
    };
    const bad_document documents[] = {
        {"{", "not_json", ""},
        {"[]", "wrong_type", ""},
        {R"({"quota":{}})", "unknown_field", "quota"},
        {R"({"quotas":[]})", "wrong_type", "quotas"},
        {R"({"quotas":{"a b":{}}})", "invalid_name", "quotas/a b"},
        {R"({"quotas":{"t":{"cpu_milli":1,"memory_mb":1}}})", "missing_field",
         "quotas/t/accelerators"},
        {R"({"quotas":{"t":{"cpu_milli":-1,"memory_mb":1,"accelerators":0}}})", "out_of_range",
         "quotas/t/cpu_milli"},
        {R"({"quotas":{"t":{"cpu_milli":1e3,"memory_mb":1,"accelerators":0}}})", "wrong_type",
         "quotas/t/cpu_milli"},
        {R"({"quotas":{"t":{"cpu_milli":18446744073709551615,"memory_mb":1,"accelerators":0}}})",
         "out_of_range", "quotas/t/cpu_milli"},
        {R"({"workload_policies":{"x":{}}})", "unknown_field", "workload_policies/x"},
        {R"({"workload_policies":{"batch":{"scorer":"no","spread":"none","max_attempts":1}}})",
         "unknown_value", "workload_policies/batch/scorer"},
        {R"({"workload_policies":{"batch":{"scorer":"best_fit","spread":"x","max_attempts":1}}})",
         "unknown_value", "workload_policies/batch/spread"},
        {R"({"worker_exclusions":{"w":{"reason":7}}})", "wrong_type", "worker_exclusions/w/reason"},
        {R"({"region_preferences":{"t":["cuyo","cuyo"]}})", "unknown_value",
         "region_preferences/t"},
        {R"({"region_preferences":{"t":["mars"]}})", "unknown_value", "region_preferences/t"},
        {R"({"region_preferences":{"t":[]}})", "out_of_range", "region_preferences/t"},
        {R"({"limits":{"speed":1}})", "unknown_field", "limits/speed"},
        {R"({"limits":{"retry_budget_percent":101}})", "out_of_range",
         "limits/retry_budget_percent"},
    };
    for (const auto& document : documents) {
        BOOST_TEST_CONTEXT(document.json) {
            try {
                (void)read_configuration(document.json, rules);
                BOOST_ERROR("accepted");
            } catch (const configuration_error& e) {
                BOOST_TEST(e.type() == document.type);
                BOOST_TEST(e.field() == document.field);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
