#include "process/process_usage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace buckthornspar::process_test {

std::size_t peak_memory(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes << 10U;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    std::error_code failure;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                      failure);
    return failure ? 0
                   : static_cast<std::size_t>(
                         std::distance(entries, std::filesystem::directory_iterator()));
}

} // namespace buckthornspar::process_test
