#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace buckthornspar::common {

enum class severity { debug, info, warning, error };

/// One key=value pair of a log line.
struct log_field {
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    log_field(std::string_view k, const char* v) : key(k), value(v) {}
    log_field(std::string_view k, const std::string& v) : key(k), value(v) {}
    log_field(std::string_view k, long long v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, unsigned long long v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, long v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, unsigned long v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, int v) : key(k), value(std::to_string(v)) {}
    log_field(std::string_view k, unsigned v) : key(k), value(std::to_string(v)) {}

    std::string_view key;
    std::string value;
};

/// Sets up logging to standard output, rate-limited and without blocking on its reader. Throws
/// unknown_name_error unless level is debug, info, warning or error.
void init_logging(const std::string& process_id, const std::string& level);

/// Lets ordinary lines wait until flush_log(), which request_flush must bring about soon: a busy
/// process then writes many lines together. Warnings and errors are written at once.
/// May be called from any thread after init_logging(); an empty function ends the deferral.
void defer_log_lines(std::function<void()> request_flush);
void flush_log();

/// Writes one log line for a change of state. Recurring conditions are reported by metrics instead.
void log_event(severity level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace buckthornspar::common
