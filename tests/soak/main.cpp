// Soak of real node processes under drawn faults, which checks that no task runs twice and that no
// accepted job is lost.

#include "core/common/command_line.h"
#include "core/common/name_table.h"
#include "soak/fault_injector.h"
#include "soak/fault_schedule.h"
#include "soak/soak_cluster.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

#include <unistd.h>

namespace {

using namespace buckthornspar;
using namespace buckthornspar::soak;
using std::chrono::milliseconds;

/// Exit codes of the program.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

constexpr common::name_table<verdict, 3> verdict_names{"verdict", {"held", "BROKEN", "not run"}};

constexpr std::size_t max_printed_violations = 20;
/// Limits that keep a run within the share of the machine that a test may use.
constexpr std::uint64_t max_seconds = 3600;
constexpr std::uint64_t max_nodes = 12;
constexpr std::uint64_t max_workers = 64;
constexpr std::uint64_t max_customers = 16;
constexpr milliseconds step_period{10};

// Set by SIGTERM and SIGINT, so that an ended run leaves no processes.
std::atomic<bool> is_stopped{false};

void stop_run(int /*signal*/) {
    is_stopped = true;
}

struct soak_options {
    cluster_options cluster;
    std::uint64_t seconds = 0;
    std::vector<fault_kind> kinds;
    fault_pace pace = fault_pace::overlapping;
    bool keeps_record = false;
};

std::uint64_t read_number(const common::command_line& line, std::string_view name,
                          std::uint64_t fallback, std::uint64_t lowest, std::uint64_t highest) {
    if (!line.has(name)) {
        return fallback;
    }
    const auto text = line.get(name);
    std::uint64_t number = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc{} || end != last || number < lowest || number > highest) {
        throw common::command_line_error("--" + std::string(name) + " must be a number from " +
                                         std::to_string(lowest) + " to " + std::to_string(highest));
    }
    return number;
}

common::command_line read_line(int argc, const char* const* argv) {
    return {
        argc,
        argv,
        {{"seed", 's', "N", "seed of faults and workload (1)"},
         {"seconds", 't', "N", "length of the run (60)"},
         {"faults", 'f', "KINDS", "kinds of faults, separated by commas (all)"},
         {"pace", 'p', "PACE", "series or overlapping (overlapping)"},
         {"nodes", 'n', "N", "number of node processes (6)"},
         {"workers", 'w', "N", "number of workers (16)"},
         {"customers", 'c', "N", "number of customers with keys and caps; 0 for none (0)"},
         {"record", 'r', "DIR", "folder for the record and the logs of the processes"},
         {"node-program", '\0', "PATH", "program of the node (that of this build)"},
         {"help", 'h', "", "print this help and exit"}},
        "\nRuns real nodes under drawn faults, then up to 20 s of calm. Judged: TWICE (two runs of "
        "a task at once, or a start after an acknowledged end as done) and LOST (a job is shown "
        "as failed without a cause, is unknown 3 s after its acceptance, or has nothing running "
        "in calm though there is room). Exit codes: 0 the rules held, 1 one was broken, 2 the "
        "soak could not run."};
}

