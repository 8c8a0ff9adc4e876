#pragma once

#include "core/common/clock.h"
#include "core/common/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::common {

/// Invalid settings file. The message contains the file, line, key, value, unit and allowed range,
/// as far as they are known.
class settings_error : public error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "settings_error"; }
};

/// Allowed range and unit of an integer setting.
struct number_range {
    std::int64_t min;
    std::int64_t max;
    std::string_view unit;
};

/// Validating reader of one mapping of a YAML settings file. The program that owns the file must
/// read every key: finish() rejects keys that have not been read.
class settings_section {
public:
    settings_section(settings_section&&) noexcept;
    settings_section& operator=(settings_section&&) noexcept;
    settings_section(const settings_section&) = delete;
    settings_section& operator=(const settings_section&) = delete;
    ~settings_section();

    /// Loads a file. Throws settings_error if it is missing or not a YAML mapping.
    static settings_section load_file(const std::string& path);

    /// Parses settings from a string; name replaces the file name in error messages.
    static settings_section parse(const std::string& text, const std::string& name);

    [[nodiscard]] bool has(std::string_view key) const;
    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text(std::string_view key, std::string_view fallback);
    [[nodiscard]] std::int64_t number(std::string_view key, number_range range);
    [[nodiscard]] std::int64_t number(std::string_view key, number_range range,
                                      std::int64_t fallback);
    [[nodiscard]] double real(std::string_view key, double min, double max, double fallback);
    [[nodiscard]] bool flag(std::string_view key, bool fallback);
    [[nodiscard]] std::vector<std::string> list(std::string_view key);

    /// Nested mapping; an absent one reads as empty, so that all its keys take their defaults.
    [[nodiscard]] settings_section section(std::string_view key);

    /// Sequence of mappings; empty when absent.
    [[nodiscard]] std::vector<settings_section> sections(std::string_view key);

    /// Throws settings_error for a value that the caller has found to be invalid.
    [[noreturn]] void fail(std::string_view key, std::string_view problem) const;

    /// Throws settings_error for the first key that has not been read.
    void finish() const;

private:
    struct state;
    explicit settings_section(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::common
