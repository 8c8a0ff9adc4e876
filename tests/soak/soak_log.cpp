#include "soak/soak_log.h"

#include <iomanip>
#include <stdexcept>

namespace buckthornspar::soak {

namespace {

using steady = std::chrono::steady_clock;

const steady::time_point program_start = steady::now();

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - program_start)
        .count();
}

soak_log::soak_log(const std::string& path) : m_file(path) {
    if (!m_file) {
        throw std::runtime_error("cannot write " + path);
    }
}

void soak_log::write(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(9)
           << static_cast<double>(now_ms()) / 1000.0 << "  " << line << std::endl;
}

} // namespace buckthornspar::soak
