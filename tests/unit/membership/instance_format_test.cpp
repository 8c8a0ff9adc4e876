#define BOOST_TEST_MODULE membership
#include "core/common/error.h"
#include "core/membership/instance_format.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::membership;

BOOST_AUTO_TEST_SUITE(instance_format_test)

// Guards against a runner whose slots or service are not parsed, which would leave it unused.
BOOST_AUTO_TEST_CASE(all_fields_are_read) {
    const auto snapshot = read_instances(
        R"({"index":4,"instances":[{"id":"r1","role":"runner","address":"127.0.0.1:9",
        "place":"p","region":"g","rack":"k","state":"leaving","service":"s","slots":8}]})");
    BOOST_TEST(snapshot.index == 4U);
    const auto& i = snapshot.instances.at(0);
    BOOST_TEST((i.role == instance_role::runner && i.state == instance_state::leaving));
    BOOST_TEST(i.slots == 8U);
    BOOST_TEST(i.service == "s");
    BOOST_TEST(i.address.port == 9U);
}

// Guards against a malformed list that is read as empty.
BOOST_AUTO_TEST_CASE(malformed_list_is_an_error) {
    BOOST_CHECK_THROW((void)read_instances("{}"), common::format_error);
    BOOST_CHECK_THROW((void)read_instances("not json"), common::format_error);
    BOOST_CHECK_THROW((void)read_instances(R"({"index":1,"instances":[{"id":"x"}]})"),
                      common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()
