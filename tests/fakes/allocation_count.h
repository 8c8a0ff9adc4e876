#pragma once

#include <cstdint>

namespace buckthornspar::test {

/// Bytes that the process has allocated with new and not yet deleted. Linking the library replaces
/// the global allocation functions by ones that count.
[[nodiscard]] std::int64_t allocated_bytes();

} // namespace buckthornspar::test
