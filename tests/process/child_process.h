#pragma once

#include "core/net/endpoint.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace buckthornspar::process_test {

/// A program under test, started from the build's bin directory or, with an absolute path, from
/// there. Its output goes to a log file. The destructor kills it.
class child_process {
public:
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_path);
    ~child_process();
    child_process(child_process&&) noexcept;
    child_process& operator=(child_process&&) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send_signal(int signal);
    void kill();
    [[nodiscard]] bool running();
    [[nodiscard]] pid_t id() const;

    /// Waits for the process to exit. Returns the exit code; throws std::runtime_error after the
    /// timeout.
    int wait(std::chrono::milliseconds timeout = std::chrono::seconds(20));
    int terminate(std::chrono::milliseconds timeout = std::chrono::seconds(20));

    /// Address from the line "listening ADDRESS:PORT" that stand-ins print.
    [[nodiscard]] net::endpoint wait_for_address();

    [[nodiscard]] std::string log() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::process_test