soak_options read_options(const common::command_line& line) {
    soak_options options;
    auto& cluster = options.cluster;
    cluster.seed = read_number(line, "seed", 1, 0, 1'000'000'000);
    options.seconds = read_number(line, "seconds", 60, 20, max_seconds);
    cluster.nodes = read_number(line, "nodes", 6, 2, max_nodes);
    cluster.workers = read_number(line, "workers", 16, 2, max_workers);
    cluster.customers = read_number(line, "customers", 0, 0, max_customers);
    cluster.program = line.get("node-program", "buckthornspar-node");
    options.kinds = parse_fault_kinds(line.get("faults", "all"));
    options.pace = fault_pace_from(line.get("pace", "overlapping"));
    options.keeps_record = line.has("record");
    const auto fallback =
        std::filesystem::temp_directory_path() /
        ("bts-soak-" + std::to_string(cluster.seed) + "-" + std::to_string(getpid()));
    cluster.record = line.get("record", fallback.string());
    return options;
}

void play(fault_injector& faults, const soak_options& options, soak_log& log) {
    const auto length = static_cast<std::int64_t>(options.seconds) * 1000;
    const auto schedule = draw_schedule(options.cluster.seed, length, options.kinds, options.pace);
    for (const auto& fault : schedule) {
        log.write("planned: " + describe(fault));
    }
    const auto begin = now_ms();
    auto next = schedule.begin();
    while (now_ms() < begin + length && !is_stopped) {
        faults.end_due();
        while (next != schedule.end() && now_ms() >= begin + next->at_ms) {
            faults.apply(*next++);
        }
        std::this_thread::sleep_for(step_period);
    }
    faults.end_all();
}

void print_violations(std::string_view rule, const std::vector<std::string>& violations) {
    for (std::size_t i = 0; i < std::min(violations.size(), max_printed_violations); ++i) {
        std::cout << rule << ": " << violations[i] << "\n";
    }
}

// A run without work or without faults shows nothing.
verdict judge(soak_cluster& cluster, const fault_injector& faults) {
    verdict result = verdict::held;
    cluster.on_loop([&] {
        const auto& check = cluster.check();
        const auto& twice = check.violations();
        const auto& lost = cluster.lost().violations();
        print_violations("TWICE", twice);
        print_violations("LOST", lost);
        const auto& customers = cluster.customers().violations();
        print_violations("CUSTOMERS", customers);
        std::cout << cluster.accepted_jobs() << " jobs accepted, "
                  << cluster.lost().open_jobs().size() << " open at the end, " << check.starts()
                  << " starts, " << check.acknowledged_ends() << " ends acknowledged, "
                  << faults.applied() << " faults, " << twice.size() << " violations of TWICE, "
                  << lost.size() << " of LOST, " << customers.size() << " of customers' limits, "
                  << cluster.customers().refused_unknown_keys()
                  << " calls with unknown keys refused, loop late by up to "
                  << cluster.max_loop_delay_ms() << " ms\n";
        if (!twice.empty() || !lost.empty() || !customers.empty()) {
            result = verdict::broken;
        } else if (check.acknowledged_ends() == 0 || faults.applied() == 0 || is_stopped) {
            result = verdict::not_run;
        }
    });
    return result;
}

// Logs of a former run in the same folder would be taken for those of this run.
void prepare_record(const std::string& folder) {
    std::filesystem::create_directories(folder);
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        const auto name = entry.path().filename().string();
        if (name.starts_with("edge-") && name.ends_with(".log")) {
            std::filesystem::remove(entry.path());
        }
    }
}

verdict run(const soak_options& options) {
    const auto& record = options.cluster.record;
    prepare_record(record);
    auto result = verdict::not_run;
    {
        soak_log log(record + "/record.txt");
        soak_cluster cluster(options.cluster, log);
        fault_injector faults(cluster, log);
        cluster.start();
        cluster.start_clients();
        play(faults, options, log);
        cluster.stop_clients();
        cluster.watch_calm(is_stopped);
        result = judge(cluster, faults);
    }
    if (result == verdict::held && !options.keeps_record) {
        std::filesystem::remove_all(record);
    } else {
        std::cout << "record: " << record << "\n";
    }
    return result;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGTERM, stop_run);
    std::signal(SIGINT, stop_run);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto line = read_line(argc, argv);
        if (line.has("help")) {
            std::cout << line.help();
            return static_cast<int>(verdict::held);
        }
        const auto options = read_options(line);
        const auto result = run(options);
        std::cout << "seed " << options.cluster.seed << ": " << verdict_names.name(result)
                  << std::endl;
        return static_cast<int>(result);
    } catch (const std::exception& e) {
        std::cerr << "cannot run: " << e.what() << "\n";
        return static_cast<int>(verdict::not_run);
    }
}
