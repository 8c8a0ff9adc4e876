#define BOOST_TEST_MODULE server
#include "core/common/settings.h"
#include "core/server/server_settings.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace buckthornspar;

namespace {

const std::string minimal = "id: e1\nregion: r\nplace: p\nlisten: 127.0.0.1:1\n"
                            "peer_listen: 127.0.0.1:2\nstore: {address: 127.0.0.1:3}\n"
                            "instances: {address: 127.0.0.1:4}\n";

std::string settings_error_text(const std::string& yaml) {
    auto section = common::settings_section::parse(yaml, "s.yaml");
    try {
        (void)server::read_server_settings(section);
        section.finish();
    } catch (const common::settings_error& e) {
        return e.what();
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_settings_test)

BOOST_AUTO_TEST_CASE(minimal_settings_are_valid) {
    BOOST_TEST(settings_error_text(minimal).empty());
}

// Guards against an invalid port that is not detected before the process binds it.
BOOST_AUTO_TEST_CASE(bad_endpoint_names_file_line_and_key) {
    auto yaml = minimal;
    yaml.replace(yaml.find("127.0.0.1:1"), 11, "127.0.0.1:99999");
    BOOST_TEST(settings_error_text(yaml) == "s.yaml:4: listen: value '127.0.0.1:99999': endpoint "
                                            "'127.0.0.1:99999' has no valid port");
}

// Guards against a heartbeat period given in seconds by mistake.
BOOST_AUTO_TEST_CASE(range_and_unit_are_named) {
    const auto problem = settings_error_text(minimal + "heartbeat_ms: 1\n");
    BOOST_TEST(problem.find("allowed: 50 to 60000 ms") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
