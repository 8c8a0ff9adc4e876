#pragma once

#include <cstddef>

#include <sys/types.h>

namespace buckthornspar::process_test {

/// Largest resident memory that the process has had so far, in bytes; 0 if it has ended.
[[nodiscard]] std::size_t peak_memory(pid_t process);

/// Number of open descriptors of the process; 0 if it has ended.
[[nodiscard]] std::size_t open_descriptors(pid_t process);

} // namespace buckthornspar::process_test
