#include "benchmark.h"

#include <charconv>
#include <ostream>
#include <sstream>

namespace buckthornspar::bench {

namespace {

std::vector<std::string> split(std::string_view text, char separator) {
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

void append(std::string& line, std::string_view key, std::string_view value) {
    line.append(" ").append(key).append("=").append(value);
}

} // namespace

bench_settings::bench_settings(std::string_view text) {
    for (const std::string& part : split(text, ',')) {
        const auto equals = part.find('=');
        if (equals == std::string::npos || equals == 0) {
            throw bench_settings_error("invalid setting '" + part + "': expected key=value");
        }
        m_values[part.substr(0, equals)] = part.substr(equals + 1);
    }
}

std::string bench_settings::text(std::string_view key, std::string_view fallback) const {
    const auto position = m_values.find(key);
    return position == m_values.end() ? std::string(fallback) : position->second;
}

std::uint64_t bench_settings::number(std::string_view key, std::uint64_t fallback) const {
    const auto position = m_values.find(key);
    if (position == m_values.end()) {
        return fallback;
    }
    const std::string& value = position->second;
    std::uint64_t number = 0;
    const auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), number);
    if (code != std::errc{} || end != value.data() + value.size()) {
        throw bench_settings_error("setting " + position->first + ": '" + value +
                                   "' is not a non-negative number");
    }
    return number;
}

std::vector<std::string> bench_settings::list(std::string_view key,
                                              std::string_view fallback) const {
    return split(text(key, fallback), '+');
}

result_row& result_row::setting(std::string_view key, std::string_view value) {
    append(m_settings, key, value);
    return *this;
}

result_row& result_row::setting(std::string_view key, std::uint64_t value) {
    return setting(key, std::to_string(value));
}

result_row& result_row::result(std::string_view key, double value) {
    std::ostringstream text;
    text << value;
    append(m_results, key, text.str());
    return *this;
}

std::string result_row::render() const {
    return "settings" + m_settings + " results" + m_results;
}

void bench_run::write(const result_row& row) const {
    output << "benchmark=" << benchmark << " seed=" << seed << " commit=" << commit << " "
           << row.render() << std::endl;
}

} // namespace buckthornspar::bench
