#include "core/server/server_main.h"

#include "core/common/command_line.h"
#include "core/common/logging.h"
#include "core/common/settings.h"
#include "core/server/server_application.h"
#include "core/server/server_process.h"

#include <iostream>
#include <utility>

namespace buckthornspar::server {

namespace {

int to_int(common::exit_code code) {
    return static_cast<int>(code);
}

int run(const common::server_command& command, server_program& program) {
    auto section = common::settings_section::load_file(command.config_path);
    auto settings = read_server_settings(section);
    program.read_settings(section);
    section.finish();
    if (command.mode == common::server_mode::check) {
        std::cout << command.config_path << ": settings are valid\n";
        return to_int(common::exit_code::success);
    }
    common::init_logging(settings.id, settings.log_level);
    server_process process(std::move(settings));
    const auto application = program.start(process);
    const bool drained = process.serve(*application);
    return to_int(drained ? common::exit_code::success : common::exit_code::failure);
}

} // namespace

int server_main(int argc, const char* const* argv, server_program& program) {
    try {
        const auto command = common::read_server_command(argc, argv, program.summary());
        if (command.mode == common::server_mode::done) {
            return to_int(common::exit_code::success);
        }
        return run(command, program);
    } catch (const common::command_line_error& e) {
        std::cerr << e.what() << "\n";
        return to_int(common::exit_code::usage);
    } catch (const common::settings_error& e) {
        std::cerr << e.what() << "\n";
        return to_int(common::exit_code::settings);
    } catch (const common::error& e) {
        std::cerr << e.type() << ": " << e.what() << "\n";
        return to_int(common::exit_code::failure);
    }
}

} // namespace buckthornspar::server
