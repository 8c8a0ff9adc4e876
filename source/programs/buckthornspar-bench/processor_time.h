#pragma once

namespace buckthornspar::bench {

/// Processor time of the calling thread in microseconds.
[[nodiscard]] double processor_time_us();

} // namespace buckthornspar::bench
