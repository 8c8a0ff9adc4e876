#pragma once

// The record of a case: what was sent, answered and run, with the time since the start.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review {

using steady = std::chrono::steady_clock;

inline std::int64_t now_ms() {
    static const auto start = steady::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - start).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

class record {
public:
    explicit record(const std::string& path) : m_file(path) {}

    void write(const std::string& line) {
        const std::lock_guard lock(m_mutex);
        char time[24];
        std::snprintf(time, sizeof time, "%9.3f  ", static_cast<double>(now_ms()) / 1000.0);
        m_file << time << line << '\n' << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
