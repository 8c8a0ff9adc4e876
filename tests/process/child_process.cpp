#include "process/child_process.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <unistd.h>

#include <linux/close_range.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace buckthornspar::process_test {

namespace bp = boost::process;
using namespace std::chrono_literals;

namespace {

// Sockets of this process that the child inherits would stay open when this process closes them.
// Between fork and exec the child must not allocate memory, because another thread may have held
// the allocator's lock; bp::limit_handles does, and deadlocks under the address sanitizer.
constexpr auto close_inherited_handles = [](auto& /*executor*/) {
    constexpr unsigned first_handle = 3;
    close_range(first_handle, ~0U, CLOSE_RANGE_CLOEXEC);
};

} // namespace

struct child_process::state {
    std::string program;
    std::string log_path;
    bp::child child;
};

child_process::child_process(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& log_path)
    : m_state(std::make_unique<state>()) {
    m_state->program = program;
    m_state->log_path = log_path;
    // Sockets of this process that the child inherits would stay open when this process closes
    // them.
    m_state->child =
        bp::child((std::filesystem::path(BTS_BIN_DIR) / program).string(), bp::args(arguments),
                  (bp::std_out & bp::std_err) > log_path, bp::std_in < bp::null,
                  bp::extend::on_exec_setup(close_inherited_handles));
}

child_process::~child_process() {
    if (m_state) {
        kill();
    }
}

child_process::child_process(child_process&&) noexcept = default;
child_process& child_process::operator=(child_process&&) noexcept = default;

void child_process::send_signal(int signal) {
    if (running()) {
        ::kill(m_state->child.id(), signal);
    }
}

void child_process::kill() {
    if (!m_state->child.valid() || !running()) {
        return;
    }
    std::error_code ignored;
    m_state->child.terminate(ignored);
    m_state->child.wait(ignored);
}

pid_t child_process::id() const {
    return m_state->child.id();
}

bool child_process::running() {
    std::error_code ignored;
    return m_state->child.running(ignored);
}

int child_process::wait(std::chrono::milliseconds timeout) {
    const auto timeout_at = std::chrono::steady_clock::now() + timeout;
    while (running()) {
        if (std::chrono::steady_clock::now() > timeout_at) {
            throw std::runtime_error(m_state->program + " did not exit before the timeout; log:\n" +
                                     log());
        }
        std::this_thread::sleep_for(10ms);
    }
    return m_state->child.exit_code();
}

int child_process::terminate(std::chrono::milliseconds timeout) {
    send_signal(SIGTERM);
    return wait(timeout);
}

net::endpoint child_process::wait_for_address() {
    const auto timeout_at = std::chrono::steady_clock::now() + 10s;
    const std::string marker = "listening ";
    while (std::chrono::steady_clock::now() < timeout_at && running()) {
        const std::string text = log();
        const auto start = text.find(marker);
        const auto end = text.find('\n', start == std::string::npos ? 0 : start);
        if (start != std::string::npos && end != std::string::npos) {
            const auto first = start + marker.size();
            return net::parse_endpoint(text.substr(first, end - first));
        }
        std::this_thread::sleep_for(5ms);
    }
    throw std::runtime_error(m_state->program +
                             " exited or did not print its address within 10 s; log:\n" + log());
}

std::string child_process::log() const {
    std::ifstream file(m_state->log_path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace buckthornspar::process_test
