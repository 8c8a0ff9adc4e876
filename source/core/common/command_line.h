#pragma once

#include "core/common/error.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::common {

/// Exit codes of all programs.
enum class exit_code : int { success = 0, failure = 1, usage = 2, settings = 3 };

/// Thrown for an unknown option or command, for missing or invalid arguments, and for a file named
/// on the command line that cannot be opened. run_main() converts it to exit_code::usage.
class command_line_error : public error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "command_line_error"; }
};

/// One option of a program. An empty argument name makes it a flag, whose value is "true".
struct option_spec {
    std::string name;
    char short_name = '\0';
    std::string argument;
    std::string help;
};

/// Options and operands of a program, parsed with popt.
class command_line {
public:
    /// Throws command_line_error for an unknown option or a missing argument. usage follows the
    /// program name in the help text.
    command_line(int argc, const char* const* argv, std::vector<option_spec> options,
                 const std::string& usage);

    [[nodiscard]] bool has(std::string_view option) const;
    [[nodiscard]] std::string get(std::string_view option, std::string_view fallback = "") const;
    /// All values of a repeatable option, in the order of the command line.
    [[nodiscard]] std::vector<std::string> get_all(std::string_view option) const;
    [[nodiscard]] const std::vector<std::string>& operands() const { return m_operands; }
    [[nodiscard]] const std::string& help() const { return m_help; }

private:
    std::vector<std::pair<std::string, std::string>> m_values;
    std::vector<std::string> m_operands;
    std::string m_help;
};

/// Runs the body of main(). Prints an exception of the project to standard error and converts it to
/// an exit code.
[[nodiscard]] int run_main(const std::function<exit_code()>& body);

/// Action of a server program after its command line has been parsed; done means to exit.
enum class server_mode { run, check, done };

/// Parsed command line of a server: --config FILE, --check, --version, --help.
struct server_command {
    server_mode mode = server_mode::run;
    std::string config_path;
};
/// Parses the command line of a server. Prints the help or version text if requested and then
/// returns server_mode::done. Throws command_line_error.
[[nodiscard]] server_command read_server_command(int argc, const char* const* argv,
                                                 const std::string& summary);

} // namespace buckthornspar::common
