#include "processor_time.h"

#include <ctime>

namespace buckthornspar::bench {

double processor_time_us() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_nsec) / 1e3;
}

} // namespace buckthornspar::bench
