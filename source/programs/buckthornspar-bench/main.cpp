#include "benchmark.h"
#include "core/common/command_line.h"

#include <fstream>
#include <iostream>

namespace {

using namespace buckthornspar;

void list_benchmarks() {
    for (const std::string& name : bench::benchmark_registry::instance().names()) {
        std::cout << name << ": " << bench::benchmark_registry::instance().make(name)->summary()
                  << "\n";
    }
}

void run_benchmark(const std::string& name, const common::command_line& line,
                   const bench::bench_settings& settings, std::ostream& output) {
    // bench_settings validates that --seed and --runs are numbers.
    const bench::bench_settings numbers("seed=" + line.get("seed", "1") +
                                        ",runs=" + line.get("runs", "1"));
    const std::uint64_t first = numbers.number("seed", 1);
    for (std::uint64_t i = 0; i < numbers.number("runs", 1); ++i) {
        const bench::bench_run run{first + i, settings, line.get("commit", "unknown"), name,
                                   output};
        bench::benchmark_registry::instance().make(name)->run(run);
    }
}

int run(const common::command_line& line) {
    if (line.has("help")) {
        std::cout << line.help();
        return static_cast<int>(common::exit_code::success);
    }
    if (line.has("list")) {
        list_benchmarks();
        return static_cast<int>(common::exit_code::success);
    }
    if (line.operands().empty()) {
        throw common::command_line_error("no benchmark given; see --list");
    }
    const bench::bench_settings settings(line.get("set"));
    std::ofstream file;
    if (line.has("output")) {
        file.open(line.get("output"), std::ios::app);
        if (!file) {
            throw common::command_line_error("cannot write " + line.get("output"));
        }
    }
    for (const std::string& name : line.operands()) {
        run_benchmark(name, line, settings, line.has("output") ? file : std::cout);
    }
    return static_cast<int>(common::exit_code::success);
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(common::command_line(
            argc, argv,
            {{"list", 'l', "", "list the benchmarks"},
             {"seed", 's', "N", "first seed (default 1)"},
             {"runs", 'n', "N", "number of runs, each with the next seed (default 1)"},
             {"commit", 'c', "ID", "commit that is measured, copied into the results"},
             {"set", '\0', "K=V,K=V", "settings of the benchmark"},
             {"output", 'o', "FILE", "append the results to FILE"},
             {"help", 'h', "", "print this help and exit"}},
            "[OPTIONS] BENCHMARK...\nMeasures the decision logic."));
    } catch (const common::command_line_error& failure) {
        std::cerr << "buckthornspar-bench: " << failure.what() << "\n";
        return static_cast<int>(common::exit_code::usage);
    } catch (const common::error& failure) {
        std::cerr << "buckthornspar-bench: " << failure.type() << ": " << failure.what() << "\n";
        return static_cast<int>(common::exit_code::failure);
    }
}
