#pragma once

#include <memory>
#include <string>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::server {

class server_application;
class server_process;

/// A server program. Reads the settings of its role and creates the application.
class server_program {
public:
    virtual ~server_program() = default;

    /// Text for --help.
    [[nodiscard]] virtual std::string summary() const = 0;
    /// Reads the settings of the role without starting anything. Throws settings_error.
    virtual void read_settings(common::settings_section& settings) = 0;
    /// Creates the application and starts its threads.
    [[nodiscard]] virtual std::unique_ptr<server_application> start(server_process& process) = 0;

protected:
    server_program() = default;
    server_program(const server_program&) = default;
    server_program& operator=(const server_program&) = default;
};

/// main() of all server programs. Exit codes are those of common::exit_code.
[[nodiscard]] int server_main(int argc, const char* const* argv, server_program& program);

} // namespace buckthornspar::server
