#define BOOST_TEST_MODULE process_ctl
#include "process/child_process.h"
#include "process/port_reservation.h"
#include "process/temporary_directory.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

int run_ctl(const std::vector<std::string>& arguments) {
    const temporary_directory directory;
    child_process ctl("buckthornsparctl", arguments, directory.file("log"));
    const int code = ctl.wait(10s);
    BOOST_TEST_MESSAGE(ctl.log());
    return code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ctl_test)

// Guards against a wrong command line with the same exit code as a refusal, which scripts could not
// tell apart.
BOOST_AUTO_TEST_CASE(wrong_command_lines_exit_with_2) {
    BOOST_TEST(run_ctl({}) == 2);
    BOOST_TEST(run_ctl({"--unknown"}) == 2);
    BOOST_TEST(run_ctl({"--server", "127.0.0.1:1", "fly"}) == 2);
    BOOST_TEST(run_ctl({"--server", "127.0.0.1", "status", "a"}) == 2);
    BOOST_TEST(run_ctl({"--server", "127.0.0.1:1", "submit", "--team", "t", "--tasks", "x"}) == 2);
    BOOST_TEST(run_ctl({"--server", "127.0.0.1:1", "status"}) == 2);
    BOOST_TEST(run_ctl({"--server", "127.0.0.1:1", "--timeout-ms", "0", "status", "a"}) == 2);
}

BOOST_AUTO_TEST_CASE(help_and_version_exit_with_0) {
    BOOST_TEST(run_ctl({"--help"}) == 0);
    BOOST_TEST(run_ctl({"--version"}) == 0);
}

// Guards against a submission that is reported as unknown although no byte of it was sent.
BOOST_AUTO_TEST_CASE(refused_connection_exits_with_4) {
    port_reservation ports;
    const std::string closed = "127.0.0.1:" + std::to_string(ports.take());
    BOOST_TEST(run_ctl({"--server", closed, "submit", "--team", "t"}) == 4);
}

// Guards against a lost response to a change that is reported as "nothing was changed", and against
// a query, which changes nothing, that is reported as unknown.
BOOST_AUTO_TEST_CASE(silent_server_exits_with_5_for_changes) {
    const temporary_directory directory;
    child_process store("standin-store", {"--latency-ms", "60000"}, directory.file("log"));
    const std::string server = buckthornspar::net::to_string(store.wait_for_address());
    BOOST_TEST(run_ctl({"-s", server, "-t", "300", "submit", "--team", "t"}) == 5);
    BOOST_TEST(run_ctl({"-s", server, "-t", "300", "status", "a"}) == 4);
}

// Guards against a typed refusal that exits like a success.
BOOST_AUTO_TEST_CASE(refusal_exits_with_1) {
    const temporary_directory directory;
    child_process store("standin-store", {}, directory.file("log"));
    const std::string server = buckthornspar::net::to_string(store.wait_for_address());
    BOOST_TEST(run_ctl({"-s", server, "status", "a"}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
