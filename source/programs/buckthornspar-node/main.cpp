#include "core/common/command_line.h"
#include "core/common/logging.h"
#include "core/common/settings.h"
#include "core/service/node_application.h"

#include <atomic>
#include <csignal>
#include <future>
#include <iostream>
#include <pthread.h>
#include <thread>

namespace {

using namespace buckthornspar;

constexpr auto poll_period = std::chrono::milliseconds(20);
// Part of the planned stop's time limit that is reserved for ending the process.
constexpr auto stop_reserve = std::chrono::milliseconds(500);

sigset_t handled_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

// SIGHUP is only logged: the settings are addresses and limits of the machine, which do not change
// while the process runs. The operators' configuration changes at run time, through the store.
void wait_for_stop(const sigset_t& signals) {
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP) {
            return;
        }
        common::log_event(common::severity::info, "reload", {{"signal", "SIGHUP"}});
    }
}

// Lines are written after the events that are ready on the loop, so that a kill loses few of them.
class log_deferral {
public:
    explicit log_deferral(net::event_loop& loop) {
        common::defer_log_lines([&loop] { loop.post([] { common::flush_log(); }); });
    }
    ~log_deferral() {
        common::defer_log_lines({});
        common::flush_log();
    }
    log_deferral(const log_deferral&) = delete;
    log_deferral& operator=(const log_deferral&) = delete;
};

bool run(const service::node_settings& settings) {
    // Blocked before any thread starts, so that only sigwait() in this thread receives them.
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    common::system_clock clock;
    common::counters counters;
    net::event_loop loop;
    service::node_application node(settings, loop, clock, counters);
    const log_deferral deferral(loop);
    loop.post([&node] { node.start(); });
    loop.start();
    wait_for_stop(signals);

    const auto stop_deadline = clock.now() + settings.stop_grace - stop_reserve;
    std::promise<void> done;
    auto recorded = done.get_future();
    loop.post([&node, &done] { node.stop(done); });
    const bool drained =
        recorded.wait_for(stop_deadline - clock.now()) == std::future_status::ready;
    while (node.requests_in_progress() > 0 && clock.now() < stop_deadline) {
        std::this_thread::sleep_for(poll_period);
    }
    common::log_event(common::severity::info, "stopped", {{"recorded", drained ? 1 : 0}});
    loop.stop();
    return drained;
}

common::exit_code start(const common::server_command& command) {
    auto section = common::settings_section::load_file(command.config_path);
    const auto settings = service::read_node_settings(section);
    section.finish();
    if (command.mode == common::server_mode::check) {
        std::cout << command.config_path << ": settings are valid\n";
        return common::exit_code::success;
    }
    common::init_logging(settings.id, settings.log_level);
    return run(settings) ? common::exit_code::success : common::exit_code::failure;
}

} // namespace

int main(int argc, char** argv) {
    return common::run_main([&] {
        const auto command = common::read_server_command(
            argc, argv, "Serves customers of a shared cluster and, while elected, schedules it.");
        return command.mode == common::server_mode::done ? common::exit_code::success
                                                         : start(command);
    });
}
