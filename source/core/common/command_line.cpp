#include "core/common/command_line.h"

#include "core/common/settings.h"

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <utility>

namespace buckthornspar::common {

namespace {

struct context_deleter {
    void operator()(poptContext context) const { poptFreeContext(context); }
};

using context_ptr = std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter>;

struct file_deleter {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

// popt can only print its help to a stream, so a memory stream collects the text.
std::string render_help(poptContext context) {
    char* buffer = nullptr;
    std::size_t size = 0;
    std::unique_ptr<std::FILE, file_deleter> stream(open_memstream(&buffer, &size));
    if (!stream) {
        return {};
    }
    poptPrintHelp(context, stream.get(), 0);
    stream.reset();
    std::string text(buffer, size);
    std::free(buffer); // NOLINT(cppcoreguidelines-no-malloc)
    return text;
}

} // namespace

command_line::command_line(int argc, const char* const* argv, std::vector<option_spec> options,
                           const std::string& usage) {
    std::vector<poptOption> table;
    for (std::size_t i = 0; i < options.size(); ++i) {
        const option_spec& option = options[i];
        const bool is_flag = option.argument.empty();
        const unsigned kind = is_flag ? POPT_ARG_NONE : POPT_ARG_STRING;
        table.push_back({option.name.c_str(), option.short_name, kind, nullptr,
                         static_cast<int>(i) + 1, option.help.c_str(),
                         is_flag ? nullptr : option.argument.c_str()});
    }
    table.push_back(POPT_TABLEEND);

    // popt takes a non-const argument array but does not modify it.
    const context_ptr context(
        poptGetContext(nullptr, argc, const_cast<const char**>(argv), table.data(), 0));
    poptSetOtherOptionHelp(context.get(), usage.c_str());
    m_help = render_help(context.get());

    int code = 0;
    while ((code = poptGetNextOpt(context.get())) > 0) {
        const std::unique_ptr<char, decltype(&std::free)> argument(poptGetOptArg(context.get()),
                                                                   &std::free);
        const option_spec& option = options[static_cast<std::size_t>(code) - 1];
        m_values.emplace_back(option.name, argument ? argument.get() : "true");
    }
    if (code < -1) {
        throw command_line_error(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) +
                                 ": " + poptStrerror(code));
    }
    while (const char* operand = poptGetArg(context.get())) {
        m_operands.emplace_back(operand);
    }
}

bool command_line::has(std::string_view option) const {
    return std::any_of(m_values.begin(), m_values.end(),
                       [&](const auto& value) { return value.first == option; });
}

std::string command_line::get(std::string_view option, std::string_view fallback) const {
    for (const auto& [name, value] : m_values) {
        if (name == option) {
            return value;
        }
    }
    return std::string(fallback);
}

std::vector<std::string> command_line::get_all(std::string_view option) const {
    std::vector<std::string> found;
    for (const auto& [name, value] : m_values) {
        if (name == option) {
            found.push_back(value);
        }
    }
    return found;
}

int run_main(const std::function<exit_code()>& body) {
    try {
        return static_cast<int>(body());
    } catch (const command_line_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(exit_code::usage);
    } catch (const settings_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(exit_code::settings);
    } catch (const error& e) {
        std::cerr << e.type() << ": " << e.what() << "\n";
        return static_cast<int>(exit_code::failure);
    }
}

server_command read_server_command(int argc, const char* const* argv, const std::string& summary) {
    const command_line line(argc, argv,
                            {{"config", 'c', "FILE", "YAML settings (required)"},
                             {"check", '\0', "", "check the settings and exit"},
                             {"version", 'V', "", "print the version and exit"},
                             {"help", 'h', "", "print this help and exit"}},
                            "--config FILE\n" + summary);
    if (line.has("help")) {
        std::cout << line.help();
        return {server_mode::done, {}};
    }
    if (line.has("version")) {
        std::cout << BTS_VERSION << "\n";
        return {server_mode::done, {}};
    }
    if (!line.operands().empty()) {
        throw command_line_error("unexpected operand '" + line.operands().front() + "'");
    }
    if (!line.has("config")) {
        throw command_line_error("--config FILE is required");
    }
    return {line.has("check") ? server_mode::check : server_mode::run, line.get("config")};
}

} // namespace buckthornspar::common
