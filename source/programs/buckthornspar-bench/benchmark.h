#pragma once

#include "core/common/error.h"
#include "core/common/plugin_registry.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace buckthornspar::bench {

/// A benchmark setting on the command line is invalid.
class bench_settings_error : public common::error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "bench_settings_error"; }
};

/// Settings of a benchmark, parsed from --set key=value,key=value.
class bench_settings {
public:
    bench_settings() = default;
    /// Throws bench_settings_error if an item is not of the form key=value.
    explicit bench_settings(std::string_view text);

    [[nodiscard]] std::string text(std::string_view key, std::string_view fallback) const;
    /// Throws bench_settings_error if the value is not a non-negative integer.
    [[nodiscard]] std::uint64_t number(std::string_view key, std::uint64_t fallback) const;
    /// Values separated by '+', for example workers=50+1050.
    [[nodiscard]] std::vector<std::string> list(std::string_view key,
                                                std::string_view fallback) const;

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

/// One row of results. Keys contain no spaces; columns appear in the order of the calls.
class result_row {
public:
    result_row& setting(std::string_view key, std::string_view value);
    result_row& setting(std::string_view key, std::uint64_t value);
    /// The value is written with six significant digits.
    result_row& result(std::string_view key, double value);

    /// Returns "settings k=v ... results k=v ...".
    [[nodiscard]] std::string render() const;

private:
    std::string m_settings;
    std::string m_results;
};

/// Parameters and output of one benchmark run.
struct bench_run {
    std::uint64_t seed = 1;
    const bench_settings& settings;
    /// Measured commit, as given with --commit.
    std::string commit;
    std::string benchmark;
    std::ostream& output;

    /// Writes "benchmark=NAME seed=N commit=C settings ... results ..." as one line.
    void write(const result_row& row) const;
};

/// Base class of benchmarks. Each one registers itself by name in its source file:
///
///     const benchmark_registration registration("packing",
///                                               [] { return std::make_unique<packing>(); });
class benchmark {
public:
    virtual ~benchmark() = default;
    /// One-line description for --list, including the settings that the benchmark reads.
    [[nodiscard]] virtual std::string summary() const = 0;
    virtual void run(const bench_run& run) = 0;

protected:
    benchmark() = default;
    benchmark(const benchmark&) = default;
    benchmark& operator=(const benchmark&) = default;
};

using benchmark_registry = common::plugin_registry<benchmark>;
using benchmark_registration = common::plugin_registration<benchmark>;

} // namespace buckthornspar::bench
