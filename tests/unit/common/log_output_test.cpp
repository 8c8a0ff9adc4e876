#include "core/common/log_output.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

using namespace buckthornspar::common;
using namespace std::chrono_literals;

namespace {

struct pipe_fixture {
    pipe_fixture() {
        std::signal(SIGPIPE, SIG_IGN);
        BOOST_REQUIRE(pipe(ends.data()) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~pipe_fixture() {
        close(ends[1]);
        if (!reader_closed) {
            close(ends[0]);
        }
    }
    pipe_fixture(const pipe_fixture&) = delete;
    pipe_fixture& operator=(const pipe_fixture&) = delete;

    std::string read_all() const {
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = read(ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{};
    bool reader_closed = false;
    time_point now{1s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_output_suite, pipe_fixture)

// Guards against a process that blocks because its log output is not read.
BOOST_AUTO_TEST_CASE(a_full_pipe_does_not_block) {
    log_output output(ends[1], {100'000, 100'000, 8192});
    const std::string line(200, 'x');
    for (int i = 0; i < 2000; ++i) {
        output.write(now, line, false);
    }
    BOOST_TEST(output.dropped() > 1000U);
    // The number of dropped lines is reported once the pipe accepts data again.
    read_all();
    output.flush();
    read_all();
    output.write(now, "after", false);
    const auto text = read_all();
    BOOST_TEST(text.find("event=log_lines_dropped lines=") != std::string::npos);
    BOOST_TEST(text.find("after\n") != std::string::npos);
}

// Guards against log bursts that take too much of the machine's CPU time.
BOOST_AUTO_TEST_CASE(lines_are_rate_limited) {
    log_output output(ends[1], {10, 5, 1U << 20U});
    for (int i = 0; i < 20; ++i) {
        output.write(now, "line", false);
    }
    BOOST_TEST(output.dropped() == 15U);
    now += 1s;
    output.write(now, "later", false);
    BOOST_TEST(output.dropped() == 15U);
}

// Guards against the loss of warnings among many ordinary lines.
BOOST_AUTO_TEST_CASE(warnings_are_written_when_ordinary_lines_are_dropped) {
    log_output output(ends[1], {1, 1, 1U << 20U});
    output.write(now, "first", false);
    output.write(now, "dropped", false);
    output.write(now, "warning", true);
    BOOST_TEST(read_all().find("warning\n") != std::string::npos);
}

// Pattern: saturated owner. Guards against two system calls for each line of a process that writes
// thousands of lines a second, and against lines that are lost or out of order by their deferral.
BOOST_AUTO_TEST_CASE(deferred_lines_are_written_together) {
    log_output output(ends[1], {});
    int requests = 0;
    output.defer([&requests] { ++requests; });
    for (int i = 0; i < 10; ++i) {
        output.write(now, "line" + std::to_string(i), false);
    }
    BOOST_TEST(requests == 1);
    BOOST_TEST(read_all().empty());
    output.flush();
    BOOST_TEST(read_all() ==
               "line0\nline1\nline2\nline3\nline4\nline5\nline6\nline7\nline8\nline9\n");
    output.write(now, "next", false);
    BOOST_TEST(requests == 2);
    output.write(now, "warning", true);
    BOOST_TEST(read_all() == "next\nwarning\n");
    output.write(now, std::string(20'000, 'x'), false);
    BOOST_TEST(read_all().size() == 20'001U);
}

// Guards against lines that are cut in the middle when the outputs of several processes share a
// pipe.
BOOST_AUTO_TEST_CASE(each_write_consists_of_whole_lines) {
    log_output output(ends[1], {});
    output.defer([] {});
    // More than a pipe holds: the last write is followed by a part that has to wait.
    const std::string line(99, 'x');
    for (int i = 0; i < 4000; ++i) {
        output.write(now, line, false);
    }
    output.flush();
    const auto first = read_all();
    BOOST_TEST(first.size() < 400'000U);
    BOOST_TEST(first.size() % 100 == 0U);
}

// Guards against the termination of a process whose output has been closed.
BOOST_AUTO_TEST_CASE(a_closed_output_does_not_end_the_process) {
    log_output output(ends[1], {});
    close(ends[0]);
    reader_closed = true;
    for (int i = 0; i < 10; ++i) {
        output.write(now, "line", false);
    }
    BOOST_TEST(output.dropped() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
