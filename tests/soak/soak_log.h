#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace buckthornspar::soak {

/// Milliseconds since the start of the program.
[[nodiscard]] std::int64_t now_ms();

/// File with one line for each start, end and fault, with the time since the start of the program
/// in seconds. Thread-safe.
class soak_log {
public:
    explicit soak_log(const std::string& path);
    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace buckthornspar::soak
