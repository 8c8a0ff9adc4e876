#include "core/common/settings.h"

#include <boost/test/unit_test.hpp>

#include <string>

using buckthornspar::common::settings_error;
using buckthornspar::common::settings_section;

namespace {

std::string message_of(const std::string& yaml, void (*read)(settings_section&)) {
    auto section = settings_section::parse(yaml, "test.yaml");
    try {
        read(section);
        section.finish();
    } catch (const settings_error& e) {
        return e.what();
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

// Guards against an error message from which an operator cannot locate the invalid line.
BOOST_AUTO_TEST_CASE(error_names_file_line_key_value_unit_and_range) {
    const auto message = message_of("a: x\nlease_ms: -5\n", [](settings_section& s) {
        (void)s.text("a");
        (void)s.number("lease_ms", {100, 60000, "ms"});
    });
    BOOST_TEST(message ==
               "test.yaml:2: lease_ms: value '-5': out of range, allowed: 100 to 60000 ms");
}

// Guards against a misspelt key that silently leaves the default in place.
BOOST_AUTO_TEST_CASE(unknown_key_is_rejected) {
    const auto message =
        message_of("lease_mss: 5\n", [](settings_section& s) { (void)s.has("lease_ms"); });
    BOOST_TEST(message == "test.yaml:1: lease_mss: value '5': unknown key");
}

// Guards against "12abc" being read as 12.
BOOST_AUTO_TEST_CASE(trailing_characters_are_rejected) {
    const auto message = message_of("n: 12abc\n", [](settings_section& s) {
        (void)s.number("n", {0, 100, ""});
    });
    BOOST_TEST(message.find("whole number") != std::string::npos);
}

// Guards against defaults being lost when a section is absent.
BOOST_AUTO_TEST_CASE(absent_section_reads_as_defaults) {
    auto section = settings_section::parse("a: 1\n", "test.yaml");
    auto nested = section.section("limits");
    BOOST_TEST(nested.number("x", {0, 10, ""}, 7) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
