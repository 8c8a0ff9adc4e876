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

common::exit_code run(const common::server_command& command, server_program& program) {
    auto section = common::settings_section::load_file(command.config_path);
    auto settings = read_server_settings(section);
    program.read_settings(section);
    section.finish();
    if (command.mode == common::server_mode::check) {
        std::cout << command.config_path << ": settings are valid\n";
        return common::exit_code::success;
    }
    common::init_logging(settings.id, settings.log_level);
    server_process process(std::move(settings));
    const auto application = program.start(process);
    const bool drained = process.serve(*application);
    return drained ? common::exit_code::success : common::exit_code::failure;
}

} // namespace

int server_main(int argc, const char* const* argv, server_program& program) {
    return common::run_main([&] {
        const auto command = common::read_server_command(argc, argv, program.summary());
        return command.mode == common::server_mode::done ? common::exit_code::success
                                                         : run(command, program);
    });
}

} // namespace buckthornspar::server
